package loadbalancer.testbed.process;

import static org.awaitility.Awaitility.await;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.BufferedReader;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import loadbalancer.testbed.scenario.ScenarioReader;
import loadbalancer.testbed.statistics.RunResult;
import loadbalancer.testbed.workload.WorkloadPlan;
import org.junit.jupiter.api.Tag;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * Tests that balancers that exit, exceed their limits or never become ready are detected, and that
 * no balancer outlives the testbed.
 */
@Tag("process")
class ProcessLifetimeTest {
    private static final String TWO_BALANCERS =
            """
        length_s = 20
        [fleet]
        balancers = 2
        memory_mb = %d
        [load]
        rate = 5
        [[class]]
        name = "x"
        """;

    private static RunResult runScenario(
            int memoryMb,
            int lengthSeconds,
            LaunchCommand launchCommand,
            Path outputDirectory,
            List<String> messages)
            throws IOException, InterruptedException {
        String text =
                TWO_BALANCERS
                        .formatted(memoryMb)
                        .replace("length_s = 20", "length_s = " + lengthSeconds);
        return new ScenarioRunner(
                        WorkloadPlan.generate(ScenarioReader.parse("s.toml", text, false), 1),
                        launchCommand,
                        outputDirectory,
                        messages::add)
                .run();
    }

    @Test
    @Timeout(60)
    void unexpectedExitIsDetectedAndNoRequestIsSent(@TempDir Path outputDirectory)
            throws IOException, InterruptedException {
        RunResult result =
                runScenario(
                        192,
                        1,
                        new LaunchCommand(List.of("/bin/sh", "-c", "exit 3")),
                        outputDirectory,
                        new ArrayList<>());
        assertTrue(
                result.violations().get(0).startsWith("no crash broken"),
                result.violations().toString());
        assertTrue(result.violations().get(0).endsWith("ended by itself with exit code 3"));
        assertTrue(
                result.violations().stream()
                        .anyMatch(violation -> violation.startsWith("a start broken")));
        assertEquals(0, result.slices().stream().mapToInt(RunResult.TimeSlice::requested).sum());
    }

    @Test
    @Timeout(60)
    void memoryLimitViolationIsDetected(@TempDir Path outputDirectory)
            throws IOException, InterruptedException {
        LaunchCommand launchCommand =
                LaunchCommand.fromDeployFile(
                        LaunchCommand.findDeployFile(),
                        Path.of("../balancer/target/load-balancer.jar"));
        RunResult result = runScenario(32, 2, launchCommand, outputDirectory, new ArrayList<>());
        assertEquals(
                1,
                result.violations().stream()
                        .filter(violation -> violation.startsWith("limits broken"))
                        .count());
    }

    /**
     * Ends the testbed by SIGTERM, which has the effect of Ctrl-C, and by SIGKILL, which has that
     * of a crash. SIGINT is not used because background processes of a shell ignore it.
     */
    @ParameterizedTest
    @ValueSource(strings = {"TERM", "KILL"})
    @Timeout(90)
    void noBalancerOutlivesTheTestbed(String signal, @TempDir Path directory)
            throws IOException, InterruptedException {
        Path scenarioFile =
                Files.writeString(directory.resolve("s.toml"), TWO_BALANCERS.formatted(192));
        Process testbed =
                new ProcessBuilder(
                                Path.of(System.getProperty("java.home"), "bin", "java").toString(),
                                "-cp",
                                System.getProperty("java.class.path"),
                                "loadbalancer.testbed.TestbedCommand",
                                "run",
                                scenarioFile.toString(),
                                "--out",
                                directory.resolve("out").toString())
                        .redirectErrorStream(true)
                        .start();
        try (BufferedReader lines = testbed.inputReader()) {
            String line = lines.readLine();
            while (line != null && !line.startsWith("all ready")) {
                line = lines.readLine();
            }
            List<ProcessHandle> balancers = testbed.descendants().toList();
            assertEquals(2, balancers.size(), line);
            ProcessSpawner.signal(signal, List.of(testbed));
            await().atMost(Duration.ofSeconds(40))
                    .until(
                            () ->
                                    !testbed.isAlive()
                                            && balancers.stream()
                                                    .noneMatch(ProcessHandle::isAlive));
        } finally {
            testbed.descendants().forEach(ProcessHandle::destroyForcibly);
            testbed.destroyForcibly();
        }
    }
}

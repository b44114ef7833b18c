package loadbalancer.testbed.process;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import loadbalancer.testbed.scenario.ScenarioReader;
import loadbalancer.testbed.statistics.RunResult;
import loadbalancer.testbed.workload.WorkloadPlan;
import org.junit.jupiter.api.Tag;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;

/** Tests a short run of a scenario with real processes. */
@Tag("process")
class ScenarioRunnerTest {
    // The balancer that restarts at 11 s must be detected within members_notice_within_s. Starting
    // three balancers at once may take 6 s on a slow machine, so 7 s are allowed.
    private static final String SCENARIO =
            """
        length_s = 20
        [fleet]
        balancers = 3
        zones = ["a", "b", "c"]
        environment = { TANSYFERRY_MEMBERSHIP = "on", TANSYFERRY_DUTIES = "on" }
        state_dir = true
        [expect]
        members_notice_within_s = 7
        duties_rest_s = 10
        [upstreams]
        count = 6
        [load]
        rate = 60
        retries = 2
        front_notice_ms = 500
        [[class]]
        name = "keyed"
        effect = "keyed"
        scope = "zone"
        [[class]]
        name = "unsafe"
        effect = "unsafe"
        """;

    static RunResult runScenario(String faults, Path outputDirectory, List<String> messages)
            throws IOException, InterruptedException {
        LaunchCommand launchCommand =
                LaunchCommand.fromDeployFile(
                        LaunchCommand.findDeployFile(),
                        Path.of("../balancer/target/load-balancer.jar"));
        return new ScenarioRunner(
                        WorkloadPlan.generate(
                                ScenarioReader.parse("s.toml", SCENARIO + faults, false), 3),
                        launchCommand,
                        outputDirectory,
                        messages::add)
                .run();
    }

    @Test
    @Timeout(90)
    void killedBalancerReturnsWithoutViolations(@TempDir Path outputDirectory)
            throws IOException, InterruptedException {
        List<String> messages = new ArrayList<>();
        RunResult result =
                runScenario(
                        """
            [[fault]]
            kind = "kill"
            at_s = 4
            until_s = 11
            on = "balancers:2"
            """,
                        outputDirectory,
                        messages);
        assertEquals(List.of(), result.violations(), String.join("\n", messages));
        assertEquals(
                List.of(1, 1, 2),
                result.balancers().stream().map(balancer -> balancer.lifetimes().size()).toList());
        assertTrue(
                result.balancers().stream()
                        .flatMap(balancer -> balancer.lifetimes().stream())
                        .allMatch(lifetime -> lifetime.endSeconds() > lifetime.startSeconds()));
        // The bound is low, so that it also holds on a slow machine.
        assertTrue(result.metrics().get("served_share") > 0.2, result.metrics().toString());
        assertTrue(
                result.balancers().stream()
                        .allMatch(
                                balancer ->
                                        balancer.datagrams() > 0 && balancer.discoveryCalls() > 0));
        // The two other balancers detected the end of the killed one in time.
        assertTrue(result.metrics().get("members_noticed_p99_s") <= 7, result.metrics().toString());
        // The killed balancer held the lease of the audit log, which another one then acquired.
        assertTrue(result.metrics().get("duties_passed_on") >= 1, result.metrics().toString());
        // The killed balancer restored its snapshot after the restart.
        String log = Files.readString(outputDirectory.resolve("n2.log"));
        assertTrue(log.contains("snapshot recovered: sequence="), log);
        assertEquals(result.scenario(), RunResult.read(outputDirectory).scenario());
        assertEquals(0, ProcessHandle.current().children().filter(ProcessHandle::isAlive).count());
    }
}

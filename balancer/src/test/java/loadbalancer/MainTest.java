package loadbalancer;

import static loadbalancer.TestAwait.await;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.net.ConnectException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.List;
import org.junit.jupiter.api.Tag;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

/** Tests the program as a process: arguments, exit codes, signals and the output on each stream. */
@Tag("process")
class MainTest {
    private static final Duration START_TIMEOUT = Duration.ofSeconds(50);
    private static final String UNREACHABLE_DISCOVERY = "127.0.0.1:9";

    private record ProgramResult(int exitCode, String stdout, String stderr) {}

    @TempDir private Path directory;

    // Runs the program until it exits by itself.
    private ProgramResult runMain(String input, String... arguments)
            throws IOException, InterruptedException {
        List<String> command = ServeProcess.mainCommand(List.of());
        command.addAll(List.of(arguments));
        Path inputFile = Files.writeString(directory.resolve("input"), input);
        Path outputFile = directory.resolve("output");
        Path errorFile = directory.resolve("error");
        int exitCode =
                new ProcessBuilder(command)
                        .redirectInput(inputFile.toFile())
                        .redirectOutput(outputFile.toFile())
                        .redirectError(errorFile.toFile())
                        .start()
                        .waitFor();
        return new ProgramResult(
                exitCode,
                Files.readString(outputFile, StandardCharsets.UTF_8),
                Files.readString(errorFile, StandardCharsets.UTF_8));
    }

    @ParameterizedTest(name = "\"{0}\"")
    @ValueSource(strings = {"", "adapter", "wirehost extra"})
    void wrongArgumentsPrintUsage(String arguments) throws IOException, InterruptedException {
        ProgramResult result =
                runMain("", arguments.isEmpty() ? new String[0] : arguments.split(" "));
        assertEquals(
                new ProgramResult(
                        2, "", "usage: java -jar load-balancer.jar serve | prepare | wirehost\n"),
                result);
    }

    /**
     * The build runs this command to record which classes a start loads; it needs no other process.
     */
    @Test
    void prepareStartsAndStopsABalancer() throws IOException, InterruptedException {
        ProgramResult result = runMain("", "prepare");
        assertEquals(0, result.exitCode(), result.stderr());
        assertTrue(result.stderr().contains("stopped: 0 requests accepted"), result.stderr());
    }

    @Test
    void endOfInputBetweenBatchesExitsNormally() throws IOException, InterruptedException {
        assertEquals(
                new ProgramResult(0, "DONE\nDONE\n", ""),
                runMain("TICK\t1\nGO\nTICK\t2\nGO\n", "wirehost"));
    }

    @ParameterizedTest
    @CsvSource(
            delimiter = '|',
            value = {
                "TICK 1 NOISE | line 2: NOISE: field Balancer: no AT line names the instance",
                "TICK 1 | line 2: GO: field GO: the input ends within a batch",
            })
    void malformedInputPrintsOneLineAndExitsOne(String frames, String expectedMessage)
            throws IOException, InterruptedException {
        String input =
                frames.strip().replace(" NOISE", "\nNOISE").replace("TICK 1", "TICK\t1") + "\n";
        ProgramResult result = runMain(input, "wirehost");
        assertEquals(1, result.exitCode());
        assertEquals("load-balancer: " + expectedMessage.strip() + "\n", result.stderr());
        assertEquals("", result.stdout());
    }

    @ParameterizedTest
    @CsvSource(
            delimiter = '|',
            value = {
                "/nowhere/config.json | can't read the configuration /nowhere/config.json: ",
                "'' | ROUTER_CONFIG is not set",
            })
    void missingConfigurationPrintsOneLine(String configPath, String expectedMessage)
            throws IOException, InterruptedException {
        try (ServeProcess balancer = ServeProcess.start(configPath)) {
            assertFailsWithOneLine(balancer, "load-balancer: " + expectedMessage);
        }
    }

    @Test
    void addressInUsePrintsOneLine() throws IOException, InterruptedException {
        try (ServerSocket occupiedSocket =
                        new ServerSocket(0, 1, InetAddress.getLoopbackAddress());
                ServeProcess balancer = startServe("127.0.0.1:" + occupiedSocket.getLocalPort())) {
            assertFailsWithOneLine(balancer, "load-balancer: can't listen on ");
        }
    }

    private static void assertFailsWithOneLine(ServeProcess balancer, String expectedStart)
            throws InterruptedException {
        List<String> log = balancer.readRemainingLines();
        assertEquals(1, balancer.awaitExit(), "exit code");
        assertEquals(1, log.size(), log.toString());
        assertTrue(log.get(0).startsWith(expectedStart), log.get(0));
    }

    @Test
    void sigtermExitsWithCodeZero() throws IOException, InterruptedException {
        try (ServeProcess balancer = startServe("127.0.0.1:0")) {
            String line = balancer.readLine();
            assertTrue(line.startsWith("load-balancer: listening on 127.0.0.1:"), line);
            balancer.sendSigterm();
            assertEquals(0, balancer.awaitExit());
        }
    }

    /**
     * From its first connection on, a balancer may have requests in progress. SIGTERM must drain it
     * from then on, however many more signals follow.
     */
    @Test
    @Timeout(60)
    void repeatedSigtermAtStartStopsGracefully() throws IOException, InterruptedException {
        int port;
        try (ServerSocket unusedSocket = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
            port = unusedSocket.getLocalPort();
        }
        try (ServeProcess balancer = startServe("127.0.0.1:" + port)) {
            await("the balancer accepts a connection")
                    .atMost(START_TIMEOUT)
                    .until(() -> acceptsConnection(balancer, port));
            balancer.sendSigterm();
            balancer.sendSighup();
            balancer.sendSigterm();
            assertEquals(0, balancer.awaitExit());
        }
    }

    private static boolean acceptsConnection(ServeProcess balancer, int port) throws IOException {
        try (Socket connection = new Socket(InetAddress.getLoopbackAddress(), port)) {
            return connection.isConnected();
        } catch (ConnectException e) {
            assertTrue(balancer.process().isAlive(), "the process ended before it listened");
            return false;
        }
    }

    /**
     * Invalid files change nothing; after a valid one the balancer opens a watch at the new address
     * of discovery.
     */
    @Test
    @Timeout(60)
    void sighupReloadsOnlyValidConfiguration() throws IOException, InterruptedException {
        try (ServeProcess balancer = startServe("127.0.0.1:0");
                ServerSocket newDiscovery =
                        new ServerSocket(0, 5, InetAddress.getLoopbackAddress())) {
            balancer.awaitLine("listening on ");
            String validConfig = Files.readString(configFile());
            List<String> invalidConfigs =
                    List.of(
                            "",
                            "{",
                            "[]",
                            "{\"discovery\":7}",
                            validConfig.replace(":9\"", ":x\""));
            for (String invalidConfig : invalidConfigs) {
                Files.writeString(configFile(), invalidConfig);
                balancer.sendSighup();
                balancer.awaitLine("configuration reload failed: reason=");
            }
            String newAddress = "127.0.0.1:" + newDiscovery.getLocalPort();
            Files.writeString(configFile(), validConfig.replace(UNREACHABLE_DISCOVERY, newAddress));
            balancer.sendSighup();
            balancer.awaitLine("configuration reloaded: discovery=" + newAddress);
            try (Socket connection = newDiscovery.accept()) {
                String requestLine =
                        new BufferedReader(
                                        new InputStreamReader(
                                                connection.getInputStream(),
                                                StandardCharsets.US_ASCII))
                                .readLine();
                assertTrue(requestLine.startsWith("GET /api/targets?watch=1&from="), requestLine);
            }
            balancer.sendSigterm();
            assertEquals(0, balancer.awaitExit());
        }
    }

    /** Under nohup SIGHUP is ignored; a changed configuration file must still take effect. */
    @Test
    @Timeout(60)
    void changedFileIsReloadedWhenSighupIsIgnored() throws IOException, InterruptedException {
        writeConfig("127.0.0.1:0", UNREACHABLE_DISCOVERY);
        List<String> ignoringSighup = List.of("/bin/sh", "-c", "trap '' HUP; exec \"$@\"", "sh");
        try (ServeProcess balancer =
                ServeProcess.start(configFile().toString(), ignoringSighup, List.of())) {
            balancer.awaitLine("SIGHUP ignored since the start");
            balancer.awaitLine("listening on ");
            Files.writeString(configFile(), "{");
            balancer.awaitLine("configuration reload failed: reason=");
            writeConfig("127.0.0.1:0", "127.0.0.1:19");
            balancer.awaitLine("configuration reloaded: discovery=127.0.0.1:19");
            balancer.sendSighup();
            balancer.sendSigterm();
            assertEquals(0, balancer.awaitExit());
        }
    }

    private Path configFile() {
        return directory.resolve("balancer.json");
    }

    private ServeProcess startServe(String listenAddress) throws IOException {
        writeConfig(listenAddress, UNREACHABLE_DISCOVERY);
        return ServeProcess.start(configFile().toString());
    }

    private void writeConfig(String listenAddress, String discoveryAddress) throws IOException {
        String config =
                """
            {"listen": "%s", "discovery": "%s", "seed": "8c1f30d27a5be964", "settings": {
              "Balancers": 1, "Quantum": 5000, "MembershipMode": "ask",
              "Classes": [{"Name": "a", "Idempotency": "safe", "GoalTime": 600000, "GiveUp": 1200000}],
              "Limits": {"TryLimit": 3, "MayDuplicate": true, "Cancel": true, "Probes": true},
              "Rules": {"AnswerSlack": 20000, "DrainGrace": 1000000, "AskWithin": 10000000, "ColdFrom": 0.2,
                "RampTime": 20000000, "OverloadFactor": 2.5, "Fall": 1500000}}}
            """
                        .formatted(listenAddress, discoveryAddress);
        Files.writeString(configFile(), config);
    }
}

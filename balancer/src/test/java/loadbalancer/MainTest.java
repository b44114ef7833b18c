package loadbalancer;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Tag;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

/** The program as it is started: arguments, exit codes and what goes to which stream. */
@Tag("process")
class MainTest {
    private record ProgramResult(int exitCode, String stdout, String stderr) {}

    private static ProgramResult runMain(String input, String... arguments)
            throws IOException, InterruptedException {
        List<String> command =
                new ArrayList<>(
                        List.of(
                                Path.of(System.getProperty("java.home"), "bin", "java").toString(),
                                "-cp",
                                System.getProperty("java.class.path"),
                                "loadbalancer.Main"));
        command.addAll(List.of(arguments));
        Path inputFile = Files.createTempFile("load-balancer", ".in");
        Path outputFile = Files.createTempFile("load-balancer", ".out");
        Path errorFile = Files.createTempFile("load-balancer", ".err");
        Files.writeString(inputFile, input);
        int exitCode =
                new ProcessBuilder(command)
                        .redirectInput(inputFile.toFile())
                        .redirectOutput(outputFile.toFile())
                        .redirectError(errorFile.toFile())
                        .start()
                        .waitFor();
        ProgramResult result =
                new ProgramResult(
                        exitCode,
                        Files.readString(outputFile, StandardCharsets.UTF_8),
                        Files.readString(errorFile, StandardCharsets.UTF_8));
        for (Path file : List.of(inputFile, outputFile, errorFile)) {
            Files.delete(file);
        }
        return result;
    }

    @ParameterizedTest
    @ValueSource(strings = {"", "adapter", "wirehost extra"})
    void wrongArgumentsPrintUsage(String arguments) throws IOException, InterruptedException {
        ProgramResult result =
                runMain("", arguments.isEmpty() ? new String[0] : arguments.split(" "));
        assertEquals(
                new ProgramResult(
                        2, "", "usage: java -jar load-balancer.jar serve | prepare | wirehost\n"),
                result);
    }

    /** The build runs it to record the classes of a start; it needs no discovery or upstreams. */
    @Test
    void prepareStartsAndStopsABalancer() throws IOException, InterruptedException {
        ProgramResult result = runMain("", "prepare");
        assertEquals(0, result.exitCode(), result.stderr());
        assertTrue(result.stderr().contains("stopped: 0 requests taken"), result.stderr());
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
        assertTrue(
                result.stderr().equals("load-balancer: " + expectedMessage.strip() + "\n"),
                result.stderr());
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
        Process process = startServe(configPath);
        String stderr = new String(process.getErrorStream().readAllBytes(), StandardCharsets.UTF_8);
        assertEquals(1, process.waitFor());
        assertTrue(stderr.startsWith("load-balancer: " + expectedMessage), stderr);
        assertEquals(1, stderr.lines().count(), stderr);
    }

    @Test
    void addressInUsePrintsOneLine() throws IOException, InterruptedException {
        try (ServerSocket occupiedSocket =
                new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
            Path configFile = config("127.0.0.1:" + occupiedSocket.getLocalPort());
            Process process = startServe(configFile.toString());
            String stderr =
                    new String(process.getErrorStream().readAllBytes(), StandardCharsets.UTF_8);
            assertEquals(1, process.waitFor());
            assertTrue(stderr.startsWith("load-balancer: can't listen on "), stderr);
            assertEquals(1, stderr.lines().count(), stderr);
            Files.delete(configFile);
        }
    }

    @Test
    void sigtermExitsWithCodeZero() throws IOException, InterruptedException {
        Path configFile = config("127.0.0.1:0");
        Process process = startServe(configFile.toString());
        try (BufferedReader stderr = process.errorReader(StandardCharsets.UTF_8)) {
            String line = stderr.readLine();
            assertTrue(line.startsWith("load-balancer: listening on 127.0.0.1:"), line);
            // SIGTERM
            process.destroy();
            assertEquals(0, process.waitFor());
        }
        Files.delete(configFile);
    }

    /** From its first connection on a balancer may have requests: a signal then drains it too. */
    @Test
    @Timeout(60)
    void repeatedSigtermAtStartStopsGracefully() throws IOException, InterruptedException {
        int port;
        try (ServerSocket unusedSocket = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
            port = unusedSocket.getLocalPort();
        }
        Path configFile = config("127.0.0.1:" + port);
        Process process = startServe(configFile.toString());
        boolean listening = false;
        while (!listening) {
            try (Socket firstConnection = new Socket(InetAddress.getLoopbackAddress(), port)) {
                listening = firstConnection.isConnected();
            } catch (java.net.ConnectException e) {
                assertTrue(process.isAlive());
            }
        }
        process.destroy();
        sendSighup(process);
        process.destroy();
        assertEquals(0, process.waitFor());
        Files.delete(configFile);
    }

    @Test
    @Timeout(60)
    void sighupReloadsOnlyValidConfiguration() throws IOException, InterruptedException {
        Path configFile = config("127.0.0.1:0");
        Process process = startServe(configFile.toString());
        try (BufferedReader stderr = process.errorReader(StandardCharsets.UTF_8);
                ServerSocket newDiscovery =
                        new ServerSocket(0, 5, InetAddress.getLoopbackAddress())) {
            awaitLine(stderr, "listening on ");
            String validConfig = Files.readString(configFile);
            for (String invalidConfig :
                    List.of(
                            "",
                            "{",
                            "[]",
                            "{\"discovery\":7}",
                            validConfig.replace(":9\"", ":x\""))) {
                Files.writeString(configFile, invalidConfig);
                sendSighup(process);
                awaitLine(stderr, "keeping the old configuration: ");
            }
            Files.writeString(
                    configFile,
                    validConfig.replace("127.0.0.1:9", "127.0.0.1:" + newDiscovery.getLocalPort()));
            sendSighup(process);
            awaitLine(
                    stderr,
                    "configuration reread: discovery at 127.0.0.1:" + newDiscovery.getLocalPort());
            try (Socket connection = newDiscovery.accept()) {
                String requestLine =
                        new BufferedReader(
                                        new InputStreamReader(
                                                connection.getInputStream(),
                                                StandardCharsets.US_ASCII))
                                .readLine();
                assertTrue(requestLine.startsWith("GET /api/targets?watch=1&from="), requestLine);
            }
            process.destroy();
            assertEquals(0, process.waitFor());
        } finally {
            process.destroyForcibly();
        }
        Files.delete(configFile);
    }

    /** Under nohup SIGHUP is ignored, but a changed configuration still has to take effect. */
    @Test
    @Timeout(60)
    void changedFileIsReloadedWhenSighupIsIgnored() throws IOException, InterruptedException {
        Path configFile = config("127.0.0.1:0");
        Process process =
                startServe(
                        configFile.toString(), "/bin/sh", "-c", "trap '' HUP; exec \"$@\"", "sh");
        try (BufferedReader stderr = process.errorReader(StandardCharsets.UTF_8)) {
            awaitLine(stderr, "SIGHUP is ignored here since the start");
            awaitLine(stderr, "listening on ");
            Files.writeString(configFile, "{");
            awaitLine(stderr, "keeping the old configuration: ");
            Files.writeString(configFile, config("127.0.0.1:0", "127.0.0.1:19"));
            awaitLine(stderr, "configuration reread: discovery at 127.0.0.1:19");
            sendSighup(process);
            process.destroy();
            assertEquals(0, process.waitFor());
        } finally {
            process.destroyForcibly();
        }
        Files.delete(configFile);
    }

    private static void sendSighup(Process process) throws IOException, InterruptedException {
        assertEquals(
                0,
                new ProcessBuilder("kill", "-HUP", Long.toString(process.pid())).start().waitFor());
    }

    private static void awaitLine(BufferedReader stderr, String text) throws IOException {
        String line = stderr.readLine();
        while (line != null && !line.contains(text)) {
            line = stderr.readLine();
        }
        assertTrue(line != null, "no line: " + text);
    }

    private static Path config(String listenAddress) throws IOException {
        Path configFile = Files.createTempFile("load-balancer", ".json");
        return Files.writeString(configFile, config(listenAddress, "127.0.0.1:9"));
    }

    private static String config(String listenAddress, String discoveryAddress) {
        return """
            {"listen": "%s", "discovery": "%s", "seed": "8c1f30d27a5be964", "settings": {
              "Balancers": 1, "Quantum": 5000, "MembershipMode": "ask",
              "Classes": [{"Name": "a", "Idempotency": "safe", "GoalTime": 600000, "GiveUp": 1200000}],
              "Limits": {"TryLimit": 3, "MayDuplicate": true, "Cancel": true, "Probes": true},
              "Rules": {"AnswerSlack": 20000, "DrainGrace": 1000000, "AskWithin": 10000000, "ColdFrom": 0.2,
                "RampTime": 20000000, "OverloadFactor": 2.5, "Fall": 1500000}}}
            """
                .formatted(listenAddress, discoveryAddress);
    }

    private static Process startServe(String configPath, String... launcher) throws IOException {
        List<String> command = new ArrayList<>(List.of(launcher));
        command.addAll(
                List.of(
                        Path.of(System.getProperty("java.home"), "bin", "java").toString(),
                        "-cp",
                        System.getProperty("java.class.path"),
                        "loadbalancer.Main",
                        "serve"));
        ProcessBuilder builder = new ProcessBuilder(command);
        builder.environment().keySet().removeIf(name -> name.startsWith("ROUTER_"));
        if (!configPath.isEmpty()) {
            builder.environment().put("ROUTER_CONFIG", configPath);
        }
        builder.environment().put("ROUTER_NAME", "n1");
        return builder.start();
    }
}

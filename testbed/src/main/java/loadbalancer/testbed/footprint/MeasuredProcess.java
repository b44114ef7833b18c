package loadbalancer.testbed.footprint;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.NoSuchFileException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import loadbalancer.testbed.emulation.BalancerConfigurationBuilder;
import loadbalancer.testbed.emulation.Json;
import loadbalancer.testbed.emulation.LoopbackAddresses;
import loadbalancer.testbed.process.BalancerEnvironment;
import loadbalancer.testbed.process.LaunchCommand;
import loadbalancer.testbed.process.ProcessMetrics;
import loadbalancer.testbed.process.ProcessSpawner;

/**
 * Runs one real balancer process, started like a deployed one, and measures it with data of the
 * operating system and the JVM. Not thread-safe.
 */
final class MeasuredProcess implements AutoCloseable {
    private static final String NAME = "n0";
    private static final String SEED = "1";
    private static final int MAX_SOCKETS = 1024;
    private static final int MEMORY_MB = 192;
    private static final long READY_TIMEOUT_SECONDS = 60;
    private static final long READY_POLL_INTERVAL_MS = 10;
    private static final long SHUTDOWN_TIMEOUT_SECONDS = 5;
    private static final Path JCMD = Path.of(System.getProperty("java.home"), "bin", "jcmd");
    private static final Pattern HEAP_USED_PATTERN =
            Pattern.compile("(?:new|tenured) generation\\s+total \\d+K, used (\\d+)K");

    private final Process process;
    private final long startNanos = System.nanoTime();
    private final InetSocketAddress listenAddress;
    private final InetSocketAddress adminAddress;
    private final Path logFile;
    private final Path gcLogFile;
    private final Path stateDirectory;
    // CPU time by thread id, including threads that have ended
    private final Map<String, Long> cpuNanosByThread = new HashMap<>();

    /**
     * Starts the process.
     *
     * @param directory the directory for its configuration, logs, temporary files and state
     * @param peers the addresses of its peers, or null if it has none
     * @param additionalEnvironment additional environment variables of the process
     * @throws IOException if the process can't be started, or a file can't be written
     */
    MeasuredProcess(
            ProcessSpawner spawner,
            LaunchCommand launchCommand,
            Path directory,
            FootprintCase footprintCase,
            EmulatedBackend backend,
            LoopbackAddresses addresses,
            InetSocketAddress peerListenAddress,
            List<InetSocketAddress> peers,
            Map<String, String> additionalEnvironment)
            throws IOException {
        listenAddress = addresses.findFreePort(addresses.clientAddress(0));
        adminAddress = addresses.findFreePort(addresses.clientAddress(0));
        logFile = directory.resolve("log");
        gcLogFile = directory.resolve("collections");
        Map<String, Object> configuration =
                configuration(footprintCase, backend, peerListenAddress, peers);
        Path configFile =
                Files.writeString(directory.resolve("config.json"), Json.write(configuration));
        ProcessBuilder processBuilder =
                new ProcessBuilder()
                        .redirectOutput(ProcessBuilder.Redirect.DISCARD)
                        .redirectError(logFile.toFile());
        Map<String, String> environment =
                BalancerEnvironment.configure(
                        processBuilder,
                        NAME,
                        configFile,
                        Files.createDirectories(directory.resolve("tmp")));
        environment.putAll(additionalEnvironment);
        stateDirectory = directory.resolve("state");
        if (additionalEnvironment.containsKey(BalancerEnvironment.STATE_DIRECTORY_VARIABLE)) {
            environment.put(
                    BalancerEnvironment.STATE_DIRECTORY_VARIABLE,
                    Files.createDirectories(stateDirectory).toString());
        }
        List<String> command = new ArrayList<>(launchCommand.command());
        int jarOption = command.indexOf("-jar");
        command.add(
                jarOption < 0 ? command.size() : jarOption,
                "-Xlog:gc:file=" + gcLogFile + ":uptime");
        process = spawner.start(command, MAX_SOCKETS, processBuilder);
    }

    private Map<String, Object> configuration(
            FootprintCase footprintCase,
            EmulatedBackend backend,
            InetSocketAddress peerListenAddress,
            List<InetSocketAddress> peers) {
        BalancerConfigurationBuilder configuration =
                new BalancerConfigurationBuilder(NAME, LoopbackAddresses.format(listenAddress))
                        .admin(LoopbackAddresses.format(adminAddress))
                        .discovery(LoopbackAddresses.format(backend.discoveryAddress()))
                        .seed(SEED)
                        .limits(MEMORY_MB, MAX_SOCKETS);
        if (peers != null) {
            String ownAddress = LoopbackAddresses.format(peerListenAddress);
            List<String> peerAddresses = new ArrayList<>(List.of(ownAddress));
            peers.forEach(peer -> peerAddresses.add(LoopbackAddresses.format(peer)));
            configuration.peers(ownAddress, peerAddresses);
        }
        return configuration.build(backend.endpointList(), footprintCase.settings());
    }

    /** Returns the address at which the process listens for clients. */
    InetSocketAddress listenAddress() {
        return listenAddress;
    }

    /** Returns whether the process has not ended. */
    boolean isRunning() {
        return process.isAlive();
    }

    /**
     * Waits until the process is ready, and returns the seconds since its start. Returns -1 if the
     * process has ended or is not ready in time.
     */
    double awaitReadySeconds() throws InterruptedException {
        while (process.isAlive()
                && System.nanoTime() - startNanos
                        < TimeUnit.SECONDS.toNanos(READY_TIMEOUT_SECONDS)) {
            if (callAdmin("ready").startsWith("200")) {
                return (System.nanoTime() - startNanos) / 1e9;
            }
            TimeUnit.MILLISECONDS.sleep(READY_POLL_INTERVAL_MS);
        }
        return -1;
    }

    private String callAdmin(String command) {
        try (Socket socket = new Socket(adminAddress.getAddress(), adminAddress.getPort())) {
            socket.setSoTimeout(2_000);
            socket.getOutputStream().write((command + "\n").getBytes(StandardCharsets.US_ASCII));
            return new String(socket.getInputStream().readAllBytes(), StandardCharsets.US_ASCII);
        } catch (IOException e) {
            // The process is not listening yet, or is busy.
            return "";
        }
    }

    /**
     * Returns the CPU seconds of all threads so far. For threads that have ended, includes their
     * CPU time at the last call before their end.
     *
     * @throws IOException if the process has ended
     */
    double cpuSeconds() throws IOException {
        try (var tasks = Files.list(Path.of("/proc", Long.toString(process.pid()), "task"))) {
            for (Path task : tasks.toList()) {
                try {
                    cpuNanosByThread.put(
                            task.getFileName().toString(),
                            Long.parseLong(
                                    Files.readString(task.resolve("schedstat")).split(" ")[0]));
                } catch (NoSuchFileException e) {
                    // The thread has ended since it was listed.
                }
            }
        }
        return cpuNanosByThread.values().stream().mapToLong(nanos -> nanos).sum() / 1e9;
    }

    /** Returns the resident memory, MB of 1,024 kB. */
    double residentMb() {
        return ProcessMetrics.read(process.pid()).residentKb() / 1024.0;
    }

    /** Returns the heap after a full collection, MB of 1,024 kB, or -1 if jcmd does not work. */
    double liveHeapMb() throws IOException, InterruptedException {
        String pid = Long.toString(process.pid());
        if (!Files.isExecutable(JCMD) || runJcmd(pid, "GC.run").isEmpty()) {
            return -1;
        }
        Matcher used = HEAP_USED_PATTERN.matcher(runJcmd(pid, "GC.heap_info"));
        long usedKb = 0;
        while (used.find()) {
            usedKb += Long.parseLong(used.group(1));
        }
        return usedKb == 0 ? -1 : usedKb / 1024.0;
    }

    private static String runJcmd(String... arguments) throws IOException, InterruptedException {
        List<String> command = new ArrayList<>(List.of(JCMD.toString()));
        command.addAll(List.of(arguments));
        Process jcmd = new ProcessBuilder(command).redirectErrorStream(true).start();
        String output = new String(jcmd.getInputStream().readAllBytes(), StandardCharsets.UTF_8);
        return jcmd.waitFor() == 0 ? output : "";
    }

    /**
     * Returns the pauses of the garbage collector so far, in order, ms.
     *
     * @param fullCollections true for the pauses of full collections, false for those of young ones
     */
    List<Double> gcPausesMs(boolean fullCollections) throws IOException {
        Pattern pausePattern =
                Pattern.compile(
                        (fullCollections ? "Pause Full" : "Pause Young") + ".* ([0-9.]+)ms$");
        return Files.readAllLines(gcLogFile).stream()
                .map(pausePattern::matcher)
                .filter(Matcher::find)
                .map(matcher -> Double.valueOf(matcher.group(1)))
                .toList();
    }

    /**
     * Returns the bytes of the largest snapshot; 0 if there is none, -1 without a state directory.
     */
    long snapshotBytes() throws IOException {
        if (!Files.exists(stateDirectory)) {
            return -1;
        }
        try (var files = Files.list(stateDirectory)) {
            return files.filter(file -> file.getFileName().toString().startsWith("snapshot-"))
                    .mapToLong(file -> file.toFile().length())
                    .max()
                    .orElse(0);
        }
    }

    /** Returns the last line of the log, or an empty string. */
    String lastLogLine() throws IOException {
        List<String> lines = Files.readAllLines(logFile);
        return lines.isEmpty() ? "" : lines.get(lines.size() - 1);
    }

    @Override
    public void close() {
        process.destroy();
        try {
            if (!process.waitFor(SHUTDOWN_TIMEOUT_SECONDS, TimeUnit.SECONDS)) {
                process.destroyForcibly().waitFor();
            }
        } catch (InterruptedException e) {
            process.destroyForcibly();
            Thread.currentThread().interrupt();
        }
    }
}

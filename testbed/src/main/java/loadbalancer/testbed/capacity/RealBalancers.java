package loadbalancer.testbed.capacity;

import java.io.IOException;
import java.net.DatagramSocket;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.function.ToLongFunction;
import java.util.stream.IntStream;
import java.util.stream.Stream;
import loadbalancer.testbed.emulation.Json;
import loadbalancer.testbed.process.LaunchCommand;
import loadbalancer.testbed.workload.RandomStreams;

/**
 * The last balancers of a fleet on sockets, as processes of the real program; nobody sends them
 * requests.
 */
final class RealBalancers implements AutoCloseable {
    private static final long SHUTDOWN_TIMEOUT_SECONDS = 5;
    // How the system shows the loop's thread
    private static final String EVENT_LOOP_THREAD_PREFIX = "nioEventLoop";

    private final List<Process> processes = new ArrayList<>();
    private final Thread shutdownHook =
            new Thread(() -> processes.forEach(Process::destroyForcibly), "end of real balancers");
    private final StaticDiscoveryServer discovery;
    private final Path directory;
    private final int firstBalancer;
    private final SocketHollowFleet fleet;
    private long[] cpuBaselineNanos = {};
    private long[] loopCpuBaselineNanos = {};

    /**
     * Starts {@code count} of them.
     *
     * @throws IOException where one can't be started, or its jar is not there
     */
    RealBalancers(FleetSpec fleetSpec, SocketHollowFleet fleet, int count, long seed)
            throws IOException {
        this.fleet = fleet;
        firstBalancer = fleetSpec.balancers() - count;
        Path projectRoot = LaunchCommand.findDeployFile().getParent().getParent();
        LaunchCommand launchCommand =
                LaunchCommand.fromDeployFile(
                        LaunchCommand.findDeployFile(),
                        projectRoot.resolve("balancer/target/load-balancer.jar"));
        directory = Files.createTempDirectory("capacity");
        discovery =
                new StaticDiscoveryServer(Json.write(RealBalancerConfig.endpointList(fleetSpec)));
        Runtime.getRuntime().addShutdownHook(shutdownHook);
        for (int balancer = firstBalancer; balancer < fleetSpec.balancers(); balancer++) {
            start(fleetSpec, balancer, launchCommand, seed);
        }
    }

    private void start(FleetSpec fleetSpec, int balancer, LaunchCommand launchCommand, long seed)
            throws IOException {
        InetSocketAddress peerListenAddress = findFreeUdpPort();
        fleet.relay().register(balancer, peerListenAddress);
        List<String> peers =
                IntStream.range(0, fleetSpec.balancers())
                        .mapToObj(
                                peer ->
                                        formatAddress(
                                                peer == balancer
                                                        ? peerListenAddress
                                                        : fleet.relay().relayAddress(peer)))
                        .toList();
        Path configFile = directory.resolve("n" + balancer + ".json");
        Files.writeString(
                configFile,
                Json.write(
                        RealBalancerConfig.configuration(
                                fleetSpec,
                                balancer,
                                RandomStreams.seedFor(seed, "real " + balancer),
                                formatAddress(findFreeTcpPort()),
                                formatAddress(discovery.address()),
                                formatAddress(peerListenAddress),
                                peers,
                                formatAddress(fleet.relay().broadcastAddress()))));
        ProcessBuilder processBuilder =
                new ProcessBuilder(launchCommand.command())
                        .redirectOutput(ProcessBuilder.Redirect.DISCARD)
                        .redirectError(directory.resolve("n" + balancer + ".log").toFile());
        Map<String, String> environment = processBuilder.environment();
        environment.keySet().retainAll(List.of("PATH", "HOME", "LANG", "JAVA_HOME"));
        environment.put("ROUTER_NAME", "n" + balancer);
        environment.put("ROUTER_CONFIG", configFile.toString());
        environment.put("TMPDIR", directory.toString());
        environment.put(
                "TANSYFERRY_MEMBERSHIP",
                fleetSpec.components().contains(BalancerComponent.MEMBERSHIP) ? "on" : "off");
        environment.put(
                "TANSYFERRY_DUTIES",
                fleetSpec.components().contains(BalancerComponent.LEASES) ? "on" : "off");
        processes.add(processBuilder.start());
    }

    private static String formatAddress(InetSocketAddress address) {
        return address.getAddress().getHostAddress() + ":" + address.getPort();
    }

    private static InetSocketAddress findFreeTcpPort() throws IOException {
        try (ServerSocket probe = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
            return (InetSocketAddress) probe.getLocalSocketAddress();
        }
    }

    private static InetSocketAddress findFreeUdpPort() throws IOException {
        try (DatagramSocket probe = new DatagramSocket(0, InetAddress.getLoopbackAddress())) {
            return (InetSocketAddress) probe.getLocalSocketAddress();
        }
    }

    /** Forgets what was spent so far. */
    void resetCounters() {
        cpuBaselineNanos = processes.stream().mapToLong(RealBalancers::cpuNanos).toArray();
        loopCpuBaselineNanos = processes.stream().mapToLong(RealBalancers::loopCpuNanos).toArray();
    }

    /**
     * What they spent and what passed between them and the others since then, means.
     *
     * @throws IOException where one has ended
     */
    Map<String, Double> metrics(double seconds) throws IOException {
        for (Process process : processes) {
            if (!process.isAlive()) {
                throw new IOException("a real balancer has ended; its log is in " + directory);
            }
        }
        List<CostCounters> counters =
                IntStream.range(firstBalancer, firstBalancer + processes.size())
                        .mapToObj(fleet.relay()::counters)
                        .toList();
        Map<String, Double> metrics = new java.util.TreeMap<>();
        metrics.put("real.count", (double) processes.size());
        metrics.put(
                "real.cpu.shareOfCore.total",
                meanIncrease(cpuBaselineNanos, RealBalancers::cpuNanos) / 1e9 / seconds);
        metrics.put(
                "real.cpu.shareOfCore.loop",
                meanIncrease(loopCpuBaselineNanos, RealBalancers::loopCpuNanos) / 1e9 / seconds);
        for (CostCategory category :
                List.of(CostCategory.GOSSIP, CostCategory.MEMBERSHIP, CostCategory.LEASES)) {
            metrics.put(
                    "real.sent.bytesPerSecond." + category.key(),
                    counters.stream()
                                    .mapToDouble(
                                            balancerCounters ->
                                                    balancerCounters.sentBytes(category))
                                    .average()
                                    .orElse(0)
                            / seconds);
            metrics.put(
                    "real.received.bytesPerSecond." + category.key(),
                    counters.stream()
                                    .mapToDouble(
                                            balancerCounters ->
                                                    balancerCounters.receivedBytes(category))
                                    .average()
                                    .orElse(0)
                            / seconds);
            metrics.put(
                    "real.sent.datagramsPerSecond." + category.key(),
                    counters.stream()
                                    .mapToDouble(
                                            balancerCounters -> balancerCounters.sent(category))
                                    .average()
                                    .orElse(0)
                            / seconds);
            metrics.put(
                    "real.received.datagramsPerSecond." + category.key(),
                    counters.stream()
                                    .mapToDouble(
                                            balancerCounters -> balancerCounters.received(category))
                                    .average()
                                    .orElse(0)
                            / seconds);
        }
        return metrics;
    }

    private double meanIncrease(long[] baselineNanos, ToLongFunction<Process> currentNanos) {
        return IntStream.range(0, baselineNanos.length)
                .mapToDouble(i -> currentNanos.applyAsLong(processes.get(i)) - baselineNanos[i])
                .average()
                .orElse(0);
    }

    // ns, in hundredths of a second; threads that have ended, as compilers do, count.
    private static long cpuNanos(Process process) {
        return process.info().totalCpuDuration().map(java.time.Duration::toNanos).orElse(0L);
    }

    // ns that its event loop had a core.
    private static long loopCpuNanos(Process process) {
        long totalNanos = 0;
        try (Stream<Path> tasks =
                Files.list(Path.of("/proc", Long.toString(process.pid()), "task"))) {
            for (Path task : tasks.toList()) {
                if (Files.readString(task.resolve("comm")).startsWith(EVENT_LOOP_THREAD_PREFIX)) {
                    totalNanos +=
                            Long.parseLong(
                                    Files.readString(task.resolve("schedstat")).split(" ")[0]);
                }
            }
        } catch (IOException e) {
            // It has ended, which figures() tells
            return 0;
        }
        return totalNanos;
    }

    @Override
    public void close() {
        processes.forEach(Process::destroy);
        try {
            for (Process process : processes) {
                if (!process.waitFor(SHUTDOWN_TIMEOUT_SECONDS, TimeUnit.SECONDS)) {
                    process.destroyForcibly();
                }
            }
            try (Stream<Path> files = Files.list(directory)) {
                for (Path file : files.toList()) {
                    Files.delete(file);
                }
            }
            Files.delete(directory);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        } catch (IOException e) {
            throw new java.io.UncheckedIOException(e);
        }
        Runtime.getRuntime().removeShutdownHook(shutdownHook);
        discovery.close();
    }
}

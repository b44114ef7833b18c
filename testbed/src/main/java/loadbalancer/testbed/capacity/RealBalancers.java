package loadbalancer.testbed.capacity;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.DatagramSocket;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.TimeUnit;
import java.util.function.ToLongFunction;
import java.util.stream.IntStream;
import java.util.stream.Stream;
import loadbalancer.testbed.emulation.Json;
import loadbalancer.testbed.emulation.LoopbackAddresses;
import loadbalancer.testbed.error.ProcessFailedException;
import loadbalancer.testbed.process.BalancerEnvironment;
import loadbalancer.testbed.process.LaunchCommand;
import loadbalancer.testbed.workload.RandomStreams;

/**
 * Runs the real balancers of a fleet on sockets as processes of the program. They are the balancers
 * with the highest numbers and receive no requests. Used by the thread of the experiment.
 */
final class RealBalancers implements AutoCloseable {
    private static final long SHUTDOWN_TIMEOUT_SECONDS = 5;
    // The system truncates the names of threads, so only a prefix is compared.
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
     * Starts the last {@code count} balancers of the fleet.
     *
     * @throws IOException if a balancer can't be started, or the jar is missing
     */
    RealBalancers(FleetSpec fleetSpec, SocketHollowFleet fleet, int count, long seed)
            throws IOException {
        this.fleet = fleet;
        firstBalancer = fleetSpec.balancers() - count;
        LaunchCommand launchCommand = LaunchCommand.forProjectBuild();
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
                                        LoopbackAddresses.format(
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
                                LoopbackAddresses.format(findFreeTcpPort()),
                                LoopbackAddresses.format(discovery.address()),
                                LoopbackAddresses.format(peerListenAddress),
                                peers,
                                LoopbackAddresses.format(fleet.relay().broadcastAddress()))));
        ProcessBuilder processBuilder =
                new ProcessBuilder(launchCommand.command())
                        .redirectOutput(ProcessBuilder.Redirect.DISCARD)
                        .redirectError(directory.resolve("n" + balancer + ".log").toFile());
        Map<String, String> environment =
                BalancerEnvironment.configure(
                        processBuilder, "n" + balancer, configFile, directory);
        environment.put(
                "TANSYFERRY_MEMBERSHIP",
                fleetSpec.components().contains(BalancerComponent.MEMBERSHIP) ? "on" : "off");
        environment.put(
                "TANSYFERRY_DUTIES",
                fleetSpec.components().contains(BalancerComponent.LEASES) ? "on" : "off");
        processes.add(processBuilder.start());
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

    /** Starts a measurement; metrics cover the time since the last call of this method. */
    void resetCounters() {
        cpuBaselineNanos = processes.stream().mapToLong(RealBalancers::cpuNanos).toArray();
        loopCpuBaselineNanos = processes.stream().mapToLong(RealBalancers::loopCpuNanos).toArray();
    }

    /**
     * Returns CPU and datagrams since the last reset, as means over the real balancers.
     *
     * @param seconds the duration of the measurement
     * @throws ProcessFailedException if a balancer has ended
     */
    Map<String, Double> metrics(double seconds) throws IOException {
        for (Process process : processes) {
            if (!process.isAlive()) {
                throw new ProcessFailedException(
                        "a real balancer has ended; its log is in " + directory);
            }
        }
        List<CostCounters> counters =
                IntStream.range(firstBalancer, firstBalancer + processes.size())
                        .mapToObj(fleet.relay()::counters)
                        .toList();
        Map<String, Double> metrics = new TreeMap<>();
        metrics.put("real.count", (double) processes.size());
        metrics.put(
                "real.cpu.shareOfCore.total",
                meanIncrease(cpuBaselineNanos, RealBalancers::cpuNanos) / 1e9 / seconds);
        metrics.put(
                "real.cpu.shareOfCore.loop",
                meanIncrease(loopCpuBaselineNanos, RealBalancers::loopCpuNanos) / 1e9 / seconds);
        TrafficMetrics.addMeans("real.", counters, seconds, metrics);
        return metrics;
    }

    private double meanIncrease(long[] baselineNanos, ToLongFunction<Process> currentNanos) {
        return IntStream.range(0, baselineNanos.length)
                .mapToDouble(i -> currentNanos.applyAsLong(processes.get(i)) - baselineNanos[i])
                .average()
                .orElse(0);
    }

    // The system reports this with a resolution of 10 ms, and includes threads that have ended.
    private static long cpuNanos(Process process) {
        return process.info().totalCpuDuration().map(Duration::toNanos).orElse(0L);
    }

    // Returns the CPU time of the event loop's thread.
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
            // The process has ended; metrics() reports that.
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
            throw new UncheckedIOException(e);
        }
        Runtime.getRuntime().removeShutdownHook(shutdownHook);
        discovery.close();
    }
}

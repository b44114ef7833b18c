package loadbalancer.server;

import com.fasterxml.jackson.jr.ob.JSON;
import java.io.Closeable;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.List;
import java.util.Map;
import loadbalancer.ServeProcess;
import loadbalancer.TestAwait;
import loadbalancer.config.SocketAddressParser;

/**
 * A ready balancer in a process of its own, with the heap of the deploy file and 1,024 descriptors.
 */
final class SmallHeapBalancer implements Closeable {
    private static final int DESCRIPTOR_LIMIT = 1_024;
    private static final Duration READY_TIMEOUT = Duration.ofSeconds(60);
    private static final List<String> JVM_OPTIONS =
            List.of(
                    "-XX:+UseSerialGC",
                    "-Xms40m",
                    "-Xmx40m",
                    "-XX:MaxDirectMemorySize=16m",
                    "-XX:MaxMetaspaceSize=48m",
                    "-XX:ReservedCodeCacheSize=16m",
                    "-XX:TieredStopAtLevel=1",
                    "-Xss256k",
                    "-XX:+ExitOnOutOfMemoryError",
                    "-Dio.netty.allocator.type=unpooled");

    private final ServeProcess process;
    private final InetSocketAddress address;

    /**
     * Starts a balancer in front of upstreams; {@code launcher} executes the arguments after it.
     */
    SmallHeapBalancer(Path directory, Map<String, Object> endpointList, String launcher)
            throws IOException {
        Map<String, Object> config =
                BalancerServerFixtures.rawConfig(
                        Map.of(
                                "limits",
                                Map.of("sockets", DESCRIPTOR_LIMIT),
                                "settings",
                                BalancerServerFixtures.settings(),
                                "known",
                                endpointList));
        Path file = Files.writeString(directory.resolve("config.json"), JSON.std.asString(config));
        process =
                ServeProcess.start(
                        file.toString(),
                        List.of(
                                "/bin/sh",
                                "-c",
                                "ulimit -n " + DESCRIPTOR_LIMIT + "; exec " + launcher + " \"$@\"",
                                "sh"),
                        JVM_OPTIONS);
        String line = process.awaitLine("listening on ");
        process.discardLog();
        address = SocketAddressParser.parse(line.substring(line.lastIndexOf(' ') + 1));
        TestAwait.await("the balancer is ready")
                .atMost(READY_TIMEOUT)
                .ignoreExceptions()
                .until(() -> BalancerServerFixtures.readinessStatus(address) == 200);
    }

    InetSocketAddress address() {
        return address;
    }

    Process process() {
        return process.process();
    }

    /** Returns the largest amount of memory in KB that the process has used. */
    long peakMemoryKilobytes() throws IOException {
        return Files.readAllLines(Path.of("/proc/" + process().pid() + "/status")).stream()
                .filter(line -> line.startsWith("VmHWM:"))
                .mapToLong(line -> Long.parseLong(line.replaceAll("\\D", "")))
                .findFirst()
                .orElseThrow();
    }

    @Override
    public void close() throws IOException {
        process.close();
    }
}

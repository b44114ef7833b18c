package junctionhead.lab.capacity;

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
import junctionhead.lab.fleet.Launch;
import junctionhead.lab.plan.Seeds;
import junctionhead.lab.stand.Json;

/**
 * The last balancers of a fleet on sockets, as processes of the real program; nobody sends them
 * requests.
 */
final class RealBalancers implements AutoCloseable {
    private static final long END_S = 5;
    // How the system shows the loop's thread
    private static final String LOOP = "nioEventLoop";

    private final List<Process> processes = new ArrayList<>();
    private final Thread atEnd =
            new Thread(() -> processes.forEach(Process::destroyForcibly), "end of real balancers");
    private final ListStand discovery;
    private final Path folder;
    private final int first;
    private final SocketDrive drive;
    private long[] cpuFrom = {};
    private long[] loopFrom = {};

    /**
     * Starts {@code count} of them.
     *
     * @throws IOException where one can't be started, or its jar is not there
     */
    RealBalancers(Site site, SocketDrive drive, int count, long seed) throws IOException {
        this.drive = drive;
        first = site.balancers() - count;
        Path root = Launch.deployFile().getParent().getParent();
        Launch launch =
                Launch.of(Launch.deployFile(), root.resolve("balancer/target/junctionhead.jar"));
        folder = Files.createTempDirectory("capacity");
        discovery = new ListStand(Json.text(Told.list(site)));
        Runtime.getRuntime().addShutdownHook(atEnd);
        for (int b = first; b < site.balancers(); b++) {
            start(site, b, launch, seed);
        }
    }

    private void start(Site site, int b, Launch launch, long seed) throws IOException {
        InetSocketAddress home = freeForDatagrams();
        drive.paths().home(b, home);
        List<String> peers =
                IntStream.range(0, site.balancers())
                        .mapToObj(i -> text(i == b ? home : drive.paths().face(i)))
                        .toList();
        Path config = folder.resolve("n" + b + ".json");
        Files.writeString(
                config,
                Json.text(
                        Told.configuration(
                                site,
                                b,
                                Seeds.number(seed, "real " + b),
                                text(free()),
                                text(discovery.address()),
                                text(home),
                                peers,
                                text(drive.paths().everyone()))));
        ProcessBuilder builder =
                new ProcessBuilder(launch.command())
                        .redirectOutput(ProcessBuilder.Redirect.DISCARD)
                        .redirectError(folder.resolve("n" + b + ".log").toFile());
        Map<String, String> environment = builder.environment();
        environment.keySet().retainAll(List.of("PATH", "HOME", "LANG", "JAVA_HOME"));
        environment.put("ROUTER_NAME", "n" + b);
        environment.put("ROUTER_CONFIG", config.toString());
        environment.put("TMPDIR", folder.toString());
        environment.put(
                "TANSYFERRY_MEMBERSHIP", site.parts().contains(Part.MEMBERSHIP) ? "on" : "off");
        environment.put("TANSYFERRY_DUTIES", site.parts().contains(Part.DUTIES) ? "on" : "off");
        processes.add(builder.start());
    }

    private static String text(InetSocketAddress address) {
        return address.getAddress().getHostAddress() + ":" + address.getPort();
    }

    private static InetSocketAddress free() throws IOException {
        try (ServerSocket probe = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
            return (InetSocketAddress) probe.getLocalSocketAddress();
        }
    }

    private static InetSocketAddress freeForDatagrams() throws IOException {
        try (DatagramSocket probe = new DatagramSocket(0, InetAddress.getLoopbackAddress())) {
            return (InetSocketAddress) probe.getLocalSocketAddress();
        }
    }

    /** Forgets what was spent so far. */
    void clear() {
        cpuFrom = processes.stream().mapToLong(RealBalancers::cpu).toArray();
        loopFrom = processes.stream().mapToLong(RealBalancers::loopCpu).toArray();
    }

    /**
     * What they spent and what passed between them and the others since then, means.
     *
     * @throws IOException where one has ended
     */
    Map<String, Double> figures(double seconds) throws IOException {
        for (Process p : processes) {
            if (!p.isAlive()) {
                throw new IOException("a real balancer has ended; its log is in " + folder);
            }
        }
        List<Ledger> ledgers =
                IntStream.range(first, first + processes.size())
                        .mapToObj(drive.paths()::ledger)
                        .toList();
        Map<String, Double> figures = new java.util.TreeMap<>();
        figures.put("real.count", (double) processes.size());
        figures.put(
                "real.cpu.shareOfCore.total", spent(cpuFrom, RealBalancers::cpu) / 1e9 / seconds);
        figures.put(
                "real.cpu.shareOfCore.loop",
                spent(loopFrom, RealBalancers::loopCpu) / 1e9 / seconds);
        for (Kind k : List.of(Kind.WORD, Kind.MEMBERSHIP, Kind.DUTIES)) {
            figures.put(
                    "real.sent.bytesPerSecond." + k.key(),
                    ledgers.stream().mapToDouble(l -> l.sentBytes(k)).average().orElse(0)
                            / seconds);
            figures.put(
                    "real.received.bytesPerSecond." + k.key(),
                    ledgers.stream().mapToDouble(l -> l.receivedBytes(k)).average().orElse(0)
                            / seconds);
            figures.put(
                    "real.sent.datagramsPerSecond." + k.key(),
                    ledgers.stream().mapToDouble(l -> l.sent(k)).average().orElse(0) / seconds);
            figures.put(
                    "real.received.datagramsPerSecond." + k.key(),
                    ledgers.stream().mapToDouble(l -> l.received(k)).average().orElse(0) / seconds);
        }
        return figures;
    }

    private double spent(long[] from, ToLongFunction<Process> now) {
        return IntStream.range(0, from.length)
                .mapToDouble(i -> now.applyAsLong(processes.get(i)) - from[i])
                .average()
                .orElse(0);
    }

    // ns, in hundredths of a second; threads that have ended, as compilers do, count.
    private static long cpu(Process process) {
        return process.info().totalCpuDuration().map(java.time.Duration::toNanos).orElse(0L);
    }

    // ns that its event loop had a core.
    private static long loopCpu(Process process) {
        long all = 0;
        try (Stream<Path> tasks =
                Files.list(Path.of("/proc", Long.toString(process.pid()), "task"))) {
            for (Path task : tasks.toList()) {
                if (Files.readString(task.resolve("comm")).startsWith(LOOP)) {
                    all +=
                            Long.parseLong(
                                    Files.readString(task.resolve("schedstat")).split(" ")[0]);
                }
            }
        } catch (IOException e) {
            // It has ended, which figures() tells
            return 0;
        }
        return all;
    }

    @Override
    public void close() {
        processes.forEach(Process::destroy);
        try {
            for (Process p : processes) {
                if (!p.waitFor(END_S, TimeUnit.SECONDS)) {
                    p.destroyForcibly();
                }
            }
            try (Stream<Path> files = Files.list(folder)) {
                for (Path file : files.toList()) {
                    Files.delete(file);
                }
            }
            Files.delete(folder);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        } catch (IOException e) {
            throw new java.io.UncheckedIOException(e);
        }
        Runtime.getRuntime().removeShutdownHook(atEnd);
        discovery.close();
    }
}

package loadbalancer.testbed.footprint;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Collections;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import loadbalancer.testbed.docfigures.RepeatedMeasurements;
import loadbalancer.testbed.emulation.Json;
import loadbalancer.testbed.emulation.LoopbackAddresses;
import loadbalancer.testbed.process.LaunchCommand;
import loadbalancer.testbed.process.ProcessSpawner;
import org.HdrHistogram.Histogram;

/**
 * Measures one real process at a size, in phases: its start, an idle phase, single changes of the
 * endpoint list, the changes of a zone in one message, the complete list sent again, and its
 * memory. Not thread-safe. The keys of the measurements, after the size's prefix, are:
 *
 * <ul>
 *   <li>{@code ready_s}, {@code start_cpu_s}: time and CPU time until the process was ready, s
 *   <li>{@code rest_cpu}: fraction of a core when idle
 *   <li>{@code change_cpu_ms}: CPU time per changed entry, beyond that of the idle process
 *   <li>{@code zone_cpu_ms}, {@code whole_cpu_ms}: CPU time per message with the changes of a zone
 *       or with the complete list, beyond that of the idle process
 *   <li>{@code resident_mb}, {@code live_mb}: resident memory and live heap
 *   <li>{@code collections.*}: garbage collections and their pauses, ms
 *   <li>{@code told.*}: datagrams and bytes sent to the peers, per second
 *   <li>{@code list_bytes}, {@code kept_bytes}: size of the endpoint list and of the largest
 *       snapshot
 *   <li>{@code direct_ms.*}, {@code rest_ms.*}, {@code change_ms.*}, {@code zone_ms.*}, {@code
 *       whole_ms.*}: latencies without the balancer and in each phase, measured from the time at
 *       which a request was due; only with requests
 *   <li>{@code failed}: number of requests that failed; only with requests
 *   <li>{@code ended}: 1 if the process has ended before the end of the measurement
 * </ul>
 */
public final class FootprintBenchmark {
    private static final int SETTLE_MS = 5_000;
    private static final int CHANGE_COUNT = 100;
    private static final int CHANGE_INTERVAL_MS = 50;
    private static final int WARM_UP_CHANGE_COUNT = 20;
    // Time after a change during which the process handles it
    private static final int CHANGE_SETTLE_MS = 2_000;
    private static final int DIRECT_LOAD_MS = 3_000;
    private static final int ZONE_COUNT = 30;

    private final LaunchCommand launchCommand;
    private final Path outputDirectory;
    private final int idleMs;
    private final Map<String, String> environment;
    private final RepeatedMeasurements measurements;
    private final Consumer<String> progress;

    /**
     * Creates a benchmark.
     *
     * @param outputDirectory the directory for configurations and logs
     * @param idleMs the duration of the idle phase, ms
     * @param environment additional environment variables of the process; if the variable of the
     *     state directory is among them, its value is replaced by a directory below {@code
     *     outputDirectory}
     * @param measurements collects the measurements
     * @param progress is called with one line of text for each measured size
     */
    public FootprintBenchmark(
            LaunchCommand launchCommand,
            Path outputDirectory,
            int idleMs,
            Map<String, String> environment,
            RepeatedMeasurements measurements,
            Consumer<String> progress) {
        this.environment = Map.copyOf(environment);
        this.launchCommand = launchCommand;
        this.outputDirectory = outputDirectory;
        this.idleMs = idleMs;
        this.measurements = measurements;
        this.progress = progress;
    }

    /**
     * Measures one size once. A process that ends early is not an error: that is recorded as {@code
     * ended}.
     *
     * @param repeat the number of the repetition, for the names of directories
     * @throws IOException if the process can't be started, or a file or socket can't be used
     */
    public void measure(FootprintCase footprintCase, int repeat)
            throws IOException, InterruptedException {
        LoopbackAddresses addresses = new LoopbackAddresses();
        Path directory =
                Files.createDirectories(
                        outputDirectory.resolve(footprintCase.keyPrefix() + repeat));
        InetSocketAddress peerListenAddress = addresses.findFreePort(addresses.peerAddress(0));
        try (ProcessSpawner spawner = new ProcessSpawner();
                EmulatedBackend backend =
                        new EmulatedBackend(footprintCase, addresses.backendAddress(0));
                EmulatedPeers peers =
                        footprintCase.balancers() == 1
                                ? null
                                : new EmulatedPeers(
                                        footprintCase.balancers() - 1,
                                        footprintCase.reportingPeers(),
                                        peerListenAddress);
                MeasuredProcess process =
                        new MeasuredProcess(
                                spawner,
                                launchCommand,
                                directory,
                                footprintCase,
                                backend,
                                addresses,
                                peerListenAddress,
                                peers == null ? null : peers.addresses(),
                                environment)) {
            measurements.add(
                    footprintCase.keyPrefix() + "list_bytes",
                    Json.write(backend.endpointList()).length());
            boolean completed = false;
            try {
                completed = measurePhases(footprintCase, backend, peers, process);
            } catch (IOException e) {
                if (process.isRunning()) {
                    throw e;
                }
            }
            if (!completed) {
                measurements.add(footprintCase.keyPrefix() + "ended", 1);
                progress.accept(
                        footprintCase.keyPrefix() + " did not last: " + process.lastLogLine());
            }
        }
    }

    private boolean measurePhases(
            FootprintCase footprintCase,
            EmulatedBackend backend,
            EmulatedPeers peers,
            MeasuredProcess process)
            throws IOException, InterruptedException {
        String keyPrefix = footprintCase.keyPrefix();
        double readySeconds = process.awaitReadySeconds();
        if (readySeconds < 0) {
            return false;
        }
        measurements.add(keyPrefix + "ready_s", readySeconds);
        measurements.add(keyPrefix + "start_cpu_s", process.cpuSeconds());
        boolean underLoad = footprintCase.requestsPerSecond() > 0;
        if (underLoad) {
            measureDirectLoad(footprintCase, backend);
        }
        try (PacedLoadGenerator load =
                underLoad ? startLoad(footprintCase, process.listenAddress()) : null) {
            TimeUnit.MILLISECONDS.sleep(SETTLE_MS);
            takeLatencies(load);
            double idleCpuShare = measureIdle(keyPrefix, peers, process, load);
            measureSingleChanges(keyPrefix, backend, process, load, idleCpuShare);
            measureListChanges(footprintCase, backend, process, load, idleCpuShare);
            if (load != null) {
                measurements.add(keyPrefix + "failed", (double) load.failedRequests());
            }
        }
        if (!process.isRunning()) {
            return false;
        }
        measureMemory(keyPrefix, process);
        progress.accept(
                String.format(
                        Locale.ROOT,
                        "%s ready after %.2f s, %s",
                        keyPrefix,
                        readySeconds,
                        "resident " + Math.round(process.residentMb()) + " MB"));
        return true;
    }

    /** Measures the latencies of the emulated upstream itself, without the balancer. */
    private void measureDirectLoad(FootprintCase footprintCase, EmulatedBackend backend)
            throws IOException, InterruptedException {
        try (PacedLoadGenerator directLoad = startLoad(footprintCase, backend.upstreamAddress())) {
            TimeUnit.MILLISECONDS.sleep(DIRECT_LOAD_MS);
            addLatencies(footprintCase.keyPrefix() + "direct_ms.", directLoad.takeLatencies());
        }
    }

    /**
     * Measures CPU, datagrams and collections while the list does not change, and returns the CPU
     * time as a fraction of a core.
     */
    private double measureIdle(
            String keyPrefix, EmulatedPeers peers, MeasuredProcess process, PacedLoadGenerator load)
            throws IOException, InterruptedException {
        int collectionsBefore = process.gcPausesMs(false).size();
        long datagramsBefore = peers == null ? 0 : peers.receivedDatagrams();
        long bytesBefore = peers == null ? 0 : peers.receivedBytes();
        double idleCpuSeconds = cpuSecondsOf(process, idleMs, () -> {});
        if (peers != null) {
            measurements.add(
                    keyPrefix + "told.datagrams",
                    (peers.receivedDatagrams() - datagramsBefore) * 1e3 / idleMs);
            measurements.add(
                    keyPrefix + "told.bytes", (peers.receivedBytes() - bytesBefore) * 1e3 / idleMs);
        }
        double idleCpuShare = idleCpuSeconds / (idleMs / 1e3);
        measurements.add(keyPrefix + "rest_cpu", idleCpuShare);
        measurements.add(
                keyPrefix + "collections.a_minute",
                (process.gcPausesMs(false).size() - collectionsBefore) * 6e4 / idleMs);
        addLatencies(keyPrefix + "rest_ms.", takeLatencies(load));
        return idleCpuShare;
    }

    /** Measures the CPU time for one changed entry of the list, beyond that of the idle process. */
    private void measureSingleChanges(
            String keyPrefix,
            EmulatedBackend backend,
            MeasuredProcess process,
            PacedLoadGenerator load,
            double idleCpuShare)
            throws IOException, InterruptedException {
        publishChanges(backend, WARM_UP_CHANGE_COUNT);
        takeLatencies(load);
        int changePhaseMs = CHANGE_COUNT * CHANGE_INTERVAL_MS + CHANGE_SETTLE_MS / 2;
        double cpuSeconds =
                cpuSecondsOf(
                        process, CHANGE_SETTLE_MS / 2, () -> publishChanges(backend, CHANGE_COUNT));
        measurements.add(
                keyPrefix + "change_cpu_ms",
                1e3 * (cpuSeconds - idleCpuShare * changePhaseMs / 1e3) / CHANGE_COUNT);
        addLatencies(keyPrefix + "change_ms.", takeLatencies(load));
    }

    /**
     * Measures the CPU time for the return of a drained zone, and for the complete list sent again.
     */
    private void measureListChanges(
            FootprintCase footprintCase,
            EmulatedBackend backend,
            MeasuredProcess process,
            PacedLoadGenerator load,
            double idleCpuShare)
            throws IOException, InterruptedException {
        String keyPrefix = footprintCase.keyPrefix();
        double idleCpuSeconds = idleCpuShare * CHANGE_SETTLE_MS / 1e3;
        int zoneSize = Math.max(1, footprintCase.servers() / ZONE_COUNT);
        backend.setDraining(zoneSize, true);
        TimeUnit.MILLISECONDS.sleep(CHANGE_SETTLE_MS);
        takeLatencies(load);
        double cpuSeconds =
                cpuSecondsOf(process, CHANGE_SETTLE_MS, () -> backend.setDraining(zoneSize, false));
        measurements.add(keyPrefix + "zone_cpu_ms", 1e3 * (cpuSeconds - idleCpuSeconds));
        addLatencies(keyPrefix + "zone_ms.", takeLatencies(load));
        cpuSeconds = cpuSecondsOf(process, CHANGE_SETTLE_MS, backend::publishCompleteList);
        measurements.add(keyPrefix + "whole_cpu_ms", 1e3 * (cpuSeconds - idleCpuSeconds));
        addLatencies(keyPrefix + "whole_ms.", takeLatencies(load));
    }

    private void measureMemory(String keyPrefix, MeasuredProcess process)
            throws IOException, InterruptedException {
        addCollections(keyPrefix, process);
        measurements.add(keyPrefix + "resident_mb", process.residentMb());
        measurements.add(keyPrefix + "live_mb", process.liveHeapMb());
        if (process.snapshotBytes() >= 0) {
            measurements.add(keyPrefix + "kept_bytes", (double) process.snapshotBytes());
        }
    }

    /** Runs while the CPU time of the process is measured. */
    private interface MeasuredWork {
        void run() throws InterruptedException;
    }

    // Returns the CPU seconds of the process from the start of the work to settleMs after its end.
    private static double cpuSecondsOf(MeasuredProcess process, int settleMs, MeasuredWork work)
            throws IOException, InterruptedException {
        double cpuBefore = process.cpuSeconds();
        work.run();
        TimeUnit.MILLISECONDS.sleep(settleMs);
        return process.cpuSeconds() - cpuBefore;
    }

    private static void publishChanges(EmulatedBackend backend, int count)
            throws InterruptedException {
        for (int i = 0; i < count; i++) {
            backend.publishChanges(1);
            TimeUnit.MILLISECONDS.sleep(CHANGE_INTERVAL_MS);
        }
    }

    private static PacedLoadGenerator startLoad(
            FootprintCase footprintCase, InetSocketAddress target) throws IOException {
        return new PacedLoadGenerator(
                target,
                footprintCase.requestsPerSecond(),
                footprintCase.tenants() == 0
                        ? null
                        : i ->
                                footprintCase.tenantName(
                                        (int) (i * 7919L % footprintCase.tenants())));
    }

    private static Histogram takeLatencies(PacedLoadGenerator load) {
        return load == null ? null : load.takeLatencies();
    }

    private void addLatencies(String keyPrefix, Histogram latencies) {
        if (latencies != null && latencies.getTotalCount() > 0) {
            measurements.add(keyPrefix + "p50", latencies.getValueAtPercentile(50) / 1e3);
            measurements.add(keyPrefix + "p99", latencies.getValueAtPercentile(99) / 1e3);
            measurements.add(keyPrefix + "max", latencies.getMaxValue() / 1e3);
        }
    }

    private void addCollections(String keyPrefix, MeasuredProcess process) throws IOException {
        List<Double> youngPausesMs = process.gcPausesMs(false);
        List<Double> fullPausesMs = process.gcPausesMs(true);
        if (!youngPausesMs.isEmpty()) {
            measurements.add(
                    keyPrefix + "collections.young_ms",
                    youngPausesMs.stream().mapToDouble(pauseMs -> pauseMs).average().orElse(0));
            measurements.add(
                    keyPrefix + "collections.young_ms_max", Collections.max(youngPausesMs));
        }
        measurements.add(keyPrefix + "collections.full", fullPausesMs.size());
        if (!fullPausesMs.isEmpty()) {
            measurements.add(keyPrefix + "collections.full_ms_max", Collections.max(fullPausesMs));
        }
    }
}

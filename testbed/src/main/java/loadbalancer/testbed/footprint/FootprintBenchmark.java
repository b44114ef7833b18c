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
 * Measures one real process at a size: its start, its rest, single changes of its list, a zone's
 * worth of changes in one line, the whole list again, and what it holds. Figures: {@code ready_s},
 * {@code start_cpu_s}, {@code rest_cpu} (part of a core), {@code change_cpu_ms} (an entry), {@code
 * zone_cpu_ms} and {@code whole_cpu_ms} (a line), {@code resident_mb}, {@code live_mb} (of the
 * heap), {@code collections.*} (ms), {@code told.*} (a second), {@code list_bytes}, {@code
 * kept_bytes} (of the newest snapshot); with requests {@code direct_ms.*}, {@code rest_ms.*},
 * {@code change_ms.*}, {@code zone_ms.*}, {@code whole_ms.*}, from when a request was due until its
 * answer; {@code ended} where the process did not last.
 */
public final class FootprintBenchmark {
    private static final int SETTLE_MS = 5_000;
    private static final int CHANGE_COUNT = 100;
    private static final int CHANGE_INTERVAL_MS = 50;
    private static final int WARM_UP_CHANGE_COUNT = 20;
    // A change's work may last
    private static final int CHANGE_SETTLE_MS = 2_000;
    private static final int DIRECT_LOAD_MS = 3_000;
    private static final int ZONE_COUNT = 30;

    private final LaunchCommand launch;
    private final Path outputDirectory;
    private final int idleMs;
    private final Map<String, String> environment;
    private final RepeatedMeasurements measurements;
    private final Consumer<String> progress;

    /**
     * {@code outputDirectory}: a folder for logs; {@code idleMs}: how long its rest is watched;
     * {@code environment}: variables of the process, of which a state's folder is made here; {@code
     * measurements} takes all that is measured.
     */
    public FootprintBenchmark(
            LaunchCommand launchCommand,
            Path outputDirectory,
            int idleMs,
            Map<String, String> environment,
            RepeatedMeasurements measurements,
            Consumer<String> progress) {
        this.environment = Map.copyOf(environment);
        this.launch = launchCommand;
        this.outputDirectory = outputDirectory;
        this.idleMs = idleMs;
        this.measurements = measurements;
        this.progress = progress;
    }

    /** Measures one size once; a process that ends is a figure, too. */
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
                                launch,
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
            boolean lasted = false;
            try {
                lasted = measurePhases(footprintCase, backend, peers, process);
            } catch (IOException e) {
                if (process.isRunning()) {
                    throw e;
                }
            }
            if (!lasted) {
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

    /** The latencies of the emulated upstreams themselves, without the balancer. */
    private void measureDirectLoad(FootprintCase footprintCase, EmulatedBackend backend)
            throws IOException, InterruptedException {
        try (PacedLoadGenerator directLoad = startLoad(footprintCase, backend.upstreamAddress())) {
            TimeUnit.MILLISECONDS.sleep(DIRECT_LOAD_MS);
            addLatencies(footprintCase.keyPrefix() + "direct_ms.", directLoad.takeLatencies());
        }
    }

    /**
     * CPU, datagrams and collections while the list stays the same; returns the share of a core.
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

    /** CPU for one changed entry of the list, beyond that of the idle process. */
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

    /** CPU for a zone that is drained and comes back, and for the complete list sent once more. */
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

    private interface Work {
        void run() throws InterruptedException;
    }

    // s of CPU from before the work until so many ms after it
    private static double cpuSecondsOf(MeasuredProcess process, int settleMs, Work work)
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

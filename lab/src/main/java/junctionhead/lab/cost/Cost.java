package junctionhead.lab.cost;

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
import junctionhead.lab.figures.Repeats;
import junctionhead.lab.fleet.Launch;
import junctionhead.lab.fleet.Spawner;
import junctionhead.lab.stand.Addresses;
import junctionhead.lab.stand.Json;
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
public final class Cost {
    private static final int SETTLE_MS = 5_000;
    private static final int CHANGES = 100;
    private static final int CHANGE_EVERY_MS = 50;
    private static final int WARM_CHANGES = 20;
    // A change's work may last
    private static final int AFTER_MS = 2_000;
    private static final int DIRECT_MS = 3_000;
    private static final int ZONES = 30;

    private final Launch launch;
    private final Path out;
    private final int restMs;
    private final Map<String, String> own;
    private final Repeats figures;
    private final Consumer<String> say;

    /**
     * {@code out}: a folder for logs; {@code restMs}: how long its rest is watched; {@code own}:
     * variables of the process, of which a state's folder is made here; {@code figures} takes all
     * that is measured.
     */
    public Cost(
            Launch launch,
            Path out,
            int restMs,
            Map<String, String> own,
            Repeats figures,
            Consumer<String> say) {
        this.own = Map.copyOf(own);
        this.launch = launch;
        this.out = out;
        this.restMs = restMs;
        this.figures = figures;
        this.say = say;
    }

    /** Measures one size once; a process that ends is a figure, too. */
    public void measure(CostCase size, int repeat) throws IOException, InterruptedException {
        Addresses addresses = new Addresses();
        Path folder = Files.createDirectories(out.resolve(size.key() + repeat));
        InetSocketAddress peerListen = addresses.free(addresses.peers(0));
        try (Spawner spawner = new Spawner();
                CostStand stand = new CostStand(size, addresses.parties(0));
                CostPeers peers =
                        size.balancers() == 1
                                ? null
                                : new CostPeers(size.balancers() - 1, size.speakers(), peerListen);
                CostProcess process =
                        new CostProcess(
                                spawner,
                                launch,
                                folder,
                                size,
                                stand,
                                addresses,
                                peerListen,
                                peers == null ? null : peers.addresses(),
                                own)) {
            figures.add(size.key() + "list_bytes", Json.text(stand.known()).length());
            boolean lasted = false;
            try {
                lasted = watch(size, stand, peers, process);
            } catch (IOException e) {
                if (process.runs()) {
                    throw e;
                }
            }
            if (!lasted) {
                figures.add(size.key() + "ended", 1);
                say.accept(size.key() + " did not last: " + process.lastWords());
            }
        }
    }

    private boolean watch(CostCase size, CostStand stand, CostPeers peers, CostProcess process)
            throws IOException, InterruptedException {
        String key = size.key();
        double ready = process.untilReady();
        if (ready < 0) {
            return false;
        }
        figures.add(key + "ready_s", ready);
        figures.add(key + "start_cpu_s", process.cpu());
        if (size.rate() > 0) {
            try (CostLoad direct = load(size, stand.upstream())) {
                TimeUnit.MILLISECONDS.sleep(DIRECT_MS);
                times(key + "direct_ms.", direct.take());
            }
        }
        try (CostLoad load = size.rate() > 0 ? load(size, process.listen()) : null) {
            TimeUnit.MILLISECONDS.sleep(SETTLE_MS);
            taken(load);
            int collected = process.pauses(false).size();
            long told = peers == null ? 0 : peers.datagrams();
            long bytes = peers == null ? 0 : peers.bytes();
            double rest = cpuOf(process, restMs, () -> {});
            if (peers != null) {
                figures.add(key + "told.datagrams", (peers.datagrams() - told) * 1e3 / restMs);
                figures.add(key + "told.bytes", (peers.bytes() - bytes) * 1e3 / restMs);
            }
            double share = rest / (restMs / 1e3);
            figures.add(key + "rest_cpu", share);
            figures.add(
                    key + "collections.a_minute",
                    (process.pauses(false).size() - collected) * 6e4 / restMs);
            times(key + "rest_ms.", taken(load));
            changes(stand, WARM_CHANGES);
            taken(load);
            int changing = CHANGES * CHANGE_EVERY_MS;
            double cpu = cpuOf(process, AFTER_MS / 2, () -> changes(stand, CHANGES));
            figures.add(
                    key + "change_cpu_ms",
                    1e3 * (cpu - share * (changing + AFTER_MS / 2) / 1e3) / CHANGES);
            times(key + "change_ms.", taken(load));
            int zone = Math.max(1, size.servers() / ZONES);
            stand.drain(zone, true);
            TimeUnit.MILLISECONDS.sleep(AFTER_MS);
            taken(load);
            cpu = cpuOf(process, AFTER_MS, () -> stand.drain(zone, false));
            figures.add(key + "zone_cpu_ms", 1e3 * (cpu - share * AFTER_MS / 1e3));
            times(key + "zone_ms.", taken(load));
            cpu = cpuOf(process, AFTER_MS, stand::whole);
            figures.add(key + "whole_cpu_ms", 1e3 * (cpu - share * AFTER_MS / 1e3));
            times(key + "whole_ms.", taken(load));
            if (load != null) {
                figures.add(key + "failed", load.failed());
            }
        }
        if (!process.runs()) {
            return false;
        }
        collections(key, process);
        figures.add(key + "resident_mb", process.resident());
        figures.add(key + "live_mb", process.live());
        if (process.kept() >= 0) {
            figures.add(key + "kept_bytes", process.kept());
        }
        say.accept(
                String.format(
                        Locale.ROOT,
                        "%s ready after %.2f s, %s",
                        key,
                        ready,
                        "resident " + Math.round(process.resident()) + " MB"));
        return true;
    }

    private interface Work {
        void run() throws InterruptedException;
    }

    // s of CPU from before the work until so many ms after it
    private static double cpuOf(CostProcess process, int afterMs, Work work)
            throws IOException, InterruptedException {
        double before = process.cpu();
        work.run();
        TimeUnit.MILLISECONDS.sleep(afterMs);
        return process.cpu() - before;
    }

    private static void changes(CostStand stand, int count) throws InterruptedException {
        for (int i = 0; i < count; i++) {
            stand.change(1);
            TimeUnit.MILLISECONDS.sleep(CHANGE_EVERY_MS);
        }
    }

    private static CostLoad load(CostCase size, InetSocketAddress to) throws IOException {
        return new CostLoad(
                to,
                size.rate(),
                size.tenants() == 0 ? null : i -> size.tenant((int) (i * 7919L % size.tenants())));
    }

    private static Histogram taken(CostLoad load) {
        return load == null ? null : load.take();
    }

    private void times(String key, Histogram times) {
        if (times != null && times.getTotalCount() > 0) {
            figures.add(key + "p50", times.getValueAtPercentile(50) / 1e3);
            figures.add(key + "p99", times.getValueAtPercentile(99) / 1e3);
            figures.add(key + "max", times.getMaxValue() / 1e3);
        }
    }

    private void collections(String key, CostProcess process) throws IOException {
        List<Double> young = process.pauses(false);
        List<Double> full = process.pauses(true);
        if (!young.isEmpty()) {
            figures.add(
                    key + "collections.young_ms",
                    young.stream().mapToDouble(p -> p).average().orElse(0));
            figures.add(key + "collections.young_ms_max", Collections.max(young));
        }
        figures.add(key + "collections.full", full.size());
        if (!full.isEmpty()) {
            figures.add(key + "collections.full_ms_max", Collections.max(full));
        }
    }
}

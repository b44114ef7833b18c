package junctionhead.net;

import com.fasterxml.jackson.jr.ob.JSON;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.channels.FileChannel;
import java.nio.channels.OverlappingFileLockException;
import java.nio.file.Path;
import java.nio.file.StandardOpenOption;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.RejectedExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.function.Consumer;
import junctionhead.Kept;
import junctionhead.Policy;
import junctionhead.SettingsReader;
import junctionhead.state.FolderDisk;
import junctionhead.state.Snapshot;
import junctionhead.state.Snapshots;

/**
 * Keeps what this balancer knows of the list and of its servers, and its own incarnation, in a
 * folder that outlives the process. The list is merged on the event loop, in memory; all that
 * touches the disk happens on a thread of its own, at a bounded rate, so that no request waits for
 * it. One process owns the folder; another that finds it taken serves without.
 */
final class StateKeeper {
    // Knowledge of servers that is worth nothing
    private static final long OLD_MS = 30_000;
    // Times what a snapshot took, from one to the next
    private static final int REST = 100;
    // For what is on its way to the disk
    private static final long END_MS = 1_000;

    private final Path folder;
    private final long everyMs;
    private final SettingsReader.Boot boot;
    private final Consumer<String> log;
    private final Snapshots snapshots;
    private final Snapshot found;
    private final Snapshots promises;
    private final Snapshot promised;
    private final long incarnation;
    // ms of the wall clock
    private final long startedAt;
    // Held until the process ends
    private final FileChannel lock;
    private final Map<String, Targets.Target> list = new LinkedHashMap<>();
    private final ExecutorService thread =
            Executors.newSingleThreadExecutor(
                    work -> {
                        Thread t = new Thread(work, "state");
                        t.setDaemon(true);
                        return t;
                    });
    private long rev;
    // A snapshot, for a disk that takes its time
    private final AtomicBoolean waiting = new AtomicBoolean();
    // by which a large state costs as little as a small one
    private volatile long restsUntil = System.nanoTime();
    // The state's thread's own
    private boolean failing;

    private StateKeeper(
            Path folder,
            String owner,
            SettingsReader.Boot boot,
            long everyMs,
            Consumer<String> log,
            FileChannel lock)
            throws IOException {
        this.folder = folder;
        this.everyMs = everyMs;
        this.boot = boot;
        this.log = log;
        this.lock = lock;
        this.snapshots = new Snapshots(new FolderDisk(folder), owner, "snapshot");
        this.promises = new Snapshots(new FolderDisk(folder), owner, "promises");
        found = recovered(snapshots);
        promised = recovered(promises);
        long now = System.currentTimeMillis();
        startedAt = now;
        incarnation = found == null ? now : Math.max(now, found.incarnation() + 1);
        if (found != null) {
            log.accept(
                    "state: recovered snapshot "
                            + found.sequence()
                            + ", "
                            + Math.max(0, now - found.at()) / 1000
                            + " s old");
        }
    }

    private Snapshot recovered(Snapshots from) {
        Snapshots.Recovered recovered = from.recover();
        recovered.dropped().forEach(what -> log.accept("state: dropped " + what));
        return recovered.newest();
    }

    /** The folder that this process owns. */
    Path folder() {
        return folder;
    }

    /**
     * Opens a folder; null, and a line that says why, where it can't be used or another process has
     * it.
     */
    static StateKeeper open(
            Path folder,
            String owner,
            SettingsReader.Boot boot,
            long everyMs,
            Consumer<String> log) {
        FileChannel lock = null;
        try {
            new FolderDisk(folder);
            lock =
                    FileChannel.open(
                            folder.resolve("lock"),
                            StandardOpenOption.CREATE,
                            StandardOpenOption.WRITE);
            if (lock.tryLock() != null) {
                return new StateKeeper(folder, owner, boot, everyMs, log, lock);
            }
            log.accept("state: another process has " + folder + ", serving without");
        } catch (OverlappingFileLockException e) {
            log.accept("state: this process has " + folder + " already, serving without");
        } catch (IOException e) {
            log.accept("state: can't use " + folder + ", serving without: " + e.getMessage());
        }
        close(lock);
        return null;
    }

    private static void close(FileChannel lock) {
        try {
            if (lock != null) {
                lock.close();
            }
        } catch (IOException e) {
            // It held nothing
            return;
        }
    }

    /** Higher than that of any process before that kept its own here. */
    long incarnation() {
        return incarnation;
    }

    /** What was promised to others, in its owner's form; null: nothing that is kept. */
    byte[] promises() {
        return promised == null ? null : promised.content();
    }

    /**
     * Keeps promises; {@code then} hears on the state's thread whether they survive any loss of
     * power from now on.
     */
    void promise(byte[] content, Consumer<Boolean> then) {
        write(() -> then.accept(kept(promises, content)));
    }

    /** Runs on the state's thread, which may wait for the disk. */
    void write(Runnable work) {
        try {
            thread.execute(work);
        } catch (RejectedExecutionException e) {
            // It ends
            return;
        }
    }

    /** The list as it was kept, where that is newer than what the platform knows; else that. */
    Targets newest(Targets known) {
        if (found == null) {
            return known;
        }
        try {
            Targets kept = Targets.parse(found.content(), 0, found.content().length, boot);
            if (kept.rev() > known.rev()) {
                log.accept(
                        "state: list revision "
                                + kept.rev()
                                + " with "
                                + kept.list().size()
                                + " upstreams, where the configuration knew "
                                + known.rev());
                return kept;
            }
        } catch (IllegalArgumentException e) {
            log.accept("state: a list that can't be read: " + e.getMessage());
        }
        return known;
    }

    /**
     * What the module knew, where that can be read and is not too old to be worth anything; else
     * null.
     */
    Kept module() {
        if (found == null || age() < 0 || age() > OLD_MS * 1000) {
            return null;
        }
        try {
            Object kept = JSON.std.mapFrom(found.content()).get("module");
            return kept == null ? null : KeptForm.read(kept);
        } catch (IOException | IllegalArgumentException e) {
            log.accept("state: what the module knew can't be read: " + e.getMessage());
            return null;
        }
    }

    /** How old that is, µs; negative where the wall clock was set back. */
    long age() {
        return (startedAt - found.at()) * 1000;
    }

    /** News of the list, on the event loop. */
    void listed(Policy.ListKind kind, Targets targets) {
        if (targets == null) {
            return;
        }
        if (kind != Policy.ListKind.PARTIAL) {
            list.clear();
        }
        for (Targets.Target t : targets.list()) {
            if (t.server().state() == Policy.State.GONE) {
                list.remove(t.server().id());
            } else {
                list.put(t.server().id(), t);
            }
        }
        rev = targets.rev();
    }

    /** How often {@link #take} is wanted, ms. */
    long everyMs() {
        return everyMs;
    }

    /**
     * Has a snapshot taken of the list and of what the module knows, unless the last one still
     * waits for the disk.
     */
    void take(Kept module) {
        long of = rev;
        List<Targets.Target> now = List.copyOf(list.values());
        if (!now.isEmpty()
                && System.nanoTime() - restsUntil >= 0
                && waiting.compareAndSet(false, true)) {
            write(
                    () -> {
                        long began = System.nanoTime();
                        keep(of, now, module);
                        restsUntil = began + REST * (System.nanoTime() - began);
                        waiting.set(false);
                    });
        }
    }

    private void keep(long of, List<Targets.Target> now, Kept module) {
        Map<String, Object> content = new LinkedHashMap<>();
        content.put("rev", of);
        content.put("all", true);
        content.put("targets", now.stream().map(this::entry).toList());
        if (module != null) {
            content.put("module", KeptForm.write(module));
        }
        try {
            kept(snapshots, JSON.std.asBytes(content));
        } catch (IOException e) {
            // Of bytes in memory
            throw new UncheckedIOException(e);
        }
    }

    private boolean kept(Snapshots by, byte[] content) {
        try {
            by.keep(System.currentTimeMillis(), incarnation, content);
            if (failing) {
                failing = false;
                log.accept("state: kept again");
            }
            return true;
        } catch (IOException | RuntimeException e) {
            if (!failing) {
                failing = true;
                log.accept("state: not kept, the one before still is: " + e.getMessage());
            }
            return false;
        }
    }

    // In discovery's form, so that one reader serves both.
    private Map<String, Object> entry(Targets.Target t) {
        Policy.Server s = t.server();
        Map<String, Object> entry = new LinkedHashMap<>();
        entry.put("uid", s.id());
        entry.put(
                "endpoint",
                t.endpoint().getAddress().getHostAddress() + ":" + t.endpoint().getPort());
        entry.put("state", s.state() == Policy.State.UP ? "in_service" : "terminating");
        entry.put("capacity_hint", s.weight());
        entry.put("boot_ms", s.startedAt() / 1000);
        entry.put("pod_group", s.cell());
        if (s.zone() >= 0) {
            entry.put("az", boot.zones().get(s.zone()));
        }
        if (s.kind() >= 0) {
            entry.put("model", boot.kinds().get(s.kind()));
        }
        return entry;
    }

    /** Ends its thread and gives the folder free; what was not kept by now is not. */
    void close() {
        thread.shutdown();
        try {
            thread.awaitTermination(END_MS, TimeUnit.MILLISECONDS);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
        close(lock);
    }
}

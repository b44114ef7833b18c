package loadbalancer.recovery;

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
import loadbalancer.config.BootSettings;
import loadbalancer.config.EndpointList;
import loadbalancer.config.EndpointListCodec;
import loadbalancer.config.InvalidEndpointListException;
import loadbalancer.routing.api.Endpoint;
import loadbalancer.routing.api.EndpointListKind;
import loadbalancer.routing.api.EndpointStatus;
import loadbalancer.routing.api.PolicySnapshot;
import loadbalancer.storage.FileSystemDirectory;
import loadbalancer.storage.Snapshot;
import loadbalancer.storage.SnapshotStore;

/**
 * Keeps what this balancer knows of the list and of its servers, and its own incarnation, in a
 * folder that outlives the process. The list is merged on the event loop, in memory; all that
 * touches the disk happens on a thread of its own, at a bounded rate, so that no request waits for
 * it. One process owns the folder; another that finds it taken serves without.
 */
public final class RecoveryStore {
    // Knowledge of servers that is worth nothing
    private static final long MAX_POLICY_SNAPSHOT_AGE_MS = 30_000;
    // Times what a snapshot took, from one to the next
    private static final int SNAPSHOT_COOLDOWN_FACTOR = 100;
    // For what is on its way to the disk
    private static final long SHUTDOWN_TIMEOUT_MS = 1_000;

    private final Path directory;
    private final long snapshotIntervalMs;
    private final BootSettings boot;
    private final Consumer<String> log;
    private final SnapshotStore snapshots;
    private final Snapshot recoveredSnapshot;
    private final SnapshotStore promiseSnapshots;
    private final Snapshot recoveredPromiseSnapshot;
    private final long incarnation;
    // ms of the wall clock
    private final long startedAtMs;
    // Held until the process ends
    private final FileChannel directoryLock;
    private final Map<String, EndpointList.Entry> endpointsById = new LinkedHashMap<>();
    private final ExecutorService diskExecutor =
            Executors.newSingleThreadExecutor(
                    task -> {
                        Thread thread = new Thread(task, "state");
                        thread.setDaemon(true);
                        return thread;
                    });
    private long listRevision;
    // A snapshot, for a disk that takes its time
    private final AtomicBoolean snapshotPending = new AtomicBoolean();
    // by which a large state costs as little as a small one
    private volatile long nextSnapshotNanos = System.nanoTime();
    // The state's thread's own
    private boolean lastWriteFailed;

    private RecoveryStore(
            Path directory,
            String owner,
            BootSettings boot,
            long snapshotIntervalMs,
            Consumer<String> log,
            FileChannel lock)
            throws IOException {
        this.directory = directory;
        this.snapshotIntervalMs = snapshotIntervalMs;
        this.boot = boot;
        this.log = log;
        this.directoryLock = lock;
        this.snapshots = new SnapshotStore(new FileSystemDirectory(directory), owner, "snapshot");
        this.promiseSnapshots =
                new SnapshotStore(new FileSystemDirectory(directory), owner, "promises");
        recoveredSnapshot = recover(snapshots);
        recoveredPromiseSnapshot = recover(promiseSnapshots);
        long nowMs = System.currentTimeMillis();
        startedAtMs = nowMs;
        incarnation =
                recoveredSnapshot == null
                        ? nowMs
                        : Math.max(nowMs, recoveredSnapshot.incarnation() + 1);
        if (recoveredSnapshot != null) {
            log.accept(
                    "state: recovered snapshot "
                            + recoveredSnapshot.sequence()
                            + ", "
                            + Math.max(0, nowMs - recoveredSnapshot.createdAtMs()) / 1000
                            + " s old");
        }
    }

    private Snapshot recover(SnapshotStore source) {
        SnapshotStore.RecoveryResult recovered = source.recover();
        recovered.discarded().forEach(description -> log.accept("state: dropped " + description));
        return recovered.newest();
    }

    /** The folder that this process owns. */
    public Path directory() {
        return directory;
    }

    /**
     * Opens a folder; null, and a line that says why, where it can't be used or another process has
     * it.
     */
    public static RecoveryStore open(
            Path directory,
            String owner,
            BootSettings boot,
            long snapshotIntervalMs,
            Consumer<String> log) {
        FileChannel lock = null;
        try {
            new FileSystemDirectory(directory);
            lock =
                    FileChannel.open(
                            directory.resolve("lock"),
                            StandardOpenOption.CREATE,
                            StandardOpenOption.WRITE);
            if (lock.tryLock() != null) {
                return new RecoveryStore(directory, owner, boot, snapshotIntervalMs, log, lock);
            }
            log.accept("state: another process has " + directory + ", serving without");
        } catch (OverlappingFileLockException e) {
            log.accept("state: this process has " + directory + " already, serving without");
        } catch (IOException e) {
            log.accept("state: can't use " + directory + ", serving without: " + e.getMessage());
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
    public long incarnation() {
        return incarnation;
    }

    /** What was promised to others, in its owner's form; null: nothing that is kept. */
    public byte[] recoveredPromises() {
        return recoveredPromiseSnapshot == null ? null : recoveredPromiseSnapshot.content();
    }

    /**
     * Keeps promises; {@code onCompletion} hears on the state's thread whether they survive any
     * loss of power from now on.
     */
    public void persistPromises(byte[] content, Consumer<Boolean> onCompletion) {
        executeOnDiskThread(() -> onCompletion.accept(persist(promiseSnapshots, content)));
    }

    /** Runs on the state's thread, which may wait for the disk. */
    public void executeOnDiskThread(Runnable task) {
        try {
            diskExecutor.execute(task);
        } catch (RejectedExecutionException e) {
            // It ends
            return;
        }
    }

    /** The list as it was kept, where that is newer than what the platform knows; else that. */
    public EndpointList newestEndpointList(EndpointList known) {
        if (recoveredSnapshot == null) {
            return known;
        }
        try {
            EndpointList recovered =
                    EndpointListCodec.decode(
                            recoveredSnapshot.content(),
                            0,
                            recoveredSnapshot.content().length,
                            boot);
            if (recovered.revision() > known.revision()) {
                log.accept(
                        "state: list revision "
                                + recovered.revision()
                                + " with "
                                + recovered.entries().size()
                                + " upstreams, where the configuration knew "
                                + known.revision());
                return recovered;
            }
        } catch (InvalidEndpointListException e) {
            log.accept("state: a list that can't be read: " + e.getMessage());
        }
        return known;
    }

    /**
     * What the module knew, where that can be read and is not too old to be worth anything; else
     * null.
     */
    public PolicySnapshot recoveredPolicySnapshot() {
        if (recoveredSnapshot == null
                || snapshotAgeMicros() < 0
                || snapshotAgeMicros() > MAX_POLICY_SNAPSHOT_AGE_MS * 1000) {
            return null;
        }
        try {
            Object encoded = JSON.std.mapFrom(recoveredSnapshot.content()).get("module");
            return encoded == null ? null : PolicySnapshotCodec.decode(encoded);
        } catch (IOException | IllegalArgumentException e) {
            log.accept("state: what the module knew can't be read: " + e.getMessage());
            return null;
        }
    }

    /** How old that is, µs; negative where the wall clock was set back. */
    public long snapshotAgeMicros() {
        return (startedAtMs - recoveredSnapshot.createdAtMs()) * 1000;
    }

    /** News of the list, on the event loop. */
    public void onEndpointList(EndpointListKind kind, EndpointList endpointList) {
        if (endpointList == null) {
            return;
        }
        if (kind != EndpointListKind.DELTA) {
            endpointsById.clear();
        }
        for (EndpointList.Entry entry : endpointList.entries()) {
            if (entry.endpoint().status() == EndpointStatus.REMOVED) {
                endpointsById.remove(entry.endpoint().id());
            } else {
                endpointsById.put(entry.endpoint().id(), entry);
            }
        }
        listRevision = endpointList.revision();
    }

    /** How often {@link #takeSnapshot} is wanted, ms. */
    public long snapshotIntervalMs() {
        return snapshotIntervalMs;
    }

    /**
     * Has a snapshot taken of the list and of what the module knows, unless the last one still
     * waits for the disk.
     */
    public void takeSnapshot(PolicySnapshot policySnapshot) {
        long revision = listRevision;
        List<EndpointList.Entry> entries = List.copyOf(endpointsById.values());
        if (!entries.isEmpty()
                && System.nanoTime() - nextSnapshotNanos >= 0
                && snapshotPending.compareAndSet(false, true)) {
            executeOnDiskThread(
                    () -> {
                        long startNanos = System.nanoTime();
                        writeSnapshot(revision, entries, policySnapshot);
                        nextSnapshotNanos =
                                startNanos
                                        + SNAPSHOT_COOLDOWN_FACTOR
                                                * (System.nanoTime() - startNanos);
                        snapshotPending.set(false);
                    });
        }
    }

    private void writeSnapshot(
            long revision, List<EndpointList.Entry> entries, PolicySnapshot policySnapshot) {
        Map<String, Object> content = new LinkedHashMap<>();
        content.put("rev", revision);
        content.put("all", true);
        content.put("targets", entries.stream().map(this::toJsonEntry).toList());
        if (policySnapshot != null) {
            content.put("module", PolicySnapshotCodec.encode(policySnapshot));
        }
        try {
            persist(snapshots, JSON.std.asBytes(content));
        } catch (IOException e) {
            // Of bytes in memory
            throw new UncheckedIOException(e);
        }
    }

    private boolean persist(SnapshotStore destination, byte[] content) {
        try {
            destination.save(System.currentTimeMillis(), incarnation, content);
            if (lastWriteFailed) {
                lastWriteFailed = false;
                log.accept("state: kept again");
            }
            return true;
        } catch (IOException | RuntimeException e) {
            if (!lastWriteFailed) {
                lastWriteFailed = true;
                log.accept("state: not kept, the one before still is: " + e.getMessage());
            }
            return false;
        }
    }

    // In discovery's form, so that one reader serves both.
    private Map<String, Object> toJsonEntry(EndpointList.Entry entry) {
        Endpoint endpoint = entry.endpoint();
        Map<String, Object> fields = new LinkedHashMap<>();
        fields.put("uid", endpoint.id());
        fields.put(
                "endpoint",
                entry.address().getAddress().getHostAddress() + ":" + entry.address().getPort());
        fields.put("state", endpoint.status() == EndpointStatus.UP ? "in_service" : "terminating");
        fields.put("capacity_hint", endpoint.weight());
        fields.put("boot_ms", endpoint.startedAtMicros() / 1000);
        fields.put("pod_group", endpoint.cell());
        if (endpoint.zone() >= 0) {
            fields.put("az", boot.zoneNames().get(endpoint.zone()));
        }
        if (endpoint.machineType() >= 0) {
            fields.put("model", boot.machineTypeNames().get(endpoint.machineType()));
        }
        return fields;
    }

    /** Ends its thread and gives the folder free; what was not kept by now is not. */
    public void close() {
        diskExecutor.shutdown();
        try {
            diskExecutor.awaitTermination(SHUTDOWN_TIMEOUT_MS, TimeUnit.MILLISECONDS);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
        close(directoryLock);
    }
}

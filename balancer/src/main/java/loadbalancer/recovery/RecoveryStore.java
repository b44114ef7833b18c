package loadbalancer.recovery;

import java.io.IOException;
import java.nio.file.Path;
import java.util.Optional;
import java.util.function.Consumer;
import loadbalancer.config.BootSettings;
import loadbalancer.config.EndpointList;
import loadbalancer.config.InvalidEndpointListException;
import loadbalancer.routing.api.EndpointListKind;
import loadbalancer.routing.api.PolicySnapshot;
import loadbalancer.storage.FileSystemDirectory;
import loadbalancer.storage.Snapshot;
import loadbalancer.storage.SnapshotStore;

/**
 * Persists the state of a balancer in a directory that outlives the process, and recovers it at the
 * start.
 *
 * <table>
 *   <caption>What is persisted</caption>
 *   <tr><th>state</th><th>when, by whom</th><th>recovered by</th></tr>
 *   <tr><td>endpoint list, policy snapshot</td><td>{@link #takeSnapshot}, each {@link
 *       #snapshotIntervalMs}, from the event loop</td><td>{@link #newestEndpointList}, {@link
 *       #recoveredPolicySnapshot}</td></tr>
 *   <tr><td>incarnation</td><td>with each snapshot</td><td>{@link #incarnation}</td></tr>
 *   <tr><td>promises of leases</td><td>{@link #persistPromises}, before each is sent, from the
 *       event loop</td><td>{@link #recoveredPromises}</td></tr>
 * </table>
 *
 * <p>Threads: {@link #open} blocks on the disk and belongs to the start of the process. Afterwards
 * all methods belong to the event loop and none waits for the disk, except {@link #close}; the
 * writes happen on the disk thread. This store owns that thread and the lock of the directory, from
 * {@link #open} to {@link #close}.
 */
public final class RecoveryStore implements AutoCloseable {
    private static final long MAX_POLICY_SNAPSHOT_AGE_MICROS = 30_000_000;
    private static final long MICROS_PER_MS = 1_000;
    private static final long MS_PER_SECOND = 1_000;

    private final Path directory;
    private final long snapshotIntervalMs;
    private final Consumer<String> log;
    private final SnapshotContentCodec contentCodec;
    private final DirectoryLock directoryLock;
    private final DiskThread diskThread = new DiskThread();
    private final SnapshotThrottle throttle = new SnapshotThrottle();
    private final PersistedEndpoints endpoints = new PersistedEndpoints();

    // Used on the disk thread once the constructor has recovered from them
    private final SnapshotStore snapshots;
    private final SnapshotStore promiseSnapshots;
    private final SnapshotWriter writer;

    private final Optional<Snapshot> recoveredSnapshot;
    private final Optional<Snapshot> recoveredPromises;
    private final long incarnation;
    // By the wall clock
    private final long startedAtMs;

    private RecoveryStore(
            Path directory,
            String owner,
            BootSettings boot,
            long snapshotIntervalMs,
            Consumer<String> log,
            DirectoryLock directoryLock)
            throws IOException {
        this.directory = directory;
        this.snapshotIntervalMs = snapshotIntervalMs;
        this.log = log;
        this.contentCodec = new SnapshotContentCodec(boot);
        this.directoryLock = directoryLock;
        this.snapshots = new SnapshotStore(new FileSystemDirectory(directory), owner, "snapshot");
        this.promiseSnapshots =
                new SnapshotStore(new FileSystemDirectory(directory), owner, "promises");
        this.recoveredSnapshot = recover(snapshots);
        this.recoveredPromises = recover(promiseSnapshots);
        this.startedAtMs = System.currentTimeMillis();
        this.incarnation =
                recoveredSnapshot
                        .map(snapshot -> Math.max(startedAtMs, snapshot.incarnation() + 1))
                        .orElse(startedAtMs);
        this.writer = new SnapshotWriter(incarnation, log);
        recoveredSnapshot.ifPresent(this::logRecovered);
    }

    private Optional<Snapshot> recover(SnapshotStore source) {
        SnapshotStore.RecoveryResult result = source.recover();
        result.discarded().forEach(file -> log.accept("snapshot discarded: " + file));
        return result.newest();
    }

    private void logRecovered(Snapshot snapshot) {
        long ageSeconds = Math.max(0, startedAtMs - snapshot.createdAtMs()) / MS_PER_SECOND;
        log.accept("snapshot recovered: sequence=" + snapshot.sequence() + " age_s=" + ageSeconds);
    }

    /**
     * Opens a directory and recovers from it.
     *
     * @param directory of this balancer alone; created if it does not exist
     * @param owner site and name of the balancer
     * @param boot names of zones and machine types
     * @param snapshotIntervalMs how often {@link #takeSnapshot} shall be called
     * @param log takes events for the operators, on the caller's thread and on the disk thread
     * @return the store; empty, with an event logged, if the directory can't be used or its lock is
     *     held
     */
    public static Optional<RecoveryStore> open(
            Path directory,
            String owner,
            BootSettings boot,
            long snapshotIntervalMs,
            Consumer<String> log) {
        try {
            new FileSystemDirectory(directory);
            DirectoryLock lock = DirectoryLock.acquire(directory);
            return Optional.of(
                    recoverLocked(directory, owner, boot, snapshotIntervalMs, log, lock));
        } catch (DirectoryInUseException e) {
            log.accept("state directory unavailable: reason=" + e.getMessage());
        } catch (IOException e) {
            log.accept(
                    "state directory unavailable: reason=can't use "
                            + directory
                            + ": "
                            + e.getMessage());
        }
        return Optional.empty();
    }

    // Releases the lock if the recovery fails.
    private static RecoveryStore recoverLocked(
            Path directory,
            String owner,
            BootSettings boot,
            long snapshotIntervalMs,
            Consumer<String> log,
            DirectoryLock lock)
            throws IOException {
        try {
            return new RecoveryStore(directory, owner, boot, snapshotIntervalMs, log, lock);
        } catch (IOException e) {
            lock.close();
            throw e;
        }
    }

    /** The directory that this process owns. */
    public Path directory() {
        return directory;
    }

    // ------------------------------------------------------------ recovered state

    /** Incarnation of this process: higher than that of any earlier one that persisted its own. */
    public long incarnation() {
        return incarnation;
    }

    /** Promises as last persisted, in the form of their owner; empty without any. */
    public Optional<byte[]> recoveredPromises() {
        return recoveredPromises.map(Snapshot::content);
    }

    /** The recovered endpoint list, if its revision is higher than {@code known}'s; else that. */
    public EndpointList newestEndpointList(EndpointList known) {
        if (recoveredSnapshot.isEmpty()) {
            return known;
        }
        EndpointList recovered;
        try {
            recovered = contentCodec.decodeEndpoints(recoveredSnapshot.get().content());
        } catch (InvalidEndpointListException e) {
            log.accept("stored endpoint list undecodable: reason=" + e.getMessage());
            return known;
        }
        if (recovered.revision() <= known.revision()) {
            return known;
        }
        log.accept(
                "stored endpoint list used: revision="
                        + recovered.revision()
                        + " endpoints="
                        + recovered.entries().size()
                        + " configured_revision="
                        + known.revision());
        return recovered;
    }

    /**
     * The knowledge of the routing policy; empty if none was stored, if it is malformed, older than
     * 30 s, or of a time in the future (the wall clock was set back).
     */
    public Optional<PolicySnapshot> recoveredPolicySnapshot() {
        if (recoveredSnapshot.isEmpty()
                || snapshotAgeMicros() < 0
                || snapshotAgeMicros() > MAX_POLICY_SNAPSHOT_AGE_MICROS) {
            return Optional.empty();
        }
        try {
            return contentCodec.decodePolicySnapshot(recoveredSnapshot.get().content());
        } catch (MalformedPolicySnapshotException e) {
            logUnreadablePolicySnapshot(e.field() + ": " + e.getMessage());
        } catch (IOException | IllegalArgumentException e) {
            logUnreadablePolicySnapshot(e.getMessage());
        }
        return Optional.empty();
    }

    private void logUnreadablePolicySnapshot(String reason) {
        log.accept("stored policy snapshot undecodable: reason=" + reason);
    }

    /**
     * Age of the recovered snapshot at the start of this process; negative if the wall clock was
     * set back. Only with a recovered snapshot.
     */
    public long snapshotAgeMicros() {
        return (startedAtMs - recoveredSnapshot.orElseThrow().createdAtMs()) * MICROS_PER_MS;
    }

    // ------------------------------------------------------------ persisting

    /** Merges a list from discovery. */
    public void onEndpointList(EndpointListKind kind, EndpointList endpointList) {
        endpoints.apply(kind, endpointList);
    }

    /** How often {@link #takeSnapshot} shall be called. */
    public long snapshotIntervalMs() {
        return snapshotIntervalMs;
    }

    /**
     * Has a snapshot written of the endpoint list and of {@code policySnapshot}, if there is one;
     * does nothing if there is no endpoint, one is being written, or the last one took long.
     */
    public void takeSnapshot(Optional<PolicySnapshot> policySnapshot) {
        if (endpoints.isEmpty() || !throttle.tryBegin()) {
            return;
        }
        EndpointList endpointList = endpoints.toEndpointList();
        executeOnDiskThread(
                () -> {
                    long startNanos = System.nanoTime();
                    byte[] content = contentCodec.encode(endpointList, policySnapshot);
                    writer.save(snapshots, content);
                    throttle.end(startNanos);
                });
    }

    /**
     * Persists promises.
     *
     * @param content all promises, in the form of their owner
     * @param onCompletion receives, on the disk thread, whether they are durable
     */
    public void persistPromises(byte[] content, Consumer<Boolean> onCompletion) {
        executeOnDiskThread(() -> onCompletion.accept(writer.save(promiseSnapshots, content)));
    }

    /** Runs a task on the disk thread, where it may wait for the disk; dropped after the close. */
    public void executeOnDiskThread(Runnable task) {
        diskThread.execute(task);
    }

    /** Waits up to a second for writes that are queued, ends the disk thread, releases the lock. */
    @Override
    public void close() {
        diskThread.close();
        directoryLock.close();
    }
}

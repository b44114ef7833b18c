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
 * Persists the state of a balancer in a directory that outlives the process, and recovers it when
 * the process starts.
 *
 * <table>
 *   <caption>Persisted state</caption>
 *   <tr><th>state</th><th>written by</th><th>recovered by</th></tr>
 *   <tr><td>endpoint list, policy snapshot</td><td>{@link #takeSnapshot}, each {@link
 *       #snapshotIntervalMs}, from the event loop</td><td>{@link #newestEndpointList}, {@link
 *       #recoveredPolicySnapshot}</td></tr>
 *   <tr><td>incarnation</td><td>each snapshot</td><td>{@link #incarnation}</td></tr>
 *   <tr><td>lease promises</td><td>{@link #persistPromises}, before each promise is sent, from the
 *       event loop</td><td>{@link #recoveredPromises}</td></tr>
 * </table>
 *
 * <p>Threads: {@link #open} blocks on the disk and is called while the process starts. After that
 * all methods are called on the event loop, and none except {@link #close} waits for the disk; the
 * disk thread does all writes. This store owns the disk thread and the directory's lock from {@link
 * #open} to {@link #close}.
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

    // These are used only on the disk thread after the constructor has recovered from them.
    private final SnapshotStore snapshots;
    private final SnapshotStore promiseSnapshots;
    private final SnapshotWriter writer;

    private final Optional<Snapshot> recoveredSnapshot;
    private final Optional<Snapshot> recoveredPromises;
    private final long incarnation;
    // Wall clock, in ms since 1970.
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
     * Opens a directory, locks it and recovers the stored state.
     *
     * @param directory directory that only this balancer uses; created if it does not exist
     * @param owner site and name of the balancer
     * @param boot names of zones and machine types
     * @param snapshotIntervalMs interval between calls of {@link #takeSnapshot}, in ms
     * @param log receives log lines, on the caller's thread and on the disk thread
     * @return the store; empty, after logging the reason, if the directory can't be used or its
     *     lock is held
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

    /** Returns the directory, which this process has locked. */
    public Path directory() {
        return directory;
    }

    /**
     * Returns the incarnation of this process, which is higher than that of every earlier process
     * that persisted its incarnation.
     */
    public long incarnation() {
        return incarnation;
    }

    /** Returns the lease promises persisted last, as their owner encoded them; empty if none. */
    public Optional<byte[]> recoveredPromises() {
        return recoveredPromises.map(Snapshot::content);
    }

    /**
     * Returns the recovered endpoint list if its revision is higher than that of {@code known},
     * otherwise {@code known}.
     */
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
     * Returns the recovered policy snapshot. Empty if none was stored, or if it is malformed, older
     * than 30 s or from the future (the wall clock was set back).
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
            logUndecodablePolicySnapshot(e.field() + ": " + e.getMessage());
        } catch (IOException | IllegalArgumentException e) {
            logUndecodablePolicySnapshot(e.getMessage());
        }
        return Optional.empty();
    }

    private void logUndecodablePolicySnapshot(String reason) {
        log.accept("stored policy snapshot undecodable: reason=" + reason);
    }

    /**
     * Returns the age that the recovered snapshot had when this process started, in µs; negative if
     * the wall clock was set back.
     *
     * @throws java.util.NoSuchElementException if no snapshot was recovered
     */
    public long snapshotAgeMicros() {
        return (startedAtMs - recoveredSnapshot.orElseThrow().createdAtMs()) * MICROS_PER_MS;
    }

    /** Merges a list from discovery into the endpoint list that snapshots contain. */
    public void onEndpointList(EndpointListKind kind, EndpointList endpointList) {
        endpoints.apply(kind, endpointList);
    }

    /** Returns the interval between calls of {@link #takeSnapshot}, in ms. */
    public long snapshotIntervalMs() {
        return snapshotIntervalMs;
    }

    /**
     * Starts writing a snapshot of the endpoint list and, if present, of {@code policySnapshot}.
     * Does nothing if there is no endpoint, while another snapshot is being written, or during the
     * pause that follows a slow write.
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
     * Starts writing the lease promises.
     *
     * @param content all promises, as their owner encodes them
     * @param onCompletion receives, on the disk thread, whether the promises are durable
     */
    public void persistPromises(byte[] content, Consumer<Boolean> onCompletion) {
        executeOnDiskThread(() -> onCompletion.accept(writer.save(promiseSnapshots, content)));
    }

    /** Runs a task on the disk thread, where it may block. Drops it after {@link #close}. */
    public void executeOnDiskThread(Runnable task) {
        diskThread.execute(task);
    }

    /**
     * Waits up to one second for queued writes, stops the disk thread and releases the directory's
     * lock.
     */
    @Override
    public void close() {
        diskThread.close();
        directoryLock.close();
    }
}

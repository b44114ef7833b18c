package loadbalancer.cluster;

import java.io.IOException;
import java.nio.file.Path;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.function.Consumer;
import loadbalancer.lease.Lease;
import loadbalancer.membership.MembershipView;

/**
 * Writes the audit log of the cluster. Once a second, the one balancer that holds the audit log's
 * lease writes which members are present, as one JSON object per line, to rotated files in its
 * state directory. Nothing is written while no balancer holds the lease. Called on the event loop;
 * the disk is accessed on another thread.
 */
final class ClusterAuditLog {
    /** Key of the lease that protects the audit log. */
    static final String LEASE_KEY = "fleet-record";

    private static final String FILE_NAME_PREFIX = "record-";

    private final RotatedFiles files;
    private final int self;
    private final Consumer<String> log;
    // At most one record waits for a slow disk.
    private final AtomicBoolean writePending = new AtomicBoolean();
    // Accessed only on the disk thread.
    private boolean lastWriteFailed;

    /**
     * Creates a log that writes to {@code directory}.
     *
     * @param self number of this balancer
     * @param log receives log lines, on the disk thread
     */
    ClusterAuditLog(Path directory, int self, Consumer<String> log) {
        this.files = new RotatedFiles(directory, FILE_NAME_PREFIX);
        this.self = self;
        this.log = log;
    }

    /** Writes a record on the disk thread. Skips it while the previous one is still waiting. */
    void appendAsync(Lease lease, MembershipView view, Consumer<Runnable> diskExecutor) {
        if (writePending.compareAndSet(false, true)) {
            diskExecutor.accept(
                    () -> {
                        append(lease, view);
                        writePending.set(false);
                    });
        }
    }

    private void append(Lease lease, MembershipView view) {
        long nowMicros = MonotonicClock.nowMicros();
        if (nowMicros >= lease.expiresAtMicros()) {
            // The lease has expired while this task waited for the disk.
            return;
        }
        AuditRecord auditRecord =
                AuditRecord.of(System.currentTimeMillis(), lease.epoch(), self, view);
        try {
            files.append(auditRecord.toJsonLine());
            log.accept(
                    "lease used: key="
                            + LEASE_KEY
                            + " epoch="
                            + lease.epoch()
                            + " at_micros="
                            + nowMicros);
            lastWriteFailed = false;
        } catch (IOException e) {
            if (!lastWriteFailed) {
                lastWriteFailed = true;
                log.accept("audit log write failed: reason=" + e.getMessage());
            }
        }
    }
}

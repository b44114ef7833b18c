package loadbalancer.cluster;

import java.io.IOException;
import java.nio.file.Path;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.function.Consumer;
import loadbalancer.lease.Lease;
import loadbalancer.membership.MembershipView;

/**
 * The audit log of the cluster: once a second the one balancer that holds its lease writes which
 * members are present, a JSON object a line, to rotated files in its state directory. Without a
 * holder nothing is written. Called on the event loop; the disk is accessed on another thread.
 */
final class ClusterAuditLog {
    /** Key of the lease that protects the audit log. */
    static final String LEASE_KEY = "fleet-record";

    private static final String FILE_NAME_PREFIX = "record-";

    private final RotatedFiles files;
    private final int self;
    private final Consumer<String> log;
    // Bounds the records that wait for a slow disk to one.
    private final AtomicBoolean writePending = new AtomicBoolean();
    // Disk thread only
    private boolean lastWriteFailed;

    /** {@code self}: number of this balancer. */
    ClusterAuditLog(Path directory, int self, Consumer<String> log) {
        this.files = new RotatedFiles(directory, FILE_NAME_PREFIX);
        this.self = self;
        this.log = log;
    }

    /** Has a record written on the disk's thread, unless the one before still waits there. */
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
            // The disk has delayed this thread for longer than the lease.
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

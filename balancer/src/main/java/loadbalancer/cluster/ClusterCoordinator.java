package loadbalancer.cluster;

import io.netty.channel.EventLoop;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import loadbalancer.config.BalancerConfig;
import loadbalancer.config.LocalSetting;
import loadbalancer.lease.Lease;
import loadbalancer.membership.MembershipView;
import loadbalancer.recovery.RecoveryStore;

/**
 * Owns membership, leases and the audit log of one balancer and passes events between them. Event
 * loop only.
 */
public final class ClusterCoordinator {
    private static final long AUDIT_INTERVAL_MS = 1_000;

    private final EventLoop loop;
    private final MembershipDriver membershipDriver;
    // Empty if leases are switched off.
    private final Optional<LeaseDriver> leaseDriver;
    private final Optional<RecoveryStore> recoveryStore;
    // Empty without leases, or without a state directory.
    private final Optional<ClusterAuditLog> auditLog;
    private MembershipView view;

    private ClusterCoordinator(
            EventLoop loop,
            BalancerConfig config,
            Optional<RecoveryStore> recoveryStore,
            PeerSender sender,
            Consumer<String> log) {
        this.loop = loop;
        this.recoveryStore = recoveryStore;
        int self = config.boot().settings().rank();
        int memberCount = config.peers().addresses().size();
        long incarnation =
                recoveryStore.map(RecoveryStore::incarnation).orElseGet(System::currentTimeMillis);
        membershipDriver =
                new MembershipDriver(
                        loop, self, memberCount, incarnation, sender, log, this::onViewChanged);
        view = membershipDriver.view();
        leaseDriver =
                config.localSettings().isEnabled(LocalSetting.LEASES_ENABLED)
                        ? Optional.of(
                                new LeaseDriver(
                                        loop,
                                        self,
                                        memberCount,
                                        incarnation,
                                        recoveryStore,
                                        sender,
                                        log))
                        : Optional.empty();
        auditLog =
                leaseDriver
                        .flatMap(driver -> recoveryStore)
                        .map(store -> new ClusterAuditLog(store.directory(), self, log));
    }

    /**
     * Creates a coordinator, which does nothing before {@link #start}.
     *
     * @param recoveryStore empty if nothing is persisted
     * @return empty if membership is switched off, or if this balancer is not one of the peers
     */
    public static Optional<ClusterCoordinator> createIfEnabled(
            EventLoop loop,
            BalancerConfig config,
            Optional<RecoveryStore> recoveryStore,
            PeerSender sender,
            Consumer<String> log) {
        boolean enabled =
                config.localSettings().isEnabled(LocalSetting.MEMBERSHIP_ENABLED)
                        && config.boot().settings().rank() < config.peers().addresses().size();
        return enabled
                ? Optional.of(new ClusterCoordinator(loop, config, recoveryStore, sender, log))
                : Optional.empty();
    }

    /** Starts probing peers and writing the audit log. */
    public void start() {
        membershipDriver.start();
        if (auditLog.isPresent()) {
            loop.scheduleWithFixedDelay(
                    this::appendAuditRecord,
                    AUDIT_INTERVAL_MS,
                    AUDIT_INTERVAL_MS,
                    TimeUnit.MILLISECONDS);
        }
    }

    /** Handles that this process has bound the address at which peers reach it. */
    public void onAddressBound() {
        leaseDriver.ifPresent(LeaseDriver::onAddressBound);
    }

    private void onViewChanged(MembershipView newView) {
        view = newView;
        leaseDriver.ifPresent(driver -> driver.onViewChanged(newView));
    }

    private void appendAuditRecord() {
        Optional<Lease> lease =
                leaseDriver.flatMap(driver -> driver.currentLease(ClusterAuditLog.LEASE_KEY));
        if (lease.isPresent() && auditLog.isPresent() && recoveryStore.isPresent()) {
            auditLog.get().appendAsync(lease.get(), view, recoveryStore.get()::executeOnDiskThread);
        }
    }

    /** Handles a datagram from a peer. Returns false if it is for the routing policy. */
    public boolean onPeerMessage(int from, byte[] data) {
        return membershipDriver.onPeerMessage(from, data)
                || (leaseDriver.isPresent() && leaseDriver.get().onPeerMessage(from, data));
    }

    /**
     * Sets whether operators drain this balancer. While draining, it transfers its leases and
     * acquires none.
     */
    public void setDraining(boolean draining) {
        leaseDriver.ifPresent(driver -> driver.setDraining(draining));
    }

    /**
     * Leaves the cluster because this balancer shuts down. Releases its leases first, so that they
     * are free when peers learn that it leaves.
     */
    public void leave() {
        leaseDriver.ifPresent(LeaseDriver::leave);
        membershipDriver.leave();
    }
}

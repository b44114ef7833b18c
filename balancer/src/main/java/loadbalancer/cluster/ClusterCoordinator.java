package loadbalancer.cluster;

import io.netty.channel.EventLoop;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import loadbalancer.config.BalancerConfig;
import loadbalancer.config.LocalSettings;
import loadbalancer.membership.MembershipView;
import loadbalancer.recovery.RecoveryStore;

/**
 * What this balancer shares with its peers beside the module's messages: who is present, and duties
 * that one of them holds. Event loop only. Off as a whole unless membership is asked for.
 */
public final class ClusterCoordinator {
    private static final long AUDIT_INTERVAL_MS = 1_000;

    private final EventLoop loop;
    private final RecoveryStore recoveryStore;
    private final MembershipDriver membershipDriver;
    // Null where duties are off
    private final LeaseDriver leaseDriver;
    // Null where nothing is kept
    private final ClusterAuditLog auditLog;
    private MembershipView view;

    private ClusterCoordinator(
            EventLoop loop,
            BalancerConfig config,
            RecoveryStore recoveryStore,
            PeerSender sender,
            Consumer<String> log) {
        this.loop = loop;
        this.recoveryStore = recoveryStore;
        int self = config.boot().settings().rank();
        int memberCount = config.peers().addresses().size();
        long incarnation =
                recoveryStore == null ? System.currentTimeMillis() : recoveryStore.incarnation();
        membershipDriver =
                new MembershipDriver(
                        loop, self, memberCount, incarnation, sender, log, this::onViewChanged);
        view = membershipDriver.view();
        leaseDriver =
                config.localSettings().isEnabled(LocalSettings.Setting.LEASES_ENABLED)
                        ? new LeaseDriver(
                                loop, self, memberCount, incarnation, recoveryStore, sender, log)
                        : null;
        auditLog =
                leaseDriver == null || recoveryStore == null
                        ? null
                        : new ClusterAuditLog(recoveryStore.directory(), self, log);
    }

    /** Null where membership is off, or this balancer is none of the peers. */
    public static ClusterCoordinator createIfEnabled(
            EventLoop loop,
            BalancerConfig config,
            RecoveryStore recoveryStore,
            PeerSender sender,
            Consumer<String> log) {
        return config.localSettings().isEnabled(LocalSettings.Setting.MEMBERSHIP_ENABLED)
                        && config.boot().settings().rank() < config.peers().addresses().size()
                ? new ClusterCoordinator(loop, config, recoveryStore, sender, log)
                : null;
    }

    public void start() {
        membershipDriver.start();
        if (auditLog != null) {
            loop.scheduleWithFixedDelay(
                    this::appendAuditRecord,
                    AUDIT_INTERVAL_MS,
                    AUDIT_INTERVAL_MS,
                    TimeUnit.MILLISECONDS);
        }
    }

    /** The address is this process's own from now on. */
    public void onAddressBound() {
        if (leaseDriver != null) {
            leaseDriver.onAddressBound();
        }
    }

    private void onViewChanged(MembershipView newView) {
        view = newView;
        if (leaseDriver != null) {
            leaseDriver.onViewChanged(newView);
        }
    }

    private void appendAuditRecord() {
        leaseDriver
                .currentLease(ClusterAuditLog.LEASE_KEY)
                .ifPresent(
                        lease ->
                                auditLog.appendAsync(
                                        lease, view, recoveryStore::executeOnDiskThread));
    }

    /** A datagram from a peer; false where it is the module's. */
    public boolean onPeerMessage(int from, byte[] data) {
        return membershipDriver.onPeerMessage(from, data)
                || leaseDriver != null && leaseDriver.onPeerMessage(from, data);
    }

    /** Wants no duties, as operators drain this balancer, or wants them again. */
    public void setDraining(boolean draining) {
        if (leaseDriver != null) {
            leaseDriver.setDraining(draining);
        }
    }

    /** Duties first, so that who is told that this one leaves finds them free. */
    public void leave() {
        if (leaseDriver != null) {
            leaseDriver.leave();
        }
        membershipDriver.leave();
    }
}

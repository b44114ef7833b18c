package loadbalancer.cluster;

import io.netty.channel.EventLoop;
import java.util.List;
import java.util.Locale;
import java.util.Optional;
import java.util.function.Consumer;
import loadbalancer.lease.Lease;
import loadbalancer.lease.LeaseManager;
import loadbalancer.lease.LeaseMessage;
import loadbalancer.lease.LeaseTiming;
import loadbalancer.lease.VoterPromise;
import loadbalancer.membership.MembershipView;
import loadbalancer.recovery.RecoveryStore;

/**
 * Runs {@link LeaseManager} on the event loop. Passes it the time, peers' datagrams and membership
 * views, sends its messages, persists its promises and logs which leases are acquired and released.
 * Event loop only; no client request waits for it.
 */
final class LeaseDriver {
    private static final LeaseTiming TIMING = LeaseTiming.DEFAULT;
    private static final int MICROS_PER_MS = 1000;
    // Leaves room for the member's number in the low bits of the seed.
    private static final int SEED_INCARNATION_SHIFT = 14;

    private final EventLoop loop;
    private final PeerSender sender;
    private final Optional<RecoveryStore> recoveryStore;
    private final Consumer<String> log;
    private final RateLimitedLog changeLog;
    private final DecodeFailureLog decodeFailures;
    private final LeaseManager leaseManager;
    private final TickScheduler ticks;

    /**
     * Creates a driver. Its voter abstains at first.
     *
     * @param self number of this balancer
     * @param memberCount number of configured balancers
     * @param incarnation incarnation of this process, which increases with each start
     * @param recoveryStore persists promises; empty if promises do not outlive the process
     * @param log receives log lines
     */
    LeaseDriver(
            EventLoop loop,
            int self,
            int memberCount,
            long incarnation,
            Optional<RecoveryStore> recoveryStore,
            PeerSender sender,
            Consumer<String> log) {
        this.loop = loop;
        this.sender = sender;
        this.recoveryStore = recoveryStore;
        this.log = log;
        this.changeLog = new RateLimitedLog(log, MonotonicClock::nowMicros);
        this.decodeFailures = new DecodeFailureLog("lease", log);
        this.leaseManager =
                new LeaseManager(
                        self,
                        memberCount,
                        TIMING,
                        recoveryStore.flatMap(LeaseDriver::recoveredPromises).orElse(List.of()),
                        recoveryStore.isPresent(),
                        incarnation,
                        (incarnation << SEED_INCARNATION_SHIFT) ^ System.nanoTime() ^ self,
                        MonotonicClock.nowMicros());
        this.ticks =
                new TickScheduler(
                        loop,
                        leaseManager::nextTickMicros,
                        () -> execute(leaseManager.tick(MonotonicClock.nowMicros())));
    }

    private static Optional<List<VoterPromise>> recoveredPromises(RecoveryStore store) {
        return store.recoveredPromises()
                .flatMap(bytes -> VoterPromise.decode(bytes, TIMING.slotCount()));
    }

    /**
     * Handles that this process has bound its address: peers reach it from now on. Until now they
     * may have reached an earlier process of this balancer.
     */
    void onAddressBound() {
        leaseManager.onReachable(MonotonicClock.nowMicros());
        log.accept(
                "lease voter abstaining: duration_ms="
                        + TIMING.leaseMicros() / MICROS_PER_MS
                        + " durable="
                        + recoveryStore.isPresent());
        execute(leaseManager.tick(MonotonicClock.nowMicros()));
    }

    /** Handles a new membership view. */
    void onViewChanged(MembershipView view) {
        execute(leaseManager.onMembershipChanged(MonotonicClock.nowMicros(), view::isPresent));
    }

    /** Handles a datagram from a peer. Returns false if it belongs to another protocol. */
    boolean onPeerMessage(int from, byte[] data) {
        if (!LeaseMessage.matchesFormat(data)) {
            return false;
        }
        Optional<LeaseMessage> message = LeaseMessage.decode(data);
        if (message.isPresent()) {
            execute(leaseManager.onPeerMessage(MonotonicClock.nowMicros(), from, message.get()));
        } else {
            decodeFailures.onDecodeFailure(from);
        }
        return true;
    }

    /** Returns the lease that this process now holds on the slot of {@code key}, if any. */
    Optional<Lease> currentLease(String key) {
        return leaseManager.currentLease(MonotonicClock.nowMicros(), key);
    }

    /**
     * Sets whether operators drain this balancer. While draining, it transfers its leases and
     * acquires none.
     */
    void setDraining(boolean draining) {
        execute(leaseManager.setDraining(MonotonicClock.nowMicros(), draining));
    }

    /** Transfers all leases that this process holds, and stops the driver. */
    void leave() {
        execute(leaseManager.leave(MonotonicClock.nowMicros()));
        ticks.stop();
    }

    private void execute(List<LeaseManager.Action> actions) {
        for (LeaseManager.Action action : actions) {
            if (action instanceof LeaseManager.Send send) {
                sender.send(send.to(), send.message().encode());
            } else if (action instanceof LeaseManager.Persist persist) {
                recoveryStore.ifPresent(store -> persistPromises(store, persist));
            } else if (action instanceof LeaseManager.Acquired acquired) {
                changeLog.log(
                        "lease acquired: slot=" + acquired.slot() + " epoch=" + acquired.epoch());
            } else if (action instanceof LeaseManager.Released released) {
                changeLog.log(releaseLine(released));
            }
        }
        ticks.schedule();
    }

    private static String releaseLine(LeaseManager.Released released) {
        String reason = released.reason().name().toLowerCase(Locale.ROOT);
        String line =
                "lease released: slot="
                        + released.slot()
                        + " epoch="
                        + released.epoch()
                        + " reason="
                        + reason;
        return released.successor().isPresent()
                ? line + " successor=" + released.successor().getAsInt()
                : line;
    }

    private void persistPromises(RecoveryStore store, LeaseManager.Persist persist) {
        store.persistPromises(
                VoterPromise.encode(persist.promises()),
                succeeded -> loop.execute(() -> onPersisted(persist.writeId(), succeeded)));
    }

    private void onPersisted(long writeId, boolean succeeded) {
        execute(leaseManager.onPersisted(MonotonicClock.nowMicros(), writeId, succeeded));
    }
}

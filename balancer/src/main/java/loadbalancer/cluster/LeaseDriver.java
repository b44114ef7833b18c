package loadbalancer.cluster;

import io.netty.channel.EventLoop;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.Future;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import loadbalancer.lease.Lease;
import loadbalancer.lease.LeaseManager;
import loadbalancer.lease.LeaseMessage;
import loadbalancer.lease.LeaseTiming;
import loadbalancer.lease.VoterPromise;
import loadbalancer.membership.MembershipView;
import loadbalancer.recovery.RecoveryStore;

/**
 * Drives {@link LeaseManager} on the event loop: gives it time, peers' words and views, sends what
 * it wants sent, has its promises kept before they are told, and says in the log what is taken and
 * given. Nothing of a request waits for it.
 */
final class LeaseDriver {
    // A second
    private static final int MAX_LOG_LINES_PER_SECOND = 20;

    private final EventLoop loop;
    private final PeerSender sender;
    private final RecoveryStore recoveryStore;
    private final Consumer<String> log;
    private final LeaseManager leaseManager;
    private Future<?> timer;
    private long timerDueMicros;
    private long logWindowSecond;
    private int linesInWindow;
    private boolean decodeFailureLogged;
    private boolean departed;

    /**
     * {@code self} of {@code memberCount} members; {@code incarnation} rises with each start;
     * {@code state} is null where no promise outlives the process.
     */
    LeaseDriver(
            EventLoop loop,
            int self,
            int memberCount,
            long incarnation,
            RecoveryStore recoveryStore,
            PeerSender sender,
            Consumer<String> log) {
        this.loop = loop;
        this.sender = sender;
        this.recoveryStore = recoveryStore;
        this.log = log;
        List<VoterPromise> promises =
                recoveryStore == null
                        ? List.of()
                        : VoterPromise.decode(
                                        recoveryStore.recoveredPromises(),
                                        LeaseTiming.DEFAULT.slotCount())
                                .orElse(List.of());
        leaseManager =
                new LeaseManager(
                        self,
                        memberCount,
                        LeaseTiming.DEFAULT,
                        promises,
                        recoveryStore != null,
                        incarnation,
                        incarnation << 14 ^ System.nanoTime() ^ self,
                        MembershipDriver.nowMicros());
    }

    /**
     * Peers can reach this process from now on; an earlier one of the same name could until now.
     */
    void onAddressBound() {
        leaseManager.onReachable(MembershipDriver.nowMicros());
        log.accept(
                "duties: granting nothing for "
                        + LeaseTiming.DEFAULT.leaseMicros() / 1000
                        + " ms, as grants from before this start may still bind"
                        + (recoveryStore == null ? "; no promise is kept" : ""));
        execute(leaseManager.tick(MembershipDriver.nowMicros()));
    }

    /** Who is present has changed. */
    void onViewChanged(MembershipView view) {
        execute(leaseManager.onMembershipChanged(MembershipDriver.nowMicros(), view::isPresent));
    }

    /** A datagram from a peer; false where it is none of duties'. */
    boolean onPeerMessage(int from, byte[] data) {
        if (!LeaseMessage.matchesFormat(data)) {
            return false;
        }
        Optional<LeaseMessage> message = LeaseMessage.decode(data);
        if (message.isPresent()) {
            execute(leaseManager.onPeerMessage(MembershipDriver.nowMicros(), from, message.get()));
        } else if (!decodeFailureLogged) {
            decodeFailureLogged = true;
            log.accept("duties: passed over a message of balancer " + from + " that can't be read");
        }
        return true;
    }

    /** Leave to act for a key, now; null: not for this process. */
    Optional<Lease> currentLease(String key) {
        return leaseManager.currentLease(MembershipDriver.nowMicros(), key);
    }

    /** Passes on all that is held and wants none, as operators asked; or wants them again. */
    void setDraining(boolean draining) {
        execute(leaseManager.setDraining(MembershipDriver.nowMicros(), draining));
    }

    /** Gives all that is held to others; says nothing after that. */
    void leave() {
        execute(leaseManager.leave(MembershipDriver.nowMicros()));
        departed = true;
        if (timer != null) {
            timer.cancel(false);
        }
    }

    private void execute(List<LeaseManager.Action> actions) {
        for (LeaseManager.Action action : actions) {
            if (action instanceof LeaseManager.Send send) {
                sender.send(send.to(), send.message().encode());
            } else if (action instanceof LeaseManager.Persist persist) {
                persistPromises(persist);
            } else if (action instanceof LeaseManager.Acquired acquired) {
                logLimited("takes slot " + acquired.slot() + ", epoch " + acquired.epoch());
            } else if (action instanceof LeaseManager.Released released) {
                logLimited(
                        "gives slot "
                                + released.slot()
                                + ", epoch "
                                + released.epoch()
                                + ": "
                                + released.reason());
            }
        }
        scheduleTick();
    }

    private void persistPromises(LeaseManager.Persist persist) {
        recoveryStore.persistPromises(
                VoterPromise.encode(persist.promises()),
                succeeded ->
                        loop.execute(
                                () ->
                                        execute(
                                                leaseManager.onPersisted(
                                                        MembershipDriver.nowMicros(),
                                                        persist.writeId(),
                                                        succeeded))));
    }

    private void scheduleTick() {
        long dueMicros = leaseManager.nextTickMicros();
        if (departed
                || dueMicros == Long.MAX_VALUE
                || timer != null && !timer.isDone() && timerDueMicros <= dueMicros) {
            return;
        }
        if (timer != null) {
            timer.cancel(false);
        }
        timerDueMicros = dueMicros;
        timer =
                loop.schedule(
                        () -> {
                            timer = null;
                            execute(leaseManager.tick(MembershipDriver.nowMicros()));
                        },
                        Math.max(0, dueMicros - MembershipDriver.nowMicros()),
                        TimeUnit.MICROSECONDS);
    }

    private void logLimited(String event) {
        long currentSecond = MembershipDriver.nowMicros() / 1_000_000;
        linesInWindow = currentSecond == logWindowSecond ? linesInWindow + 1 : 1;
        logWindowSecond = currentSecond;
        if (linesInWindow <= MAX_LOG_LINES_PER_SECOND) {
            log.accept("duties: " + event);
        }
    }
}

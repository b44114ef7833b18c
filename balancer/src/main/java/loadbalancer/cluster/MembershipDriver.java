package loadbalancer.cluster;

import io.netty.channel.EventLoop;
import java.util.List;
import java.util.concurrent.Future;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import loadbalancer.membership.MemberUpdate;
import loadbalancer.membership.Membership;
import loadbalancer.membership.MembershipMessage;
import loadbalancer.membership.MembershipTiming;
import loadbalancer.membership.MembershipView;

/**
 * Drives {@link Membership} on the event loop: gives it time and the peers' messages, sends what it
 * wants sent and tells the log, and whoever goes by it, what has changed. Nothing of a request
 * waits for it.
 */
final class MembershipDriver {
    // A second
    private static final int MAX_LOG_LINES_PER_SECOND = 20;

    private final EventLoop loop;
    private final PeerSender sender;
    private final Consumer<String> log;
    private final Consumer<MembershipView> viewListener;
    private final Membership membership;
    private Future<?> timer;
    private long timerDueMicros;
    private long logWindowSecond;
    private int linesInWindow;
    private boolean decodeFailureLogged;
    private boolean departed;

    /**
     * {@code self} of {@code memberCount} members; {@code incarnation} is the wall clock's ms, or a
     * later one; {@code viewListener} gets each new view, on the loop.
     */
    MembershipDriver(
            EventLoop loop,
            int self,
            int memberCount,
            long incarnation,
            PeerSender sender,
            Consumer<String> log,
            Consumer<MembershipView> viewListener) {
        this.loop = loop;
        this.sender = sender;
        this.log = log;
        this.viewListener = viewListener;
        this.membership =
                new Membership(
                        self, memberCount, MembershipTiming.DEFAULT, incarnation, nowMicros());
    }

    static long nowMicros() {
        return System.nanoTime() / 1000;
    }

    /** Begins to ask. */
    void start() {
        scheduleTick();
    }

    private void scheduleTick() {
        long dueMicros = membership.nextTickMicros();
        if (departed || timer != null && !timer.isDone() && timerDueMicros <= dueMicros) {
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
                            execute(membership.tick(nowMicros()));
                        },
                        Math.max(0, dueMicros - nowMicros()),
                        TimeUnit.MICROSECONDS);
    }

    /** A datagram from a peer; false where it is none of membership's. */
    boolean onPeerMessage(int from, byte[] data) {
        if (!MembershipMessage.matchesFormat(data)) {
            return false;
        }
        MembershipMessage message = MembershipMessage.decode(data);
        if (message != null) {
            execute(membership.onPeerMessage(nowMicros(), from, message));
        } else if (!decodeFailureLogged) {
            decodeFailureLogged = true;
            log.accept(
                    "members: passed over a message of balancer " + from + " that can't be read");
        }
        return true;
    }

    /** Tells some peers that this one leaves; says nothing after that. */
    void leave() {
        execute(membership.leave(nowMicros()));
        departed = true;
        if (timer != null) {
            timer.cancel(false);
        }
    }

    MembershipView view() {
        return membership.view();
    }

    private void execute(List<Membership.Action> actions) {
        for (Membership.Action action : actions) {
            if (action instanceof Membership.Send send) {
                sender.send(send.to(), send.message().encode());
            } else if (action instanceof Membership.ViewChanged changed) {
                logChange(changed.update(), changed.view());
                viewListener.accept(changed.view());
            }
        }
        scheduleTick();
    }

    private void logChange(MemberUpdate update, MembershipView view) {
        long currentSecond = nowMicros() / 1_000_000;
        linesInWindow = currentSecond == logWindowSecond ? linesInWindow + 1 : 1;
        logWindowSecond = currentSecond;
        if (linesInWindow <= MAX_LOG_LINES_PER_SECOND) {
            log.accept(
                    "members: balancer "
                            + update.member()
                            + " is "
                            + update.status()
                            + ", incarnation "
                            + update.incarnation()
                            + "; "
                            + view.presentCount()
                            + " of "
                            + view.members().size()
                            + " present, view "
                            + view.version()
                            + (view.hasMajority() ? "" : ", cut off from most"));
        }
    }
}

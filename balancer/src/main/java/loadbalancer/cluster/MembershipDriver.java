package loadbalancer.cluster;

import io.netty.channel.EventLoop;
import java.util.List;
import java.util.Optional;
import java.util.function.Consumer;
import loadbalancer.membership.MemberUpdate;
import loadbalancer.membership.Membership;
import loadbalancer.membership.MembershipMessage;
import loadbalancer.membership.MembershipTiming;
import loadbalancer.membership.MembershipView;

/**
 * Runs {@link Membership} on the event loop. Passes it the time and peers' datagrams, sends its
 * messages, logs changes of the view and passes new views to a listener. Event loop only; no client
 * request waits for it.
 */
final class MembershipDriver {
    private final PeerSender sender;
    private final RateLimitedLog changeLog;
    private final DecodeFailureLog decodeFailures;
    private final Consumer<MembershipView> viewListener;
    private final Membership membership;
    private final TickScheduler ticks;

    /**
     * Creates a driver, which does nothing before {@link #start}.
     *
     * @param self number of this balancer
     * @param memberCount number of configured balancers
     * @param incarnation time of the start by the wall clock, in ms since 1970, or a higher number
     * @param log receives log lines
     * @param viewListener receives each new view, on the event loop
     */
    MembershipDriver(
            EventLoop loop,
            int self,
            int memberCount,
            long incarnation,
            PeerSender sender,
            Consumer<String> log,
            Consumer<MembershipView> viewListener) {
        this.sender = sender;
        this.changeLog = new RateLimitedLog(log, MonotonicClock::nowMicros);
        this.decodeFailures = new DecodeFailureLog("membership", log);
        this.viewListener = viewListener;
        this.membership =
                new Membership(
                        self,
                        memberCount,
                        MembershipTiming.DEFAULT,
                        incarnation,
                        MonotonicClock.nowMicros());
        this.ticks =
                new TickScheduler(
                        loop,
                        membership::nextTickMicros,
                        () -> execute(membership.tick(MonotonicClock.nowMicros())));
    }

    /** Starts probing peers. */
    void start() {
        ticks.schedule();
    }

    /** Handles a datagram from a peer. Returns false if it belongs to another protocol. */
    boolean onPeerMessage(int from, byte[] data) {
        if (!MembershipMessage.matchesFormat(data)) {
            return false;
        }
        Optional<MembershipMessage> message = MembershipMessage.decode(data);
        if (message.isPresent()) {
            execute(membership.onPeerMessage(MonotonicClock.nowMicros(), from, message.get()));
        } else {
            decodeFailures.onDecodeFailure(from);
        }
        return true;
    }

    /** Announces to some peers that this balancer shuts down, and stops the driver. */
    void leave() {
        execute(membership.leave(MonotonicClock.nowMicros()));
        ticks.stop();
    }

    MembershipView view() {
        return membership.view();
    }

    private void execute(List<Membership.Action> actions) {
        for (Membership.Action action : actions) {
            if (action instanceof Membership.Send send) {
                sender.send(send.to(), send.message().encode());
            } else if (action instanceof Membership.ViewChanged changed) {
                changeLog.log(changeLine(changed.update(), changed.view()));
                viewListener.accept(changed.view());
            }
        }
        ticks.schedule();
    }

    private static String changeLine(MemberUpdate update, MembershipView view) {
        return "member status changed: member="
                + update.member()
                + " status="
                + update.status()
                + " incarnation="
                + update.incarnation()
                + " present="
                + view.presentCount()
                + " members="
                + view.members().size()
                + " view="
                + view.version()
                + " majority="
                + view.hasMajority();
    }
}

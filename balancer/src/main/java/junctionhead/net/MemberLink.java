package junctionhead.net;

import io.netty.channel.EventLoop;
import java.util.List;
import java.util.concurrent.Future;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import junctionhead.membership.Membership;
import junctionhead.membership.Message;
import junctionhead.membership.News;
import junctionhead.membership.Timing;
import junctionhead.membership.View;

/**
 * Drives {@link Membership} on the event loop: gives it time and the peers' messages, sends what it
 * wants sent and tells the log, and whoever goes by it, what has changed. Nothing of a request
 * waits for it.
 */
final class MemberLink {
    // A second
    private static final int LINES_MOST = 20;

    /** Where a datagram goes, by the peer's number. */
    interface Sender {
        void tell(int peer, byte[] data);
    }

    private final EventLoop loop;
    private final Sender sender;
    private final Consumer<String> log;
    private final Consumer<View> watcher;
    private final Membership members;
    private Future<?> timer;
    private long timerAt;
    private long second;
    private int lines;
    private boolean passedOver;
    private boolean left;

    /**
     * {@code self} of {@code size} members; {@code incarnation} is the wall clock's ms, or a later
     * one; {@code watcher} gets each new view, on the loop.
     */
    MemberLink(
            EventLoop loop,
            int self,
            int size,
            long incarnation,
            Sender sender,
            Consumer<String> log,
            Consumer<View> watcher) {
        this.loop = loop;
        this.sender = sender;
        this.log = log;
        this.watcher = watcher;
        this.members = new Membership(self, size, Timing.USUAL, incarnation, now());
    }

    static long now() {
        return System.nanoTime() / 1000;
    }

    /** Begins to ask. */
    void start() {
        plan();
    }

    private void plan() {
        long next = members.next();
        if (left || timer != null && !timer.isDone() && timerAt <= next) {
            return;
        }
        if (timer != null) {
            timer.cancel(false);
        }
        timerAt = next;
        timer =
                loop.schedule(
                        () -> {
                            timer = null;
                            act(members.tick(now()));
                        },
                        Math.max(0, next - now()),
                        TimeUnit.MICROSECONDS);
    }

    /** A datagram from a peer; false where it is none of membership's. */
    boolean heard(int from, byte[] data) {
        if (!Message.claims(data)) {
            return false;
        }
        Message message = Message.decode(data);
        if (message != null) {
            act(members.heard(now(), from, message));
        } else if (!passedOver) {
            passedOver = true;
            log.accept(
                    "members: passed over a message of balancer " + from + " that can't be read");
        }
        return true;
    }

    /** Tells some peers that this one leaves; says nothing after that. */
    void leave() {
        act(members.leave(now()));
        left = true;
        if (timer != null) {
            timer.cancel(false);
        }
    }

    View view() {
        return members.view();
    }

    private void act(List<Membership.Act> acts) {
        for (Membership.Act act : acts) {
            if (act instanceof Membership.Send send) {
                sender.tell(send.to(), send.message().encode());
            } else if (act instanceof Membership.Changed changed) {
                tell(changed.news(), changed.view());
                watcher.accept(changed.view());
            }
        }
        plan();
    }

    private void tell(News news, View view) {
        long now = now() / 1_000_000;
        lines = now == second ? lines + 1 : 1;
        second = now;
        if (lines <= LINES_MOST) {
            log.accept(
                    "members: balancer "
                            + news.member()
                            + " is "
                            + news.status()
                            + ", incarnation "
                            + news.incarnation()
                            + "; "
                            + view.present()
                            + " of "
                            + view.members().size()
                            + " present, view "
                            + view.version()
                            + (view.withMost() ? "" : ", cut off from most"));
        }
    }
}

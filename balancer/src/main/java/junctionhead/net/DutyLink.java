package junctionhead.net;

import io.netty.channel.EventLoop;
import java.util.List;
import java.util.concurrent.Future;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import junctionhead.duties.Duties;
import junctionhead.duties.Promise;
import junctionhead.duties.Terms;
import junctionhead.duties.Word;
import junctionhead.membership.View;

/**
 * Drives {@link Duties} on the event loop: gives it time, peers' words and views, sends what it
 * wants sent, has its promises kept before they are told, and says in the log what is taken and
 * given. Nothing of a request waits for it.
 */
final class DutyLink {
    // A second
    private static final int LINES_MOST = 20;

    private final EventLoop loop;
    private final MemberLink.Sender sender;
    private final StateKeeper state;
    private final Consumer<String> log;
    private final Duties duties;
    private Future<?> timer;
    private long timerAt;
    private long second;
    private int lines;
    private boolean passedOver;
    private boolean left;

    /**
     * {@code self} of {@code size} members; {@code incarnation} rises with each start; {@code
     * state} is null where no promise outlives the process.
     */
    DutyLink(
            EventLoop loop,
            int self,
            int size,
            long incarnation,
            StateKeeper state,
            MemberLink.Sender sender,
            Consumer<String> log) {
        this.loop = loop;
        this.sender = sender;
        this.state = state;
        this.log = log;
        List<Promise> kept =
                state == null ? null : Promise.decode(state.promises(), Terms.USUAL.slots());
        duties =
                new Duties(
                        self,
                        size,
                        Terms.USUAL,
                        kept,
                        state != null,
                        incarnation,
                        incarnation << 14 ^ System.nanoTime() ^ self,
                        MemberLink.now());
    }

    /**
     * Peers can reach this process from now on; an earlier one of the same name could until now.
     */
    void opened() {
        duties.opened(MemberLink.now());
        log.accept(
                "duties: granting nothing for "
                        + Terms.USUAL.lease() / 1000
                        + " ms, as grants from before this start may still bind"
                        + (state == null ? "; no promise is kept" : ""));
        act(duties.tick(MemberLink.now()));
    }

    /** Who is present has changed. */
    void present(View view) {
        act(duties.present(MemberLink.now(), view::isPresent));
    }

    /** A datagram from a peer; false where it is none of duties'. */
    boolean heard(int from, byte[] data) {
        if (!Word.claims(data)) {
            return false;
        }
        Word word = Word.decode(data);
        if (word != null) {
            act(duties.heard(MemberLink.now(), from, word));
        } else if (!passedOver) {
            passedOver = true;
            log.accept("duties: passed over a message of balancer " + from + " that can't be read");
        }
        return true;
    }

    /** Leave to act for a key, now; null: not for this process. */
    Duties.Hold hold(String key) {
        return duties.hold(MemberLink.now(), key);
    }

    /** Passes on all that is held and wants none, as operators asked; or wants them again. */
    void rest(boolean on) {
        act(duties.rest(MemberLink.now(), on));
    }

    /** Gives all that is held to others; says nothing after that. */
    void leave() {
        act(duties.leave(MemberLink.now()));
        left = true;
        if (timer != null) {
            timer.cancel(false);
        }
    }

    private void act(List<Duties.Act> acts) {
        for (Duties.Act act : acts) {
            if (act instanceof Duties.Send send) {
                sender.tell(send.to(), send.word().encode());
            } else if (act instanceof Duties.Keep keep) {
                keep(keep);
            } else if (act instanceof Duties.Taken taken) {
                tell("takes slot " + taken.slot() + ", epoch " + taken.epoch());
            } else if (act instanceof Duties.Given given) {
                tell(
                        "gives slot "
                                + given.slot()
                                + ", epoch "
                                + given.epoch()
                                + ": "
                                + given.why());
            }
        }
        plan();
    }

    private void keep(Duties.Keep keep) {
        state.promise(
                Promise.encode(keep.promises()),
                safe ->
                        loop.execute(
                                () -> act(duties.kept(MemberLink.now(), keep.number(), safe))));
    }

    private void plan() {
        long next = duties.next();
        if (left || next == Long.MAX_VALUE || timer != null && !timer.isDone() && timerAt <= next) {
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
                            act(duties.tick(MemberLink.now()));
                        },
                        Math.max(0, next - MemberLink.now()),
                        TimeUnit.MICROSECONDS);
    }

    private void tell(String what) {
        long now = MemberLink.now() / 1_000_000;
        lines = now == second ? lines + 1 : 1;
        second = now;
        if (lines <= LINES_MOST) {
            log.accept("duties: " + what);
        }
    }
}

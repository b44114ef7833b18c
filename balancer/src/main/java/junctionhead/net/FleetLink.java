package junctionhead.net;

import io.netty.channel.EventLoop;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import junctionhead.duties.Duties;
import junctionhead.membership.View;

/**
 * What this balancer shares with its peers beside the module's messages: who is present, and duties
 * that one of them holds. Event loop only. Off as a whole unless membership is asked for.
 */
final class FleetLink {
    private static final long RECORD_MS = 1_000;

    private final EventLoop loop;
    private final StateKeeper state;
    private final MemberLink members;
    // Null where duties are off
    private final DutyLink duties;
    // Null where nothing is kept
    private final FleetRecord record;
    private View view;

    private FleetLink(
            EventLoop loop,
            Config config,
            StateKeeper state,
            MemberLink.Sender sender,
            Consumer<String> log) {
        this.loop = loop;
        this.state = state;
        int self = config.boot().settings().rank();
        int size = config.peers().all().size();
        long incarnation = state == null ? System.currentTimeMillis() : state.incarnation();
        members = new MemberLink(loop, self, size, incarnation, sender, log, this::seen);
        view = members.view();
        duties =
                config.own().on(OwnSettings.Field.DUTIES_ON)
                        ? new DutyLink(loop, self, size, incarnation, state, sender, log)
                        : null;
        record =
                duties == null || state == null ? null : new FleetRecord(state.folder(), self, log);
    }

    /** Null where membership is off, or this balancer is none of the peers. */
    static FleetLink of(
            EventLoop loop,
            Config config,
            StateKeeper state,
            MemberLink.Sender sender,
            Consumer<String> log) {
        return config.own().on(OwnSettings.Field.MEMBERSHIP_ON)
                        && config.boot().settings().rank() < config.peers().all().size()
                ? new FleetLink(loop, config, state, sender, log)
                : null;
    }

    void start() {
        members.start();
        if (record != null) {
            loop.scheduleWithFixedDelay(this::record, RECORD_MS, RECORD_MS, TimeUnit.MILLISECONDS);
        }
    }

    /** The address is this process's own from now on. */
    void opened() {
        if (duties != null) {
            duties.opened();
        }
    }

    private void seen(View now) {
        view = now;
        if (duties != null) {
            duties.present(now);
        }
    }

    private void record() {
        Duties.Hold hold = duties.hold(FleetRecord.KEY);
        if (hold != null) {
            record.offer(hold, view, state::write);
        }
    }

    /** A datagram from a peer; false where it is the module's. */
    boolean heard(int from, byte[] data) {
        return members.heard(from, data) || duties != null && duties.heard(from, data);
    }

    /** Wants no duties, as operators drain this balancer, or wants them again. */
    void rest(boolean on) {
        if (duties != null) {
            duties.rest(on);
        }
    }

    /** Duties first, so that who is told that this one leaves finds them free. */
    void leave() {
        if (duties != null) {
            duties.leave();
        }
        members.leave();
    }
}

package junctionhead.lab.stand;

import java.util.ArrayList;
import java.util.LinkedHashSet;
import java.util.Set;
import junctionhead.lab.model.Way;
import org.apache.commons.rng.UniformRandomProvider;

/**
 * What lies between one balancer and one party that it connects to: a way there, a way back, and
 * the connections on it. The lab holds the far end of each connection, so that delaying, holding
 * back and resetting happen there: a relay of its own would cost a second socket pair a connection
 * and change nothing seen.
 */
public final class Path {
    private final Way there;
    private final Way back;
    private final Set<PathHandler> connections = new LinkedHashSet<>();
    private final Runnable changed;
    private int refused;

    /** {@code changed} is called when connections can no longer, or can again, come up. */
    public Path(UniformRandomProvider random, long delay, Runnable changed) {
        this.there = new Way(random, delay);
        this.back = new Way(random, delay);
        this.changed = changed;
    }

    Way there() {
        return there;
    }

    Way back() {
        return back;
    }

    Set<PathHandler> connections() {
        return connections;
    }

    /** A connection needs both ways to come up. */
    boolean silent() {
        return there.cut() || back.cut();
    }

    boolean refuses() {
        return refused > 0;
    }

    /** Begins or ends a trouble of one way or both. */
    void trouble(Way.Trouble trouble, boolean inThere, boolean inBack, boolean on) {
        if (inThere) {
            there.set(trouble, on);
        }
        if (inBack) {
            back.set(trouble, on);
        }
        new ArrayList<>(connections).forEach(PathHandler::look);
        changed.run();
    }

    void refuse(boolean on) {
        refused += on ? 1 : -1;
        changed.run();
    }

    /** Ends all connections with a reset. */
    void reset() {
        new ArrayList<>(connections).forEach(PathHandler::reset);
    }
}

package junctionhead.lab.rules;

import java.util.Map;

/**
 * Something that must hold over the time of a run, beyond the rules on single requests: parts of
 * the balancer bring their own. Hears what processes go through and what balancers log, on the
 * world's loop, in the order in which the lab saw it; times are µs of the run.
 */
public interface Property {
    /**
     * The balancer's process ended or was ended; {@code word}: it was asked to, and could say so.
     */
    default void down(int balancer, long at, boolean word) {}

    /** Its process was started again. */
    default void up(int balancer, long at) {}

    /** It stands still, or goes on. */
    default void paused(int balancer, long at, boolean on) {}

    /** A line of its log, without the lab's time. */
    void line(int balancer, long at, String line);

    /** The run is over: says what did not hold, and adds what it measured. */
    void end(long at, RuleBook rules, Map<String, Double> figures);
}

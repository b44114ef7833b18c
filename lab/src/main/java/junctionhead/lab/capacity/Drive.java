package junctionhead.lab.capacity;

import java.io.IOException;
import java.util.List;
import java.util.Map;
import java.util.function.IntPredicate;
import java.util.function.Supplier;
import junctionhead.Policy;
import org.HdrHistogram.Histogram;

/** A fleet of hollow balancers and what lies between them, in simulated or in real time. */
interface Drive extends AutoCloseable {
    /** µs. */
    long now();

    void start(int balancer);

    /** Ends one without a word. */
    void kill(int balancer);

    /** Ends one in order. */
    void leave(int balancer);

    boolean runs(int balancer);

    /** The part of the datagrams that is lost from now on. */
    void loss(double part);

    /** From now on datagrams pass only between balancers on the same side. */
    void cut(IntPredicate side);

    /**
     * Each balancer that runs hears of it, after a delay of its own; {@code changes} makes its
     * copies.
     */
    void news(Supplier<List<Policy.Server>> changes);

    /** Lets so many µs pass. */
    void play(long length);

    /** Forgets all costs so far. */
    void clear();

    /** The costs of each balancer since then, over all its processes. */
    List<Ledger> ledgers();

    /** ns of CPU of the threads that ran balancers since then. */
    long cpuNanos();

    /**
     * The part of a balancer's own elapsed time that was CPU: less than 1 where the thread had to
     * wait.
     */
    double cpuPart();

    /** By balancer, {@link Policy#othersRate}; NaN where none is known. */
    double[] othersRates();

    /** µs from a change of the list until each balancer had taken it in. */
    Histogram listTimes();

    Notices notices();

    /**
     * Figures of balancers that are no hollow ones, over so many seconds.
     *
     * @throws IOException where one of them has ended
     */
    default Map<String, Double> others(double seconds) throws IOException {
        return Map.of();
    }

    @Override
    void close();
}

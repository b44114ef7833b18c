package junctionhead.lab.stand;

import io.netty.channel.EventLoop;
import io.netty.channel.nio.NioEventLoopGroup;
import java.util.concurrent.TimeUnit;
import junctionhead.lab.measure.Windows;
import junctionhead.lab.plan.Plan;
import junctionhead.lab.rules.RuleBook;
import junctionhead.lab.scenario.Scenario;
import org.HdrHistogram.Histogram;

/**
 * The loop on which all stand-ins live, its clock, and whether it kept up with it. Everything that
 * a run changes is changed on this loop, so that no order of events depends on locks.
 */
public final class World implements AutoCloseable {
    // µs between two looks at how late the loop is
    private static final long BEAT = 5_000;

    // ns: until the run's begin is known its time is this far away, so that all before it is
    // negative.
    private static final long BEFORE = 3_600_000_000_000L;

    private final NioEventLoopGroup group = new NioEventLoopGroup(1);
    private final EventLoop loop = group.next();
    private final Plan plan;
    private final RuleBook rules;
    private final Windows windows;
    private final Histogram lag = new Histogram(3);
    private volatile long origin = System.nanoTime() + BEFORE;

    public World(Plan plan, RuleBook rules) {
        this.plan = plan;
        this.rules = rules;
        this.windows = new Windows(plan.scenario());
    }

    public EventLoop loop() {
        return loop;
    }

    public Plan plan() {
        return plan;
    }

    public Scenario scenario() {
        return plan.scenario();
    }

    public RuleBook rules() {
        return rules;
    }

    public Windows windows() {
        return windows;
    }

    /** µs of the run; negative before it begins. */
    public long now() {
        return timeOf(System.nanoTime());
    }

    /** The time of the run at that reading of {@link System#nanoTime}. */
    public long timeOf(long nanos) {
        return Math.floorDiv(nanos - origin, 1000);
    }

    /** The run begins after so many µs, at its time 0. */
    public void beginsIn(long delay) {
        origin = System.nanoTime() + delay * 1000;
        loop.schedule(() -> beat(now()), delay, TimeUnit.MICROSECONDS);
    }

    private void beat(long wanted) {
        long now = now();
        lag.recordValue(Math.max(0, now - wanted));
        if (now < scenario().length()) {
            at(now + BEAT, () -> beat(now + BEAT));
        }
    }

    /** Runs something on the loop at that time of the run, or at once where that is over. */
    public io.netty.util.concurrent.ScheduledFuture<?> at(long time, Runnable what) {
        return loop.schedule(what, Math.max(0, time - now()), TimeUnit.MICROSECONDS);
    }

    /** How late the loop was, in µs, looked at every 5 ms. */
    public Histogram lag() {
        return lag;
    }

    @Override
    public void close() {
        group.shutdownGracefully(0, 2, TimeUnit.SECONDS).awaitUninterruptibly(5, TimeUnit.SECONDS);
    }
}

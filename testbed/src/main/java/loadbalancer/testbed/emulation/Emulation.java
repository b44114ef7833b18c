package loadbalancer.testbed.emulation;

import io.netty.channel.EventLoop;
import io.netty.channel.nio.NioEventLoopGroup;
import io.netty.util.concurrent.ScheduledFuture;
import java.util.concurrent.TimeUnit;
import loadbalancer.testbed.invariant.RequestInvariants;
import loadbalancer.testbed.scenario.Scenario;
import loadbalancer.testbed.statistics.ServiceWindows;
import loadbalancer.testbed.workload.RunClock;
import loadbalancer.testbed.workload.WorkloadPlan;
import org.HdrHistogram.Histogram;

/**
 * The loop on which all stand-ins live, its clock, and whether it kept up with it. Everything that
 * a run changes is changed on this loop, so that no order of events depends on locks.
 */
public final class Emulation implements RunClock, AutoCloseable {
    // µs between two looks at how late the loop is
    private static final long LAG_SAMPLE_INTERVAL_MICROS = 5_000;

    // ns: until the run's begin is known its time is this far away, so that all before it is
    // negative.
    private static final long PRE_RUN_OFFSET_NANOS = 3_600_000_000_000L;

    private final NioEventLoopGroup group = new NioEventLoopGroup(1);
    private final EventLoop eventLoop = group.next();
    private final WorkloadPlan plan;
    private final RequestInvariants invariants;
    private final ServiceWindows windows;
    private final Histogram eventLoopLag = new Histogram(3);
    private volatile long originNanos = System.nanoTime() + PRE_RUN_OFFSET_NANOS;

    public Emulation(WorkloadPlan plan, RequestInvariants invariants) {
        this.plan = plan;
        this.invariants = invariants;
        this.windows = new ServiceWindows(plan.scenario());
    }

    public EventLoop eventLoop() {
        return eventLoop;
    }

    public WorkloadPlan plan() {
        return plan;
    }

    public Scenario scenario() {
        return plan.scenario();
    }

    public RequestInvariants invariants() {
        return invariants;
    }

    public ServiceWindows windows() {
        return windows;
    }

    /** Time of the run in µs; negative before it begins. */
    @Override
    public long nowMicros() {
        return toRunMicros(System.nanoTime());
    }

    /** The time of the run at that reading of {@link System#nanoTime}. */
    public long toRunMicros(long nanoTime) {
        return Math.floorDiv(nanoTime - originNanos, 1000);
    }

    /** The run begins after so many µs, at its time 0. */
    public void startIn(long delayMicros) {
        originNanos = System.nanoTime() + delayMicros * 1000;
        eventLoop.schedule(() -> sampleLag(nowMicros()), delayMicros, TimeUnit.MICROSECONDS);
    }

    private void sampleLag(long expectedMicros) {
        long nowMicros = nowMicros();
        eventLoopLag.recordValue(Math.max(0, nowMicros - expectedMicros));
        if (nowMicros < scenario().lengthMicros()) {
            schedule(
                    nowMicros + LAG_SAMPLE_INTERVAL_MICROS,
                    () -> sampleLag(nowMicros + LAG_SAMPLE_INTERVAL_MICROS));
        }
    }

    @Override
    public void schedule(long timeMicros, Runnable task) {
        scheduleTimer(timeMicros, task);
    }

    /** Like {@link #schedule}, with a future by which the task can be cancelled. */
    ScheduledFuture<?> scheduleTimer(long timeMicros, Runnable task) {
        return eventLoop.schedule(
                task, Math.max(0, timeMicros - nowMicros()), TimeUnit.MICROSECONDS);
    }

    /** How late the loop was, in µs, looked at every 5 ms. */
    public Histogram eventLoopLag() {
        return eventLoopLag;
    }

    @Override
    public void close() {
        group.shutdownGracefully(0, 2, TimeUnit.SECONDS).awaitUninterruptibly(5, TimeUnit.SECONDS);
    }
}

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
 * Owns the event loop of all emulated parties and the clock of the run, and measures the loop's
 * lag. All state of a run is changed on this loop, so that the order of events does not depend on
 * locks.
 */
public final class Emulation implements RunClock, AutoCloseable {
    // Time between two samples of the event loop's lag.
    private static final long LAG_SAMPLE_INTERVAL_MICROS = 5_000;

    // Until the start of the run is known, it is assumed to be this far in the future, so that
    // times before the start are negative.
    private static final long PRE_RUN_OFFSET_NANOS = 3_600_000_000_000L;

    private final NioEventLoopGroup group = new NioEventLoopGroup(1);
    private final EventLoop eventLoop = group.next();
    private final WorkloadPlan plan;
    private final RequestInvariants invariants;
    private final ServiceWindows windows;
    private final Histogram eventLoopLag = new Histogram(3);
    private volatile long originNanos = System.nanoTime() + PRE_RUN_OFFSET_NANOS;

    /** Creates an emulation whose event loop accepts tasks and whose run has not started. */
    public Emulation(WorkloadPlan plan, RequestInvariants invariants) {
        this.plan = plan;
        this.invariants = invariants;
        this.windows = new ServiceWindows(plan.scenario());
    }

    /** Returns the only event loop of the emulation. */
    public EventLoop eventLoop() {
        return eventLoop;
    }

    /** Returns the plan of the run. */
    public WorkloadPlan plan() {
        return plan;
    }

    /** Returns the scenario of the plan. */
    public Scenario scenario() {
        return plan.scenario();
    }

    /** Returns the invariants of requests, which collect the violations of all invariants. */
    public RequestInvariants invariants() {
        return invariants;
    }

    /** Returns the outcomes of requests by time window. */
    public ServiceWindows windows() {
        return windows;
    }

    /** Returns the time since the start of the run in µs; negative before the start. */
    @Override
    public long nowMicros() {
        return toRunMicros(System.nanoTime());
    }

    /** Converts a value of {@link System#nanoTime} to the time since the start of the run in µs. */
    public long toRunMicros(long nanoTime) {
        return Math.floorDiv(nanoTime - originNanos, 1000);
    }

    /** Sets the start of the run, its time 0, to {@code delayMicros} µs from now. */
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

    /** Schedules a task like {@link #schedule} and returns a future that can cancel it. */
    ScheduledFuture<?> scheduleTimer(long timeMicros, Runnable task) {
        return eventLoop.schedule(
                task, Math.max(0, timeMicros - nowMicros()), TimeUnit.MICROSECONDS);
    }

    /** Returns how late tasks of the event loop ran, in µs, sampled every 5 ms during the run. */
    public Histogram eventLoopLag() {
        return eventLoopLag;
    }

    /** Shuts down the event loop and waits up to 5 s until it has ended. */
    @Override
    public void close() {
        group.shutdownGracefully(0, 2, TimeUnit.SECONDS).awaitUninterruptibly(5, TimeUnit.SECONDS);
    }
}

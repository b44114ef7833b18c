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
 * The event loop of all emulated parties, its clock, and how late it was. All state of a run is
 * changed on this loop, so that no order of events depends on locks.
 */
public final class Emulation implements RunClock, AutoCloseable {
    // Time between two samples of the event loop's lag
    private static final long LAG_SAMPLE_INTERVAL_MICROS = 5_000;

    // Until the start of the run is known, it is assumed to be this far away, so that times before
    // it are negative.
    private static final long PRE_RUN_OFFSET_NANOS = 3_600_000_000_000L;

    private final NioEventLoopGroup group = new NioEventLoopGroup(1);
    private final EventLoop eventLoop = group.next();
    private final WorkloadPlan plan;
    private final RequestInvariants invariants;
    private final ServiceWindows windows;
    private final Histogram eventLoopLag = new Histogram(3);
    private volatile long originNanos = System.nanoTime() + PRE_RUN_OFFSET_NANOS;

    /** Creates an emulation whose event loop runs, and whose run has not started. */
    public Emulation(WorkloadPlan plan, RequestInvariants invariants) {
        this.plan = plan;
        this.invariants = invariants;
        this.windows = new ServiceWindows(plan.scenario());
    }

    /** The only event loop of the emulation. */
    public EventLoop eventLoop() {
        return eventLoop;
    }

    /** The plan of the run. */
    public WorkloadPlan plan() {
        return plan;
    }

    /** The scenario of the plan. */
    public Scenario scenario() {
        return plan.scenario();
    }

    /** The invariants of requests, which collect the violations of all invariants. */
    public RequestInvariants invariants() {
        return invariants;
    }

    /** The outcomes of requests by time. */
    public ServiceWindows windows() {
        return windows;
    }

    /** The time of the run in µs; negative before its start. */
    @Override
    public long nowMicros() {
        return toRunMicros(System.nanoTime());
    }

    /** The time of the run in µs at that value of {@link System#nanoTime}. */
    public long toRunMicros(long nanoTime) {
        return Math.floorDiv(nanoTime - originNanos, 1000);
    }

    /** Starts the run after so many µs, which is its time 0. */
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

    /** How late tasks of the event loop ran, in µs, sampled every 5 ms during the run. */
    public Histogram eventLoopLag() {
        return eventLoopLag;
    }

    /** Ends the event loop; waits up to 5 s for it. */
    @Override
    public void close() {
        group.shutdownGracefully(0, 2, TimeUnit.SECONDS).awaitUninterruptibly(5, TimeUnit.SECONDS);
    }
}

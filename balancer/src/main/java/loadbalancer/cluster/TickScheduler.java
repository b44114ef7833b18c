package loadbalancer.cluster;

import io.netty.channel.EventLoop;
import java.util.concurrent.Future;
import java.util.concurrent.TimeUnit;
import java.util.function.LongSupplier;

/**
 * Runs the ticks of a state machine at the times that the state machine requests. Sets at most one
 * timer at a time. Event loop only.
 */
final class TickScheduler {
    private final EventLoop loop;
    private final LongSupplier nextTickMicros;
    private final Runnable tick;
    // The most recent timer; null if it has run or none was set.
    private Future<?> timer;
    private long timerDueMicros;
    private boolean stopped;

    /**
     * Creates a scheduler without a timer.
     *
     * @param nextTickMicros returns when the next tick is due by {@link MonotonicClock}, in µs;
     *     {@link Long#MAX_VALUE} if no tick is due
     * @param tick runs one tick; it must call {@link #schedule} at its end
     */
    TickScheduler(EventLoop loop, LongSupplier nextTickMicros, Runnable tick) {
        this.loop = loop;
        this.nextTickMicros = nextTickMicros;
        this.tick = tick;
    }

    /** Sets the timer for the next tick, unless a timer is set for that time or earlier. */
    void schedule() {
        long dueMicros = nextTickMicros.getAsLong();
        if (stopped || dueMicros == Long.MAX_VALUE || isTimerDueBy(dueMicros)) {
            return;
        }
        cancel();
        timerDueMicros = dueMicros;
        timer =
                loop.schedule(
                        this::run,
                        Math.max(0, dueMicros - MonotonicClock.nowMicros()),
                        TimeUnit.MICROSECONDS);
    }

    private boolean isTimerDueBy(long dueMicros) {
        return timer != null && !timer.isDone() && timerDueMicros <= dueMicros;
    }

    private void run() {
        timer = null;
        tick.run();
    }

    /** Stops the scheduler: no further tick runs. */
    void stop() {
        stopped = true;
        cancel();
    }

    private void cancel() {
        if (timer != null) {
            timer.cancel(false);
        }
    }
}

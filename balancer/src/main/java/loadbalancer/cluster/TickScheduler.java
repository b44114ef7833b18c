package loadbalancer.cluster;

import io.netty.channel.EventLoop;
import java.util.concurrent.Future;
import java.util.concurrent.TimeUnit;
import java.util.function.LongSupplier;

/**
 * Gives a state machine its ticks on the event loop, at the times that it asks for; one timer at a
 * time. Event loop only.
 */
final class TickScheduler {
    private final EventLoop loop;
    private final LongSupplier nextTickMicros;
    private final Runnable tick;
    // The timer set last; null if it has run, or none was set.
    private Future<?> timer;
    private long timerDueMicros;
    private boolean stopped;

    /**
     * Makes a scheduler without a timer.
     *
     * @param nextTickMicros when the next tick is due by {@link MonotonicClock}; {@link
     *     Long#MAX_VALUE}: not at all
     * @param tick the tick; it has to call {@link #schedule} at its end
     */
    TickScheduler(EventLoop loop, LongSupplier nextTickMicros, Runnable tick) {
        this.loop = loop;
        this.nextTickMicros = nextTickMicros;
        this.tick = tick;
    }

    /** Sets the timer for the next tick, unless it is set for that time or an earlier one. */
    void schedule() {
        long dueMicros = nextTickMicros.getAsLong();
        if (stopped || dueMicros == Long.MAX_VALUE || isSetBy(dueMicros)) {
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

    private boolean isSetBy(long dueMicros) {
        return timer != null && !timer.isDone() && timerDueMicros <= dueMicros;
    }

    private void run() {
        timer = null;
        tick.run();
    }

    /** No tick follows. */
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

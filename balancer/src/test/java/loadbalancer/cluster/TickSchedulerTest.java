package loadbalancer.cluster;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.netty.channel.DefaultEventLoop;
import io.netty.channel.EventLoop;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

/** Tests {@link TickScheduler}: when ticks run, and that none runs after a stop. */
class TickSchedulerTest {
    private static final int TIMEOUT_MS = 5_000;
    // Time to wait for a tick that must not run.
    private static final int QUIET_MS = 50;
    // Delay longer than the test.
    private static final long LONG_DELAY_MICROS = TimeUnit.HOURS.toMicros(1);

    private final EventLoop loop = new DefaultEventLoop();
    private final AtomicLong dueMicros = new AtomicLong(Long.MAX_VALUE);
    private final CountDownLatch ticked = new CountDownLatch(1);
    private final TickScheduler scheduler =
            new TickScheduler(loop, dueMicros::get, ticked::countDown);

    @AfterEach
    void close() {
        loop.shutdownGracefully(0, 1, TimeUnit.SECONDS);
    }

    private void scheduleAt(long micros) throws Exception {
        dueMicros.set(micros);
        loop.submit(scheduler::schedule).get(TIMEOUT_MS, TimeUnit.MILLISECONDS);
    }

    @Test
    void tickRunsWhenDue() throws Exception {
        scheduleAt(MonotonicClock.nowMicros());
        assertTrue(ticked.await(TIMEOUT_MS, TimeUnit.MILLISECONDS), "no tick");
    }

    @Test
    void earlierTimeReplacesTimer() throws Exception {
        scheduleAt(MonotonicClock.nowMicros() + LONG_DELAY_MICROS);
        scheduleAt(MonotonicClock.nowMicros());
        assertTrue(ticked.await(TIMEOUT_MS, TimeUnit.MILLISECONDS), "no tick");
    }

    @Test
    void noTickFollowsStop() throws Exception {
        scheduleAt(MonotonicClock.nowMicros() + LONG_DELAY_MICROS);
        loop.submit(scheduler::stop).get(TIMEOUT_MS, TimeUnit.MILLISECONDS);
        scheduleAt(MonotonicClock.nowMicros());
        assertFalse(ticked.await(QUIET_MS, TimeUnit.MILLISECONDS), "a tick after the stop");
        assertEquals(1, ticked.getCount());
    }
}

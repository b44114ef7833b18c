package loadbalancer.util;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.SplittableRandom;
import org.junit.jupiter.api.Test;

/** Tests {@link EventRateLimiter} with both kinds of windows. */
class EventRateLimiterTest {
    private static final long SECOND_MICROS = 1_000_000;
    private static final int RANDOM_EVENTS = 20_000;
    private static final long MAX_RANDOM_GAP_MICROS = 200_000;

    private static int countAdmitted(EventRateLimiter limiter, int events, long nowMicros) {
        int admitted = 0;
        for (int i = 0; i < events; i++) {
            admitted += limiter.tryAcquire(nowMicros) ? 1 : 0;
        }
        return admitted;
    }

    @Test
    void alignedWindowEndsAtMultipleOfItsLength() {
        EventRateLimiter limiter = EventRateLimiter.withAlignedWindows(2, SECOND_MICROS);
        assertEquals(2, countAdmitted(limiter, 5, 5 * SECOND_MICROS + 900_000));
        assertEquals(0, countAdmitted(limiter, 5, 6 * SECOND_MICROS - 1));
        assertEquals(2, countAdmitted(limiter, 5, 6 * SECOND_MICROS));
        assertEquals(0, countAdmitted(limiter, 5, 7 * SECOND_MICROS - 1));
    }

    @Test
    void windowFromFirstEventEndsItsLengthLater() {
        EventRateLimiter limiter = EventRateLimiter.withWindowsFromFirstEvent(1, SECOND_MICROS);
        assertTrue(limiter.tryAcquire(5_900_000));
        assertFalse(limiter.tryAcquire(6_899_999));
        assertTrue(limiter.tryAcquire(6_900_000));
        assertFalse(limiter.tryAcquire(7_000_000));
        assertTrue(limiter.tryAcquire(9_300_000));
        assertFalse(limiter.tryAcquire(10_299_999));
    }

    @Test
    void firstEventIsAdmittedAtAnyTime() {
        for (long nowMicros : new long[] {0, 1, SECOND_MICROS, -1, Long.MAX_VALUE / 2}) {
            assertTrue(EventRateLimiter.withAlignedWindows(1, SECOND_MICROS).tryAcquire(nowMicros));
            assertTrue(
                    EventRateLimiter.withWindowsFromFirstEvent(1, SECOND_MICROS)
                            .tryAcquire(nowMicros));
        }
    }

    /** Aligned windows of one second are equivalent to a count per second of the clock. */
    @Test
    void alignedWindowsCountBySecond() {
        EventRateLimiter limiter = EventRateLimiter.withAlignedWindows(20, SECOND_MICROS);
        SplittableRandom random = new SplittableRandom(7);
        long nowMicros = 0;
        long second = 0;
        int eventsOfSecond = 0;
        for (int i = 0; i < RANDOM_EVENTS; i++) {
            nowMicros += random.nextInt(20) == 0 ? random.nextLong(MAX_RANDOM_GAP_MICROS) : 1;
            eventsOfSecond = nowMicros / SECOND_MICROS == second ? eventsOfSecond + 1 : 1;
            second = nowMicros / SECOND_MICROS;
            assertEquals(eventsOfSecond <= 20, limiter.tryAcquire(nowMicros), "at " + nowMicros);
        }
    }

    /** Windows of one event are equivalent to a minimum interval between events. */
    @Test
    void windowsOfOneEventEnforceMinimumInterval() {
        EventRateLimiter limiter = EventRateLimiter.withWindowsFromFirstEvent(1, SECOND_MICROS);
        SplittableRandom random = new SplittableRandom(8);
        long nowMicros = 0;
        long nextAtMicros = 0;
        for (int i = 0; i < RANDOM_EVENTS; i++) {
            nowMicros += random.nextLong(MAX_RANDOM_GAP_MICROS);
            boolean isDue = nowMicros >= nextAtMicros;
            nextAtMicros = isDue ? nowMicros + SECOND_MICROS : nextAtMicros;
            assertEquals(isDue, limiter.tryAcquire(nowMicros), "at " + nowMicros);
        }
    }
}

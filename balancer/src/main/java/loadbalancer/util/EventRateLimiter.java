package loadbalancer.util;

/**
 * Fixed-window rate limiter that admits a limited number of events in each time window. Reads no
 * clock: the caller passes the time, which must not decrease. Confined to the thread of its owner.
 */
public final class EventRateLimiter {
    private final int maxEventsPerWindow;
    private final long windowMicros;
    private final boolean alignsWindows;
    private long windowEndMicros = Long.MIN_VALUE;
    private int eventsInWindow;

    private EventRateLimiter(int maxEventsPerWindow, long windowMicros, boolean alignsWindows) {
        this.maxEventsPerWindow = maxEventsPerWindow;
        this.windowMicros = windowMicros;
        this.alignsWindows = alignsWindows;
    }

    /** Creates a limiter whose windows begin at multiples of {@code windowMicros}. */
    public static EventRateLimiter withAlignedWindows(int maxEventsPerWindow, long windowMicros) {
        return new EventRateLimiter(maxEventsPerWindow, windowMicros, true);
    }

    /** Creates a limiter whose windows begin with the first event after the previous window. */
    public static EventRateLimiter withWindowsFromFirstEvent(
            int maxEventsPerWindow, long windowMicros) {
        return new EventRateLimiter(maxEventsPerWindow, windowMicros, false);
    }

    /** Returns whether an event at {@code nowMicros} is within the limit; if so, counts it. */
    public boolean tryAcquire(long nowMicros) {
        if (nowMicros >= windowEndMicros) {
            startWindow(nowMicros);
        }
        if (eventsInWindow >= maxEventsPerWindow) {
            return false;
        }
        eventsInWindow++;
        return true;
    }

    private void startWindow(long nowMicros) {
        long elapsedMicros = alignsWindows ? Math.floorMod(nowMicros, windowMicros) : 0;
        windowEndMicros = nowMicros - elapsedMicros + windowMicros;
        eventsInWindow = 0;
    }
}

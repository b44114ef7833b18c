package loadbalancer.util;

/**
 * Fixed-window rate limiter: admits a bounded number of events in each window of time. Pure: the
 * caller gives the time, which must not go back. Confined to the thread of its owner.
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

    /** A limiter whose windows begin at the multiples of {@code windowMicros}. */
    public static EventRateLimiter withAlignedWindows(int maxEventsPerWindow, long windowMicros) {
        return new EventRateLimiter(maxEventsPerWindow, windowMicros, true);
    }

    /** A limiter whose windows begin with the first event after the end of the one before. */
    public static EventRateLimiter withWindowsFromFirstEvent(
            int maxEventsPerWindow, long windowMicros) {
        return new EventRateLimiter(maxEventsPerWindow, windowMicros, false);
    }

    /** Whether an event at {@code nowMicros} is within the limit; if so, counts it. */
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

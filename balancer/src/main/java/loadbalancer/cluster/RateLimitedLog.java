package loadbalancer.cluster;

import java.util.function.Consumer;
import java.util.function.LongSupplier;
import loadbalancer.util.EventRateLimiter;

/** Writes a limited number of log lines per second and drops the rest. Event loop only. */
final class RateLimitedLog {
    /** Maximum number of lines per second. */
    static final int MAX_LINES_PER_SECOND = 20;

    private static final long MICROS_PER_SECOND = 1_000_000;

    private final Consumer<String> log;
    private final LongSupplier nowMicros;
    private final EventRateLimiter limiter =
            EventRateLimiter.withAlignedWindows(MAX_LINES_PER_SECOND, MICROS_PER_SECOND);

    RateLimitedLog(Consumer<String> log, LongSupplier nowMicros) {
        this.log = log;
        this.nowMicros = nowMicros;
    }

    /** Writes a line, or drops it if the limit of the current second is reached. */
    void log(String line) {
        if (limiter.tryAcquire(nowMicros.getAsLong())) {
            log.accept(line);
        }
    }
}

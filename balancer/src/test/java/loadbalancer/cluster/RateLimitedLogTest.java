package loadbalancer.cluster;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;

/** Tests {@link RateLimitedLog}: the limit on the lines per second. */
class RateLimitedLogTest {
    private static final long SECOND_MICROS = 1_000_000;

    private final List<String> lines = new ArrayList<>();
    private long nowMicros = 5 * SECOND_MICROS;
    private final RateLimitedLog log = new RateLimitedLog(lines::add, () -> nowMicros);

    private void logTimes(int count) {
        for (int i = 0; i < count; i++) {
            log.log("line " + i);
        }
    }

    @Test
    void linesPerSecondAreLimited() {
        logTimes(RateLimitedLog.MAX_LINES_PER_SECOND + 5);
        assertEquals(20, lines.size());
        assertEquals("line 19", lines.get(19));
    }

    @Test
    void limitResetsEachSecond() {
        logTimes(RateLimitedLog.MAX_LINES_PER_SECOND + 5);
        nowMicros += SECOND_MICROS;
        logTimes(RateLimitedLog.MAX_LINES_PER_SECOND + 5);
        assertEquals(40, lines.size());
    }
}

package loadbalancer.routing.endpoint;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;

/** Tests the counts by key of {@link TrafficCounters}. */
class TrafficCountersTest {
    private static final int MAX_KEYS = 16_384;

    private final TrafficCounters counters = new TrafficCounters();

    /** One client can send ever new names at full speed. */
    @Test
    void everNewKeysAreCountedUpToALimit() {
        counters.recordKey(-1);
        for (int key = 0; key < 10 * MAX_KEYS; key++) {
            counters.recordArrivals(1);
            counters.recordKey(key);
        }
        assertEquals(MAX_KEYS, counters.countedKeys());
        counters.recordKey(-1);
        assertTrue(counters.keyTrafficFraction(-1) > 0, "a known key is still counted");
        assertEquals(0, counters.keyTrafficFraction(10 * MAX_KEYS - 1));
    }
}

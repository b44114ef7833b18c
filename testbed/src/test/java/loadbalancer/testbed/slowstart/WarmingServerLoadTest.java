package loadbalancer.testbed.slowstart;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;

/** Counts in sliding windows, compared with the budget at the current capacity. */
class WarmingServerLoadTest {
    @Test
    void peakWindowIsFoundAnywhere() {
        WarmingServerLoad load = new WarmingServerLoad(3, 3_000_000);
        // At 4 requests per second N is 36 and the bound is 36 + 12 + 2 = 50.
        for (int i = 0; i < 50; i++) {
            load.requestReceived(2_500_000 + i * 20_000, 4);
        }
        assertEquals(50, load.peak().requests());
        assertEquals(36, load.peak().budget(), 1e-9);
        assertEquals(50, load.peak().bound(), 1e-9);
        assertFalse(load.peak().isOverBound());
        // The first request arrived 1 µs less than 3 s ago.
        load.requestReceived(5_499_999, 4);
        assertTrue(load.peak().isOverBound());
    }

    @Test
    void requestsOutsideTheWindowDoNotCount() {
        WarmingServerLoad load = new WarmingServerLoad(3, 3_000_000);
        for (int i = 0; i < 200; i++) {
            load.requestReceived(i * 1_000_000L, 4);
        }
        assertEquals(3, load.peak().requests());
    }

    @Test
    void peakIsTheWindowNearestItsBound() {
        WarmingServerLoad load = new WarmingServerLoad(3, 3_000_000);
        for (int i = 0; i < 8; i++) {
            // N is 4.5 and the bound is 10.7.
            load.requestReceived(i, 0.5);
        }
        for (int i = 0; i < 30; i++) {
            // N is 90 and the bound is 111.
            load.requestReceived(10_000_000 + i, 10);
        }
        assertEquals(8, load.peak().requests());
        assertEquals(7, load.peak().timeMicros());
    }

    @Test
    void usageIsRelativeToTheBudget() {
        WarmingServerLoad load = new WarmingServerLoad(3, 3_000_000);
        for (int i = 0; i < 60; i++) {
            // 10 requests per second of a budget of 15
            load.requestReceived(i * 100_000L, 5);
        }
        assertEquals(2.0 / 3, load.usedBudgetFraction(0, 6_000_000), 1e-9);
        assertEquals(0, load.usedBudgetFraction(7_000_000, 9_000_000));
    }
}

package loadbalancer.testbed.endpointmodel;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;

class SlowStartBudgetTest {
    @Test
    void violationIsReportedOnceAndOnlyIfSendersWereNotified() {
        SlowStartBudget notified = new SlowStartBudget(3, 1_000_000, 40_000);
        SlowStartBudget partlyNotified = new SlowStartBudget(3, 1_000_000, 40_000);
        int violations = 0;
        // 4 s of work within 0.5 s exceeds the budget of 0.9 s and its slack.
        for (int i = 0; i < 100; i++) {
            violations += notified.sent(i * 5_000L, 40_000, 0.3, true) ? 1 : 0;
            violations += partlyNotified.sent(i * 5_000L, 40_000, 0.3, i % 2 == 0) ? 100 : 0;
        }
        assertEquals(1, violations);
        assertTrue(partlyNotified.peakUtilization() > 4);
    }

    @Test
    void workSpreadOverWindowsStaysWithinBudget() {
        SlowStartBudget budget = new SlowStartBudget(3, 1_000_000, 40_000);
        for (int i = 0; i < 100; i++) {
            assertFalse(budget.sent(i * 100_000L, 80_000, 0.3, true));
        }
        assertEquals(0.88 / 0.9, budget.peakUtilization(), 0.01);
    }

    /** N + 3 √N + 3 requests are within the limit, and one more violates it. */
    @Test
    void budgetAllowsForRandomVariation() {
        // The budget of 1 s of work corresponds to 25 requests of 40 ms.
        int allowedRequests = 25;
        SlowStartBudget budget = new SlowStartBudget(2, 1_000_000, 40_000);
        for (int i = 0; i < allowedRequests + 3 * 5 + 3; i++) {
            assertFalse(budget.sent(i, 40_000, 0.5, true), "request " + i);
        }
        assertTrue(budget.sent(100, 40_000, 0.5, true));
    }
}

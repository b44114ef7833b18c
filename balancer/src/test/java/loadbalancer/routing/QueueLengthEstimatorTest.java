package loadbalancer.routing;

import static loadbalancer.routing.RoutingEngineHarness.IDEMPOTENT;
import static loadbalancer.routing.RoutingEngineHarness.withEndpoints;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.Comparator;
import java.util.List;
import loadbalancer.routing.RoutingEngineHarness.SentAttempt;
import loadbalancer.routing.api.AttemptOutcome;
import org.junit.jupiter.api.Test;

/** Tests how load reports of endpoints affect the estimates of their queue lengths. */
class QueueLengthEstimatorTest {
    @Test
    void endpointWithLongReportedQueueIsAvoided() {
        // Without load reports the queues of this balancer are nearly always empty, and ties sent
        // 94% of the requests to half of the endpoints.
        for (double reportedQueue : new double[] {50, Double.NaN, -3, 1e18}) {
            RoutingEngineHarness harness = withEndpoints(11, 4, IDEMPOTENT);
            for (int i = 0; i < 200; i++) {
                SentAttempt attempt = harness.request("r" + i, 0);
                harness.now += 20_000;
                harness.reportedInFlight = attempt.endpointId.equals("s1") ? reportedQueue : 2;
                harness.endAttempt(attempt, AttemptOutcome.OK);
            }
            long recentlySent =
                    harness.sentAttempts.stream()
                            .skip(100)
                            .filter(attempt -> attempt.endpointId.equals("s1"))
                            .count();
            assertTrue(
                    reportedQueue != 50 || recentlySent <= 15,
                    "requests sent to the longest reported queue: " + recentlySent);
        }
    }

    /**
     * Tests an endpoint that wins ties. {@link #endpointWithLongReportedQueueIsAvoided} passes even
     * without load reports if the other endpoints win all ties.
     */
    @Test
    void preferredEndpointWithLongReportedQueueIsAvoided() {
        RoutingEngineHarness harness = withEndpoints(11, 4, IDEMPOTENT);
        for (int i = 0; i < 100; i++) {
            SentAttempt attempt = harness.request("before" + i, 0);
            harness.now += 20_000;
            harness.endAttempt(attempt, AttemptOutcome.OK);
        }
        String preferred =
                List.of("s0", "s1", "s2", "s3").stream()
                        .max(Comparator.comparingLong(id -> harness.countSentTo(id, 0)))
                        .orElseThrow();
        long reportedFrom = harness.now;
        for (int i = 0; i < 100; i++) {
            SentAttempt attempt = harness.request("after" + i, 0);
            harness.now += 20_000;
            harness.reportedInFlight = attempt.endpointId.equals(preferred) ? 50 : 2;
            harness.endAttempt(attempt, AttemptOutcome.OK);
        }
        long sentToPreferred = harness.countSentTo(preferred, reportedFrom);
        assertTrue(
                sentToPreferred <= 15,
                "requests sent to the longest reported queue: " + sentToPreferred);
    }
}

package loadbalancer.routing;

import static loadbalancer.routing.RoutingEngineHarness.IDEMPOTENT;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import loadbalancer.routing.api.DiscoveryMode;
import loadbalancer.routing.api.EndpointListKind;
import org.junit.jupiter.api.Test;

/** Tests when discovery is called again after it failed or did not respond. */
class DiscoveryRetryTest {
    /**
     * Tests that the backoff is bounded. The balancer must know a change 6 s after discovery is
     * reachable again, after any number of failed calls.
     */
    @Test
    void repeatedDiscoveryFailureIsRetriedInTime() {
        RoutingEngineHarness harness =
                new RoutingEngineHarness(
                                RoutingEngineHarness.settings(
                                        2, true, DiscoveryMode.POLL, List.of(), IDEMPOTENT),
                                3)
                        .updateEndpoints(
                                EndpointListKind.CACHED, RoutingEngineHarness.endpoints(2));
        for (int i = 0; i < 200; i++) {
            harness.updateEndpoints(EndpointListKind.FAILED, List.of());
            int watchesBefore = harness.watchCount;
            long failedAt = harness.now;
            while (harness.watchCount == watchesBefore) {
                harness.advanceTime(10_000);
            }
            assertTrue(
                    harness.now - failedAt <= 1_510_000,
                    "after " + (harness.now - failedAt) + " us");
        }
        int watchesBefore = harness.watchCount;
        // Discovery does not respond, and no failure of the call is reported
        harness.advanceTime(4_700_000);
        assertEquals(watchesBefore + 1, harness.watchCount);
    }

    @Test
    void discoveryIsRetriedWithBackoff() {
        RoutingEngineHarness harness =
                new RoutingEngineHarness(
                                RoutingEngineHarness.settings(
                                        2, true, DiscoveryMode.POLL, List.of(), IDEMPOTENT),
                                3)
                        .updateEndpoints(
                                EndpointListKind.CACHED, RoutingEngineHarness.endpoints(2));
        assertEquals(1, harness.watchCount);
        // Discovery does not respond: it is called again within its poll deadline
        harness.advanceTime(7_000_000);
        assertEquals(2, harness.watchCount);
        for (int i = 0; i < 20; i++) {
            // Discovery fails for 20 s in total
            harness.updateEndpoints(EndpointListKind.FAILED, List.of());
            harness.advanceTime(1_000_000);
        }
        assertTrue(
                harness.watchCount >= 5 && harness.watchCount <= 16,
                "discovery called " + harness.watchCount + " times in 27 s");
        int watchesBefore = harness.watchCount;
        harness.updateEndpoints(EndpointListKind.DELTA, List.of());
        harness.advanceTime(60_000_000);
        assertEquals(watchesBefore, harness.watchCount, "a subscription is not repeated");
        RoutingEngineHarness empty =
                new RoutingEngineHarness(RoutingEngineHarness.settings(IDEMPOTENT), 3);
        assertNull(empty.updateEndpoints(EndpointListKind.CACHED, List.of()).request("r", 0));
    }
}

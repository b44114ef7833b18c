package loadbalancer.routing.endpoint;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import java.util.Set;
import loadbalancer.routing.RoutingEngineHarness;
import loadbalancer.routing.api.AttemptOutcome;
import loadbalancer.routing.api.DeduplicationScope;
import loadbalancer.routing.api.EndpointListKind;
import loadbalancer.routing.api.Idempotency;
import loadbalancer.routing.api.RequestClass;
import org.junit.jupiter.api.Test;

/** Tests {@link ClassEjection} with endpoints that fail one request class and serve the other. */
class ClassEjectionTest {
    private static final int FAILING_CLASS = 1;
    private static final RequestClass NON_IDEMPOTENT =
            RoutingEngineHarness.requestClass(Idempotency.NON_IDEMPOTENT, DeduplicationScope.ALL);

    private final RoutingEngineHarness harness =
            new RoutingEngineHarness(
                            RoutingEngineHarness.settings(NON_IDEMPOTENT, NON_IDEMPOTENT), 7)
                    .updateEndpoints(EndpointListKind.CACHED, RoutingEngineHarness.endpoints(8));
    private int requestCount;

    // Sends requests of both classes alternately, at 100 requests/s. At the failing endpoints, two
    // thirds of the requests of the failing class fail.
    private void serveRequests(int requests, Set<String> failingEndpoints) {
        for (int i = 0; i < requests; i++) {
            RoutingEngineHarness.SentAttempt attempt =
                    harness.request("r" + requestCount, requestCount % 2);
            requestCount++;
            harness.advanceTime(10_000);
            boolean fails =
                    failingEndpoints.contains(attempt.endpointId)
                            && attempt.requestId.matches("r\\d*[13579]")
                            && i % 6 != 1;
            harness.endAttempt(attempt, fails ? AttemptOutcome.ERROR : AttemptOutcome.OK);
        }
    }

    private long countSent(Set<String> endpoints, int classIndex) {
        return harness.sentAttempts.stream()
                .filter(
                        attempt ->
                                endpoints.contains(attempt.endpointId)
                                        && Integer.parseInt(attempt.requestId.substring(1)) % 2
                                                == classIndex)
                .count();
    }

    @Test
    void endpointIsEjectedOnlyForItsFailingClass() {
        Set<String> failingEndpoints = Set.of("s0", "s1", "s2");
        // Ten seconds of successes.
        serveRequests(1000, Set.of());
        harness.sentAttempts.clear();
        serveRequests(1000, failingEndpoints);
        long failingClassCount = countSent(failingEndpoints, FAILING_CLASS);
        assertTrue(
                failingClassCount < 60,
                failingClassCount + " of 500 requests sent to endpoints that fail them");
        long otherClassCount = countSent(failingEndpoints, 0);
        assertTrue(
                otherClassCount > 100,
                otherClassCount + " of 500 requests sent to endpoints that serve them");
        harness.advanceTime(20_000_000);
        harness.sentAttempts.clear();
        serveRequests(1000, Set.of());
        long recoveredClassCount = countSent(failingEndpoints, FAILING_CLASS);
        assertTrue(
                recoveredClassCount > 100,
                recoveredClassCount + " of 500 requests sent to endpoints that serve them again");
    }

    /** If a class fails at most endpoints, the class itself is more likely at fault. */
    @Test
    void classFailingOnMostEndpointsEjectsNone() {
        Set<String> failingEndpoints = Set.of("s0", "s1", "s2", "s3", "s4", "s5");
        serveRequests(1000, Set.of());
        harness.sentAttempts.clear();
        serveRequests(1000, failingEndpoints);
        List<String> rejected =
                harness.finalResponses.entrySet().stream()
                        .filter(entry -> entry.getValue().equals("refused"))
                        .map(entry -> entry.getKey())
                        .toList();
        assertEquals(List.of(), rejected);
        assertEquals(1000, harness.sentAttempts.size());
    }
}

package loadbalancer.routing.endpoint;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertSame;
import static org.junit.jupiter.api.Assertions.assertTrue;

import loadbalancer.routing.api.Idempotency;
import loadbalancer.routing.api.LoadReport;
import org.junit.jupiter.api.Test;

/** Tests {@link EndpointState} and the counts that {@link Attempt} updates in it. */
class EndpointStateTest {
    private static final long NOW = 10_000_000;

    private final EndpointState endpoint = EndpointFixtures.endpoint("s0", 0);

    private Attempt sentAttempt(String requestId) {
        PendingRequest request = EndpointFixtures.request(requestId, Idempotency.IDEMPOTENT, NOW);
        Attempt attempt = new Attempt(endpoint, request, NOW);
        attempt.recordStart(2);
        return attempt;
    }

    private static LoadReport loadReport(double inFlight) {
        return new LoadReport(inFlight, Double.NaN, Double.NaN, Double.NaN, Double.NaN, Double.NaN);
    }

    @Test
    void attemptCountsAtEndpointAndRequest() {
        Attempt attempt = sentAttempt("r");
        assertEquals(1, endpoint.inFlight());
        assertEquals(2, endpoint.accomplishment());
        assertEquals(-1, endpoint.slowStartTokens());
        assertEquals(1, attempt.request().attemptsInFlight());
        assertTrue(attempt.request().wasSentTo(endpoint));
        attempt.recordEnd(false);
        assertEquals(0, endpoint.inFlight());
        assertEquals(2, endpoint.accomplishment());
        assertEquals(0, attempt.request().attemptsInFlight());
        assertNull(attempt.request().firstAttemptThatMayHaveRun());
    }

    @Test
    void oldestInFlightSkipsEndedAttempts() {
        Attempt first = sentAttempt("r1");
        Attempt second = sentAttempt("r2");
        Attempt third = sentAttempt("r3");
        assertSame(first, endpoint.oldestInFlight());
        second.recordEnd(true);
        assertSame(first, endpoint.oldestInFlight());
        first.recordEnd(true);
        assertSame(third, endpoint.oldestInFlight());
        third.recordEnd(true);
        assertNull(endpoint.oldestInFlight());
    }

    /** A long upload may stay in flight for minutes, while thousands of others come and go. */
    @Test
    void endedAttemptsAreNotRetainedBehindOneInFlight() {
        Attempt upload = sentAttempt("upload");
        for (int i = 0; i < 1_000; i++) {
            sentAttempt("r" + i).recordEnd(true);
        }
        assertSame(upload, endpoint.oldestInFlight());
        assertEquals(1, endpoint.retainedAttempts());
    }

    @Test
    void penaltyOccupiesSlotUntilItExpires() {
        endpoint.addPenalty(NOW + 100);
        endpoint.addPenalty(NOW + 200);
        assertEquals(2, endpoint.penaltySlots(NOW));
        assertEquals(1, endpoint.penaltySlots(NOW + 100));
        assertEquals(0, endpoint.penaltySlots(NOW + 200));
    }

    @Test
    void failureNeverMakesAccomplishmentNegative() {
        sentAttempt("r");
        endpoint.recordFailure(0.5, 1, NOW);
        assertEquals(1, endpoint.accomplishment());
        assertEquals(0.5, endpoint.decayedFailures());
        endpoint.recordFailure(1, 4, NOW);
        assertEquals(0, endpoint.accomplishment());
        assertEquals(4.5, endpoint.decayedFailures());
    }

    @Test
    void successesInHalfOpenStateEndIt() {
        endpoint.recordFailure(1, 1, NOW);
        endpoint.eject(NOW + 1_000_000, true);
        assertTrue(endpoint.isEjected(NOW + 999_999));
        assertFalse(endpoint.isEjected(NOW + 1_000_000));
        assertEquals(1, endpoint.consecutiveEjections());
        for (int i = 1; i < EjectionBackoff.SUCCESSES_TO_RECOVER; i++) {
            assertFalse(endpoint.advanceRecovery());
            assertTrue(endpoint.isHalfOpen());
        }
        assertTrue(endpoint.advanceRecovery());
        assertFalse(endpoint.isHalfOpen());
        assertEquals(0, endpoint.consecutiveEjections());
        assertEquals(0, endpoint.decayedFailures());
        assertFalse(endpoint.advanceRecovery());
    }

    @Test
    void ejectionWithoutBackoffDoesNotLengthenNextOne() {
        endpoint.eject(NOW + 1_000_000, false);
        assertTrue(endpoint.isHalfOpen());
        assertEquals(0, endpoint.consecutiveEjections());
    }

    @Test
    void connectResultReplacesReportOfUnreachability() {
        endpoint.onReportedUnreachable(2, NOW + 1_000_000);
        assertTrue(endpoint.isReportedUnreachable());
        assertTrue(endpoint.isEjected(NOW) && endpoint.isHalfOpen());
        assertEquals(2, endpoint.consecutiveConnectFailures());
        endpoint.onConnectFailed();
        assertFalse(endpoint.isReportedUnreachable());
        assertEquals(3, endpoint.consecutiveConnectFailures());
        endpoint.onConnected();
        assertEquals(0, endpoint.consecutiveConnectFailures());
    }

    @Test
    void successResetsConsecutiveRejections() {
        endpoint.onRejected(NOW + 100);
        endpoint.onRejected(NOW + 200);
        assertEquals(2, endpoint.consecutiveRejections());
        assertTrue(endpoint.isInRejectionBackoff(NOW + 199));
        assertFalse(endpoint.isInRejectionBackoff(NOW + 200));
        endpoint.advanceRecovery();
        assertEquals(0, endpoint.consecutiveRejections());
    }

    @Test
    void implausibleLoadReportsAreIgnored() {
        endpoint.recordLoadReport(loadReport(3), NOW);
        endpoint.recordLoadReport(null, NOW + 1);
        endpoint.recordLoadReport(loadReport(-1), NOW + 1);
        endpoint.recordLoadReport(loadReport(1e6), NOW + 1);
        assertEquals(3, endpoint.reportedInFlight());
        assertEquals(NOW, endpoint.reportedAtMicros());
    }

    @Test
    void latencyRatioDecaysTowardsOne() {
        endpoint.recordLatencyRatio(100, NOW);
        // A sample is limited to 4 times the usual latency and has a weight of one quarter.
        assertEquals(1.75, endpoint.latencyRatio(NOW), 1e-9);
        assertEquals(1 + 0.75 / Math.E, endpoint.latencyRatio(NOW + 10_000_000), 1e-9);
    }
}

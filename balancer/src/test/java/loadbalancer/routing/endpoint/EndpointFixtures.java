package loadbalancer.routing.endpoint;

import loadbalancer.routing.RoutingEngineHarness;
import loadbalancer.routing.api.DeduplicationScope;
import loadbalancer.routing.api.Endpoint;
import loadbalancer.routing.api.EndpointStatus;
import loadbalancer.routing.api.Idempotency;

/** Creates endpoints and requests for tests that need no routing engine. */
public final class EndpointFixtures {
    /** Time from the arrival of a request to its deadline. */
    public static final long REMAINING_MICROS = 1_000_000;

    /** Time from the arrival of a request to the end of its latency objective. */
    public static final long OBJECTIVE_MICROS = 500_000;

    private EndpointFixtures() {}

    /** Creates a warm endpoint for one request class that belongs to no registry. */
    public static EndpointState endpoint(String id, int zone) {
        Endpoint descriptor = new Endpoint(id, EndpointStatus.UP, 0, 1, 0, 0, zone);
        return new EndpointState(descriptor, 0, 1);
    }

    /** Creates a request of class 0 without a key and within its quota. */
    public static PendingRequest request(String id, Idempotency idempotency, long now) {
        return request(id, idempotency, now, now + OBJECTIVE_MICROS, false);
    }

    /** Creates a request of class 0 without a key. */
    public static PendingRequest request(
            String id,
            Idempotency idempotency,
            long now,
            long latencyObjectiveAtMicros,
            boolean overQuota) {
        return new PendingRequest(
                id,
                0,
                RoutingEngineHarness.requestClass(idempotency, DeduplicationScope.ALL),
                0,
                now,
                REMAINING_MICROS,
                latencyObjectiveAtMicros,
                overQuota);
    }

    /** Creates a new request and returns its attempt, which is in flight at the endpoint. */
    static Attempt sentAttempt(EndpointState endpoint, long now) {
        Attempt attempt = new Attempt(endpoint, request("r", Idempotency.IDEMPOTENT, now), now);
        attempt.recordStart(1);
        return attempt;
    }
}

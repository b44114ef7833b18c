package loadbalancer.routing.endpoint;

import loadbalancer.routing.RoutingEngineHarness;
import loadbalancer.routing.api.DeduplicationScope;
import loadbalancer.routing.api.Endpoint;
import loadbalancer.routing.api.EndpointStatus;
import loadbalancer.routing.api.Idempotency;

/** Endpoints and requests for tests that need no routing engine. */
public final class EndpointFixtures {
    /** Time that requests have until their deadline. */
    public static final long REMAINING_MICROS = 1_000_000;

    /** Time that requests have until the end of their latency objective. */
    public static final long OBJECTIVE_MICROS = 500_000;

    private EndpointFixtures() {}

    /** A warm endpoint of one class, in no registry. */
    public static EndpointState endpoint(String id, int zone) {
        Endpoint descriptor = new Endpoint(id, EndpointStatus.UP, 0, 1, 0, 0, zone);
        return new EndpointState(descriptor, 0, 1);
    }

    /** A request of class 0, without a key and within its quota. */
    public static PendingRequest request(String id, Idempotency idempotency, long now) {
        return request(id, idempotency, now, now + OBJECTIVE_MICROS, false);
    }

    /** A request of class 0 without a key. */
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

    /** An attempt of a new request, in flight at the endpoint. */
    static Attempt sentAttempt(EndpointState endpoint, long now) {
        Attempt attempt = new Attempt(endpoint, request("r", Idempotency.IDEMPOTENT, now), now);
        attempt.recordStart(1);
        return attempt;
    }
}

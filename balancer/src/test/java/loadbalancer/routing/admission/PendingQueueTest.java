package loadbalancer.routing.admission;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import loadbalancer.routing.api.Idempotency;
import loadbalancer.routing.endpoint.EndpointFixtures;
import loadbalancer.routing.endpoint.PendingRequest;
import org.junit.jupiter.api.Test;

/** Tests the order of the requests in {@link PendingQueue}. */
class PendingQueueTest {
    private final PendingQueue queue = new PendingQueue(PendingRequest::latencyObjectiveAtMicros);

    private static PendingRequest request(String id, long objectiveAtMicros, boolean overQuota) {
        return EndpointFixtures.request(
                id, Idempotency.IDEMPOTENT, 0, objectiveAtMicros, overQuota);
    }

    private List<String> queuedIds() {
        return queue.toList().stream().map(PendingRequest::id).toList();
    }

    @Test
    void requestsAreOrderedByPriorityThenUrgencyThenArrival() {
        queue.add(request("over quota", 10, true));
        queue.add(request("late", 300, false));
        queue.add(request("soon", 100, false));
        queue.add(request("as soon", 100, false));
        assertEquals(List.of("soon", "as soon", "late", "over quota"), queuedIds());
    }

    @Test
    void requestIsQueuedOnce() {
        PendingRequest request = request("r", 100, false);
        queue.add(request);
        queue.add(request);
        assertEquals(List.of("r"), queuedIds());
        assertTrue(request.isQueued());
        queue.remove(request);
        queue.remove(request);
        assertEquals(List.of(), queuedIds());
        assertFalse(request.isQueued());
    }
}

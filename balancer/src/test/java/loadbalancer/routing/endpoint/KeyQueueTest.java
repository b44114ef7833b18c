package loadbalancer.routing.endpoint;

import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import loadbalancer.routing.api.Idempotency;
import org.junit.jupiter.api.Test;

/** Tests {@link KeyQueue}: the order of requests with the same key. */
class KeyQueueTest {
    private static final long NOW = 10_000_000;

    private final KeyQueue queue = new KeyQueue();

    private PendingRequest queuedRequest(String id) {
        PendingRequest request = EndpointFixtures.request(id, Idempotency.NON_IDEMPOTENT, NOW);
        request.joinKeyQueue(queue);
        return request;
    }

    @Test
    void onlyHeadMayBeSent() {
        PendingRequest first = queuedRequest("r1");
        PendingRequest second = queuedRequest("r2");
        assertTrue(queue.allowsAttempt(first, NOW));
        assertFalse(queue.allowsAttempt(second, NOW));
        first.leaveKeyQueue();
        assertTrue(queue.allowsAttempt(second, NOW));
    }

    @Test
    void cooldownDelaysNextRequestButNotRetries() {
        PendingRequest retried = queuedRequest("r1");
        EndpointState endpoint = EndpointFixtures.endpoint("s0", 0);
        new Attempt(endpoint, retried, NOW).recordStart(1);
        queue.extendCooldown(NOW + 200);
        queue.extendCooldown(NOW + 100);
        assertTrue(queue.allowsAttempt(retried, NOW));
        retried.leaveKeyQueue();
        PendingRequest next = queuedRequest("r2");
        assertFalse(queue.allowsAttempt(next, NOW + 199));
        assertTrue(queue.allowsAttempt(next, NOW + 200));
    }

    @Test
    void emptyQueueIsDisposableAfterCooldown() {
        PendingRequest request = queuedRequest("r");
        assertFalse(queue.isDisposable(NOW));
        request.leaveKeyQueue();
        queue.extendCooldown(NOW + 100);
        assertFalse(queue.isDisposable(NOW + 99));
        assertTrue(queue.isDisposable(NOW + 100));
    }
}

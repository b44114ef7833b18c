package loadbalancer.routing.endpoint;

import java.util.ArrayDeque;

/**
 * Open requests of one idempotency key whose class asks for order: only the head may be sent. After
 * an attempt that may still be running at an endpoint, the next request waits for a cooldown.
 * Confined to the thread of the routing policy.
 */
public final class KeyQueue {
    private final ArrayDeque<PendingRequest> requests = new ArrayDeque<>();
    private long cooldownUntilMicros;

    /** Adds a request behind all others of its key. */
    public void add(PendingRequest request) {
        requests.add(request);
    }

    /** Removes a request that has ended. */
    public void remove(PendingRequest request) {
        requests.remove(request);
    }

    /** Whether a request may be sent: it is the head, and has attempts or no cooldown to await. */
    public boolean allowsAttempt(PendingRequest request, long now) {
        return requests.peekFirst() == request
                && (now >= cooldownUntilMicros || request.hasAttempts());
    }

    /** An attempt may still be running: no other request is sent until then. */
    public void extendCooldown(long untilMicros) {
        cooldownUntilMicros = Math.max(cooldownUntilMicros, untilMicros);
    }

    /** Whether nothing needs the queue any longer: no request, and no cooldown. */
    public boolean isDisposable(long now) {
        return requests.isEmpty() && now >= cooldownUntilMicros;
    }
}

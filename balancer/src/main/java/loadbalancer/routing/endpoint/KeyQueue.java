package loadbalancer.routing.endpoint;

import java.util.ArrayDeque;

/**
 * Queue of the open requests of one idempotency key, for classes that require order. Only the
 * request at the head may be sent. After an attempt that may still be running at an endpoint, the
 * next request waits for a cooldown. Confined to the thread of the routing policy.
 */
public final class KeyQueue {
    private final ArrayDeque<PendingRequest> requests = new ArrayDeque<>();
    private long cooldownUntilMicros;

    /** Adds a request at the end of the queue. */
    public void add(PendingRequest request) {
        requests.add(request);
    }

    /** Removes a request that has ended. */
    public void remove(PendingRequest request) {
        requests.remove(request);
    }

    /**
     * Returns whether a request may be sent: it is at the head, and either it already has attempts
     * or the cooldown is over.
     */
    public boolean allowsAttempt(PendingRequest request, long now) {
        return requests.peekFirst() == request
                && (now >= cooldownUntilMicros || request.hasAttempts());
    }

    /** Extends the cooldown to {@code untilMicros}, since an attempt may still be running. */
    public void extendCooldown(long untilMicros) {
        cooldownUntilMicros = Math.max(cooldownUntilMicros, untilMicros);
    }

    /** Returns whether the queue can be discarded: it is empty and the cooldown is over. */
    public boolean isDisposable(long now) {
        return requests.isEmpty() && now >= cooldownUntilMicros;
    }
}

package loadbalancer.routing;

import java.util.LinkedHashMap;
import java.util.Map;
import loadbalancer.routing.api.AttemptOutcome;
import loadbalancer.routing.endpoint.Attempt;
import loadbalancer.routing.endpoint.KeyQueue;
import loadbalancer.routing.endpoint.PendingRequest;

/**
 * Runs requests with one key, of classes that ask for order, one at a time in their order of
 * arrival. After an attempt that may still run at its endpoint the key has a cooldown before the
 * next request of it is sent.
 *
 * <p>Bound: a queue for each key with an open request or a cooldown. Not thread-safe: belongs to
 * the thread of its {@link RoutingEngine}.
 */
final class KeyOrdering {
    private final long cooldownMicros;
    private final Map<Long, KeyQueue> queuesByKeyHash = new LinkedHashMap<>();

    /**
     * @param cooldownMicros µs for which an attempt without a known end may still run
     */
    KeyOrdering(long cooldownMicros) {
        this.cooldownMicros = cooldownMicros;
    }

    /** Appends a request to the queue of its key, until {@link #remove}. */
    void add(PendingRequest request) {
        request.joinKeyQueue(
                queuesByKeyHash.computeIfAbsent(request.keyHash(), keyHash -> new KeyQueue()));
    }

    /** Removes a request that is over; the next one of its key becomes the first. */
    void remove(PendingRequest request) {
        request.leaveKeyQueue();
    }

    /**
     * Whether a request may be sent as far as order goes: it is not ordered, or it is the first of
     * its key and no attempt of an earlier one may still run. Its own attempts do not delay it.
     */
    static boolean isNext(PendingRequest request, long now) {
        KeyQueue queue = request.keyQueue();
        return queue == null || queue.allowsAttempt(request, now);
    }

    /** Starts the cooldown of a key where an attempt has ended without having been answered. */
    void onAttemptEnded(Attempt attempt, AttemptOutcome outcome, long now) {
        KeyQueue queue = attempt.request().keyQueue();
        boolean answered = outcome == AttemptOutcome.OK || outcome == AttemptOutcome.ERROR;
        if (queue != null && attempt.mayHaveRun() && !answered) {
            queue.extendCooldown(now + cooldownMicros);
        }
    }

    /** Drops the queues of keys that have neither an open request nor a cooldown. */
    void removeIdleKeys(long now) {
        queuesByKeyHash.values().removeIf(queue -> queue.isDisposable(now));
    }
}

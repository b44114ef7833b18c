package loadbalancer.routing;

import java.util.LinkedHashMap;
import java.util.Map;
import loadbalancer.routing.api.AttemptOutcome;
import loadbalancer.routing.endpoint.Attempt;
import loadbalancer.routing.endpoint.KeyQueue;
import loadbalancer.routing.endpoint.PendingRequest;

/**
 * Runs requests of ordered classes that have the same key one at a time, in their order of arrival.
 * After an attempt that may still be running at its endpoint, the key has a cooldown before its
 * next request is sent.
 *
 * <p>There is one queue for each key with an open request or a cooldown. Not thread-safe: used only
 * on the thread of its {@link RoutingEngine}.
 */
final class KeyOrdering {
    private final long cooldownMicros;
    private final Map<Long, KeyQueue> queuesByKeyHash = new LinkedHashMap<>();

    /**
     * Creates an ordering without keys.
     *
     * @param cooldownMicros µs for which an attempt that ended without a response may still be
     *     running at its endpoint
     */
    KeyOrdering(long cooldownMicros) {
        this.cooldownMicros = cooldownMicros;
    }

    /** Appends a request to the queue of its key; {@link #remove} must follow. */
    void add(PendingRequest request) {
        request.joinKeyQueue(
                queuesByKeyHash.computeIfAbsent(request.keyHash(), keyHash -> new KeyQueue()));
    }

    /** Removes a finished request from the queue of its key, if it is in one. */
    void remove(PendingRequest request) {
        request.leaveKeyQueue();
    }

    /**
     * Returns whether ordering allows sending a request: it is not ordered, or it is the first of
     * its key and no attempt of an earlier request may still be running. A request is not delayed
     * by its own attempts.
     */
    static boolean isNext(PendingRequest request, long now) {
        KeyQueue queue = request.keyQueue();
        return queue == null || queue.allowsAttempt(request, now);
    }

    /** Starts the cooldown of a key if an attempt may have run and ended without a response. */
    void onAttemptEnded(Attempt attempt, AttemptOutcome outcome, long now) {
        KeyQueue queue = attempt.request().keyQueue();
        boolean answered = outcome == AttemptOutcome.OK || outcome == AttemptOutcome.ERROR;
        if (queue != null && attempt.mayHaveRun() && !answered) {
            queue.extendCooldown(now + cooldownMicros);
        }
    }

    /** Removes the queues of keys that have neither an open request nor a cooldown. */
    void removeIdleKeys(long now) {
        queuesByKeyHash.values().removeIf(queue -> queue.isDisposable(now));
    }
}

package loadbalancer.routing.admission;

import java.util.ArrayList;
import java.util.List;
import java.util.function.ToLongFunction;
import loadbalancer.routing.endpoint.PendingRequest;

/**
 * Holds the requests that wait for an endpoint: first those of normal priority, then those of low
 * priority, each ordered by the latest time at which they must be sent.
 *
 * <p>Updates {@link PendingRequest#isQueued}, except for removals through {@link #queues}. Confined
 * to the thread of the routing policy.
 */
public final class PendingQueue {
    private final List<PendingRequest> normalPriority = new ArrayList<>();
    private final List<PendingRequest> lowPriority = new ArrayList<>();
    private final List<List<PendingRequest>> queues = List.of(normalPriority, lowPriority);
    private final ToLongFunction<PendingRequest> latestStartMicros;

    /**
     * Creates an empty queue.
     *
     * @param latestStartMicros returns the latest time at which a request must be sent to meet its
     *     latency objective, in µs
     */
    public PendingQueue(ToLongFunction<PendingRequest> latestStartMicros) {
        this.latestStartMicros = latestStartMicros;
    }

    /**
     * Returns the queues in the order in which requests are sent. A caller that removes a request
     * through an iterator must call {@link PendingRequest#onDequeued}.
     */
    public List<List<PendingRequest>> queues() {
        return queues;
    }

    /** Adds a request unless it is already queued. */
    public void add(PendingRequest request) {
        if (request.isQueued()) {
            return;
        }
        request.onQueued();
        List<PendingRequest> queue = queueOf(request);
        int position = queue.size();
        while (position > 0 && isMoreUrgent(request, queue.get(position - 1))) {
            position--;
        }
        queue.add(position, request);
    }

    private boolean isMoreUrgent(PendingRequest request, PendingRequest other) {
        return latestStartMicros.applyAsLong(other) > latestStartMicros.applyAsLong(request);
    }

    /** Removes a request if it is queued. */
    public void remove(PendingRequest request) {
        if (request.isQueued()) {
            request.onDequeued();
            queueOf(request).remove(request);
        }
    }

    private List<PendingRequest> queueOf(PendingRequest request) {
        return request.isLowPriority() ? lowPriority : normalPriority;
    }

    /** Returns a copy of all queued requests in the order in which they are sent. */
    public List<PendingRequest> toList() {
        List<PendingRequest> pending = new ArrayList<>(normalPriority);
        pending.addAll(lowPriority);
        return pending;
    }
}

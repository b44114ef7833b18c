package loadbalancer.routing.admission;

import java.util.ArrayList;
import java.util.List;
import java.util.function.ToLongFunction;
import loadbalancer.routing.endpoint.PendingRequest;

/**
 * Requests that wait for an endpoint: those of normal priority, then those of low priority, each
 * ordered by when they must be sent at the latest. Keeps {@link PendingRequest#isQueued} in step,
 * but for removals through {@link #queues}. Confined to the thread of the routing policy.
 */
public final class PendingQueue {
    private final List<PendingRequest> normalPriority = new ArrayList<>();
    private final List<PendingRequest> lowPriority = new ArrayList<>();
    private final List<List<PendingRequest>> queues = List.of(normalPriority, lowPriority);
    private final ToLongFunction<PendingRequest> latestStartMicros;

    /**
     * An empty queue.
     *
     * @param latestStartMicros when a request must be sent to meet its latency objective
     */
    public PendingQueue(ToLongFunction<PendingRequest> latestStartMicros) {
        this.latestStartMicros = latestStartMicros;
    }

    /**
     * The queues in the order in which requests are to be sent. A caller that removes a request
     * through an iterator has to call {@link PendingRequest#onDequeued}.
     */
    public List<List<PendingRequest>> queues() {
        return queues;
    }

    /** Adds a request, unless it is queued already. */
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

    /** Removes a request, if it is queued. */
    public void remove(PendingRequest request) {
        if (request.isQueued()) {
            request.onDequeued();
            queueOf(request).remove(request);
        }
    }

    private List<PendingRequest> queueOf(PendingRequest request) {
        return request.isLowPriority() ? lowPriority : normalPriority;
    }

    /** A copy of all queued requests, in the order in which they are to be sent. */
    public List<PendingRequest> toList() {
        List<PendingRequest> pending = new ArrayList<>(normalPriority);
        pending.addAll(lowPriority);
        return pending;
    }
}

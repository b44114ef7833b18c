package loadbalancer.routing.admission;

import java.util.ArrayList;
import java.util.List;
import java.util.function.ToLongFunction;
import loadbalancer.routing.endpoint.PendingRequest;

/**
 * Requests that wait for a server: those within their tenant's share, then those over it, each by
 * urgency.
 */
public final class PendingQueue {
    private final List<List<PendingRequest>> queues = List.of(new ArrayList<>(), new ArrayList<>());
    private final ToLongFunction<PendingRequest> latestStartMicros;

    /** {@code latestStartMicros}: when a request must be sent at the latest, µs. */
    public PendingQueue(ToLongFunction<PendingRequest> latestStartMicros) {
        this.latestStartMicros = latestStartMicros;
    }

    /** In the order in which they are to be sent; the caller may remove from them. */
    public List<List<PendingRequest>> queues() {
        return queues;
    }

    public void add(PendingRequest request) {
        if (request.queued) {
            return;
        }
        request.queued = true;
        List<PendingRequest> queue = queues.get(request.lowPriority ? 1 : 0);
        int position = queue.size();
        while (position > 0
                && latestStartMicros.applyAsLong(queue.get(position - 1))
                        > latestStartMicros.applyAsLong(request)) {
            // The most urgent first: short aims ran out in the queue
            position--;
        }
        queue.add(position, request);
    }

    public void remove(PendingRequest request) {
        if (request.queued) {
            request.queued = false;
            queues.get(request.lowPriority ? 1 : 0).remove(request);
        }
    }

    /** All of them, as they are now. */
    public List<PendingRequest> toList() {
        List<PendingRequest> pending = new ArrayList<>(queues.get(0));
        pending.addAll(queues.get(1));
        return pending;
    }
}

package junctionhead;

import java.util.ArrayList;
import java.util.List;
import java.util.function.ToLongFunction;
import junctionhead.Books.Request;

/**
 * Requests that wait for a server: those within their tenant's share, then those over it, each by
 * urgency.
 */
final class Held {
    private final List<List<Request>> queues = List.of(new ArrayList<>(), new ArrayList<>());
    private final ToLongFunction<Request> latestStart;

    /** {@code latestStart}: when a request must be sent at the latest, µs. */
    Held(ToLongFunction<Request> latestStart) {
        this.latestStart = latestStart;
    }

    /** In the order in which they are to be sent; the caller may remove from them. */
    List<List<Request>> queues() {
        return queues;
    }

    void add(Request r) {
        if (r.held) {
            return;
        }
        r.held = true;
        List<Request> queue = queues.get(r.last ? 1 : 0);
        int i = queue.size();
        while (i > 0 && latestStart.applyAsLong(queue.get(i - 1)) > latestStart.applyAsLong(r)) {
            // The most urgent first: short aims ran out in the queue
            i--;
        }
        queue.add(i, r);
    }

    void remove(Request r) {
        if (r.held) {
            r.held = false;
            queues.get(r.last ? 1 : 0).remove(r);
        }
    }

    /** All of them, as they are now. */
    List<Request> all() {
        List<Request> all = new ArrayList<>(queues.get(0));
        all.addAll(queues.get(1));
        return all;
    }
}

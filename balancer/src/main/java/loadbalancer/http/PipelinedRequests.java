package loadbalancer.http;

import java.util.ArrayDeque;
import loadbalancer.util.Exceptions;

/**
 * The requests of one connection that have been received completely and wait for their turn. Owns
 * them until they are taken. Confined to the event loop.
 */
final class PipelinedRequests {
    /** The maximum number of requests behind the one that is being processed. */
    private static final int MAX_REQUESTS = 16;

    private final ArrayDeque<BufferedRequest> requests = new ArrayDeque<>();

    boolean isEmpty() {
        return requests.isEmpty();
    }

    /** Adds a request, which will be the next one. */
    void addFirst(BufferedRequest request) {
        requests.add(request);
    }

    /**
     * Adds a request behind others, or releases it if there are too many.
     *
     * @param firstIsScheduled whether the first one is scheduled, so that it does not count as
     *     pipelined
     * @return whether the request was added
     */
    boolean addOrRelease(BufferedRequest request, boolean firstIsScheduled) {
        int maxWaiting = firstIsScheduled ? MAX_REQUESTS + 1 : MAX_REQUESTS;
        if (requests.size() >= maxWaiting) {
            request.release();
            return false;
        }
        requests.add(request);
        return true;
    }

    /** Takes the next request, which the caller releases; returns null if there is none. */
    BufferedRequest poll() {
        return requests.poll();
    }

    /** Releases all requests, because they will not be processed. */
    void releaseAll() {
        Runnable[] releases =
                requests.stream()
                        .map(request -> (Runnable) request::release)
                        .toArray(Runnable[]::new);
        requests.clear();
        Exceptions.runAll(releases);
    }
}

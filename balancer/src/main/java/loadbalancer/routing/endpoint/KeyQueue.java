package loadbalancer.routing.endpoint;

import java.util.ArrayDeque;

/**
 * Requests with one key of classes that are served in order: only the first of the line is sent.
 */
public final class KeyQueue {
    public final ArrayDeque<PendingRequest> requests = new ArrayDeque<>();
    // Attempts of the last one may still run until then
    public long cooldownUntilMicros;
}

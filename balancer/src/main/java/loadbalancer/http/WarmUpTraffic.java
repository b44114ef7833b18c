package loadbalancer.http;

import loadbalancer.dispatch.Dispatcher;

/**
 * A warm-up in progress: a starting balancer sends requests to itself, so that its code is compiled
 * before clients arrive. Called on the event loop.
 */
public interface WarmUpTraffic {
    /** The path of warm-up requests; client requests are not served there. */
    String REQUEST_PATH = "/-/rehearsal";

    /** The path by which warm-up requests are forwarded to this balancer itself. */
    String UPSTREAM_PATH = "/-/rehearsed";

    /** Returns the dispatcher of the warm-up's requests; client requests use another one. */
    Dispatcher dispatcher();

    /** Returns whether to reject the next forwarded request, so that retries are warmed up too. */
    boolean shouldReject();
}

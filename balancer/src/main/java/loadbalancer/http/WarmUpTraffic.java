package loadbalancer.http;

import loadbalancer.dispatch.Dispatcher;

/**
 * A warm-up that is under way: the requests that a starting balancer sends to itself, so that its
 * code is compiled before clients arrive. Called on the event loop.
 */
public interface WarmUpTraffic {
    /** The path of warm-up requests; no client's request is served there. */
    String REQUEST_PATH = "/-/rehearsal";

    /** The path under which warm-up requests are forwarded to this balancer itself. */
    String UPSTREAM_PATH = "/-/rehearsed";

    /** The dispatcher that serves the warm-up's requests, apart from that of clients' requests. */
    Dispatcher dispatcher();

    /** Whether the next forwarded request gets a rejection, so that retries are warmed up too. */
    boolean shouldReject();
}

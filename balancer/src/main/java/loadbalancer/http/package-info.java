/**
 * The client side of the load balancer: HTTP/1.1 over TCP from accept to response.
 *
 * <p>{@link loadbalancer.http.HttpFrontend} is what other packages use. Below it, by owner: {@code
 * ClientListener} the listening socket and its backlog; {@code ClientConnections} the set of
 * connections, their limit and evictions; {@code ClientConnection} the state of one connection;
 * {@code RequestTimeoutHandler}, {@code RequestFilter} and {@code RequestReader} its inbound
 * handlers; {@code RequestProcessor} what becomes of a request; {@code ResponseWriter} and {@code
 * LingeringClose} how a response is written and a connection ended; {@code ServingState} readiness,
 * draining and stopping.
 *
 * <p>Everything runs on the one event loop of the balancer, except for the methods {@code listen}.
 * The package hands requests to {@code loadbalancer.dispatch}; it must not depend on {@code
 * loadbalancer.routing} beyond its value types, on {@code loadbalancer.upstream} or on {@code
 * loadbalancer.server}.
 */
package loadbalancer.http;

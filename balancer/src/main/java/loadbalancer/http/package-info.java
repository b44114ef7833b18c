/**
 * The client side of the load balancer: HTTP/1.1 over TCP from accept to response.
 *
 * <p>Other packages use {@link loadbalancer.http.HttpFrontend}. {@code ClientListener} owns the
 * listening socket and its backlog. {@code ClientConnections} tracks the connections, their limit
 * and evictions; {@code ClientConnection} holds the state of one connection. {@code
 * RequestTimeoutHandler}, {@code RequestFilter} and {@code RequestReader} are its inbound handlers.
 * {@code RequestProcessor} answers or submits a request. {@code ResponseWriter} writes responses,
 * and {@code LingeringClose} closes connections. {@code ServingState} holds readiness, draining and
 * stopping.
 *
 * <p>Everything runs on the single event loop of the balancer, except for the {@code listen}
 * methods. The package submits requests to {@code loadbalancer.dispatch}. It must not depend on
 * {@code loadbalancer.routing} beyond its value types, on {@code loadbalancer.upstream} or on
 * {@code loadbalancer.server}.
 */
package loadbalancer.http;

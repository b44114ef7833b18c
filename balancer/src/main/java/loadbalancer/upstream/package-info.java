/**
 * Manages the connections to the upstream endpoints, with one request at a time on each connection.
 *
 * <p>{@link loadbalancer.upstream.UpstreamPool} is the entry point: it keeps the endpoint list,
 * takes an idle connection of an endpoint or opens one, and closes idle connections. {@code
 * UpstreamConnection} writes a request and {@code ResponseReader} reads its response. {@link
 * loadbalancer.upstream.UpstreamRequest} is one attempt or health check, from its start to its
 * single outcome, which is reported to an {@link loadbalancer.upstream.UpstreamResponseListener}.
 *
 * <p>All classes are confined to one event loop's thread. The package must not depend on {@code
 * loadbalancer.http}, {@code loadbalancer.dispatch} or {@code loadbalancer.server}, and makes no
 * routing decisions.
 */
package loadbalancer.upstream;

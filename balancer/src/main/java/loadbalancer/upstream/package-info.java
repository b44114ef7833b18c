/**
 * Connections to the upstream endpoints: the pool, and one request at a time on each connection.
 *
 * <p>{@link loadbalancer.upstream.UpstreamPool} is the entry point: it keeps the endpoint list,
 * takes an idle connection of an endpoint or opens one, and closes idle connections. {@code
 * UpstreamConnection} writes a request, {@code ResponseReader} reads its response, and {@link
 * loadbalancer.upstream.UpstreamRequest} is one attempt or health check from hand-over to its
 * single outcome, reported to an {@link loadbalancer.upstream.UpstreamResponseListener}.
 *
 * <p>All of it is confined to one event loop's thread. The package must not depend on {@code
 * loadbalancer.http}, {@code loadbalancer.dispatch} or {@code loadbalancer.server}, and decides
 * nothing about routing.
 */
package loadbalancer.upstream;

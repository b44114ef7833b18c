/**
 * State of the endpoints as one balancer sees them, and of the requests and attempts sent to them.
 *
 * <ul>
 *   <li>{@link loadbalancer.routing.endpoint.EndpointRegistry}: the listed endpoints, with their
 *       {@link loadbalancer.routing.endpoint.HashRing}, totals and order
 *   <li>{@link loadbalancer.routing.endpoint.EndpointState}, {@link
 *       loadbalancer.routing.endpoint.ClassHealth}, {@link
 *       loadbalancer.routing.endpoint.ClassEjection}: load and health of one endpoint, and of one
 *       request class at it; {@link loadbalancer.routing.endpoint.EjectionBackoff}: duration of
 *       ejections of either
 *   <li>{@link loadbalancer.routing.endpoint.PendingRequest}, {@link
 *       loadbalancer.routing.endpoint.Attempt}, {@link loadbalancer.routing.endpoint.KeyQueue}:
 *       open requests, their attempts, and the order of requests with the same key
 *   <li>{@link loadbalancer.routing.endpoint.TrafficCounters}, {@link
 *       loadbalancer.routing.endpoint.LatencyTracker}: rates and usual latencies
 *   <li>{@link loadbalancer.routing.endpoint.DiscoverySubscription}: when discovery is called again
 * </ul>
 *
 * <p>This package does not decide where a request is sent. {@code loadbalancer.routing} and its
 * packages {@code health} and {@code admission} do, and this package must not depend on them. It
 * reads no clock and opens no socket or file: the time is passed in as {@code now}, in µs of one
 * monotonic clock, and all random numbers come from a {@code SplittableRandom} that is passed in.
 * All types are confined to the thread of the routing policy that owns them.
 */
package loadbalancer.routing.endpoint;

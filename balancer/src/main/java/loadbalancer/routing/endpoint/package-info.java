/**
 * State of the endpoints as one balancer sees them, and of the requests and attempts sent to them.
 *
 * <ul>
 *   <li>{@link loadbalancer.routing.endpoint.EndpointRegistry}: the endpoint list, with its {@link
 *       loadbalancer.routing.endpoint.HashRing}, totals and order
 *   <li>{@link loadbalancer.routing.endpoint.EndpointState}, {@link
 *       loadbalancer.routing.endpoint.ClassHealth}, {@link
 *       loadbalancer.routing.endpoint.ClassEjection}: load and health of one endpoint, and of one
 *       class at it; {@link loadbalancer.routing.endpoint.EjectionBackoff}: how long either is
 *       ejected
 *   <li>{@link loadbalancer.routing.endpoint.PendingRequest}, {@link
 *       loadbalancer.routing.endpoint.Attempt}, {@link loadbalancer.routing.endpoint.KeyQueue}:
 *       open requests, their dispatches, and their order by key
 *   <li>{@link loadbalancer.routing.endpoint.TrafficCounters}, {@link
 *       loadbalancer.routing.endpoint.LatencyTracker}: rates and usual latencies
 *   <li>{@link loadbalancer.routing.endpoint.DiscoverySubscription}: when discovery is asked again
 * </ul>
 *
 * <p>Nothing here decides where a request goes; that is for {@code loadbalancer.routing} and its
 * packages {@code health} and {@code admission}, on which this package must not depend. It reads no
 * clock and opens no socket or file: instants come in as {@code now}, in µs of one monotonic clock,
 * and all randomness from a {@code SplittableRandom} that is passed in. All types are confined to
 * the thread of the routing policy that owns them.
 */
package loadbalancer.routing.endpoint;

/**
 * Health of endpoints and zones: decides which of them get no attempts, or fewer.
 *
 * <ul>
 *   <li>{@link loadbalancer.routing.health.OutlierEjection} ejects endpoints that fail, reject,
 *       stall or cannot be connected to. {@code loadbalancer.routing.endpoint.ClassEjection} does
 *       so for a single request class.
 *   <li>{@link loadbalancer.routing.health.SlowStart} limits recently started endpoints.
 *   <li>{@link loadbalancer.routing.health.ZoneFailover} fails over whole zones.
 * </ul>
 *
 * <p>The state of single endpoints is in {@code loadbalancer.routing.endpoint}, on which this
 * package depends; it must not depend on {@code loadbalancer.routing} itself, on {@code admission}
 * or on anything that does I/O. The parameter {@code now} is the current time in µs of one
 * monotonic clock. All types are confined to the thread of the routing policy that owns them.
 */
package loadbalancer.routing.health;

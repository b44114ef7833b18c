/**
 * Decisions by the health of endpoints and zones: which get no attempts, or few.
 *
 * <ul>
 *   <li>{@link loadbalancer.routing.health.OutlierEjection}: endpoints that fail, reject, stall or
 *       cannot be connected to (for one request class: {@code
 *       loadbalancer.routing.endpoint.ClassEjection})
 *   <li>{@link loadbalancer.routing.health.SlowStart}: endpoints that were started recently
 *   <li>{@link loadbalancer.routing.health.ZoneFailover}: zones as a whole
 * </ul>
 *
 * <p>The state of single endpoints is in {@code loadbalancer.routing.endpoint}, on which this
 * package depends; it must not depend on {@code loadbalancer.routing} itself, on {@code admission}
 * or on anything that does I/O. Instants come in as {@code now}, in µs of one monotonic clock. All
 * types are confined to the thread of the routing policy that owns them.
 */
package loadbalancer.routing.health;

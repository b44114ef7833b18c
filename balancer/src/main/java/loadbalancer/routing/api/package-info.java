/**
 * Defines the interface of the routing policy: its events ({@link
 * loadbalancer.routing.api.RoutingPolicy}), the actions that it requests ({@link
 * loadbalancer.routing.api.RoutingActions}), its settings ({@link
 * loadbalancer.routing.api.RoutingSettings}) and the other values that events and actions contain.
 *
 * <p>All values are immutable. Times are in microseconds of the caller's clock. A setting that is
 * out of its range is rejected with {@link loadbalancer.routing.api.InvalidSettingException} when
 * its record is created. The package depends on no other package of the project.
 */
package loadbalancer.routing.api;

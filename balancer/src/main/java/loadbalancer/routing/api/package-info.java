/**
 * The interface of the routing policy: its events ({@link loadbalancer.routing.api.RoutingPolicy}),
 * the actions that it asks for ({@link loadbalancer.routing.api.RoutingActions}), and the values
 * that both carry, above all the settings ({@link loadbalancer.routing.api.RoutingSettings}).
 *
 * <p>All values are immutable. Times are in microseconds of the caller's clock. A setting that
 * cannot be meant is refused with {@link loadbalancer.routing.api.InvalidSettingException} when its
 * record is made. The package depends on no other package of the project.
 */
package loadbalancer.routing.api;

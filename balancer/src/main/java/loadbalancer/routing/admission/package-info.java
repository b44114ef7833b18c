/**
 * Admission control: decides which requests are rejected during an overload, and which wait.
 *
 * <ul>
 *   <li>{@link loadbalancer.routing.admission.LoadShedder} decides which requests are rejected.
 *   <li>{@link loadbalancer.routing.admission.FleetCapacity} bounds the rejected fraction by the
 *       estimated capacity of the available endpoints.
 *   <li>{@link loadbalancer.routing.admission.TenantQuotas} identifies requests over quota.
 *   <li>{@link loadbalancer.routing.admission.PendingQueue} holds requests that wait for an
 *       endpoint.
 * </ul>
 *
 * <p>Depends on {@code loadbalancer.routing.api} and {@code loadbalancer.routing.endpoint}; it must
 * not depend on {@code loadbalancer.routing} itself, on {@code health} or on anything that does
 * I/O. The parameter {@code now} is the current time in µs of one monotonic clock. All types are
 * confined to the thread of the routing policy that owns them.
 */
package loadbalancer.routing.admission;

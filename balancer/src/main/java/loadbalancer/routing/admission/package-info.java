/**
 * Admission of requests: which are rejected in an overload, and which wait.
 *
 * <ul>
 *   <li>{@link loadbalancer.routing.admission.LoadShedder}: which part of the arrivals is rejected
 *   <li>{@link loadbalancer.routing.admission.FleetCapacity}: what the endpoints in use can carry,
 *       which bounds that part
 *   <li>{@link loadbalancer.routing.admission.TenantQuotas}: which requests exceed a quota
 *   <li>{@link loadbalancer.routing.admission.PendingQueue}: requests that wait for an endpoint
 * </ul>
 *
 * <p>Depends on {@code loadbalancer.routing.api} and {@code loadbalancer.routing.endpoint}; it must
 * not depend on {@code loadbalancer.routing} itself, on {@code health} or on anything that does
 * I/O. Instants come in as {@code now}, in µs of one monotonic clock. All types are confined to the
 * thread of the routing policy that owns them.
 */
package loadbalancer.routing.admission;

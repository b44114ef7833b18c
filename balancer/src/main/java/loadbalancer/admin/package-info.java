/**
 * What operators see of a running balancer: the administration interface ({@link
 * loadbalancer.admin.AdminServer}, which calls {@link loadbalancer.admin.AdminOperations}), the
 * counters and gauges that it shows ({@link loadbalancer.admin.Metrics}, {@link
 * loadbalancer.admin.MetricsSnapshot}), and the rate-limited log of events of single requests
 * ({@link loadbalancer.admin.EventLog}).
 *
 * <p>{@code AdminServer} has a thread of its own and reads published snapshots only; {@code
 * Metrics} and {@code EventLog} belong to the balancer's event loop. The package must not depend on
 * any other package of the balancer.
 */
package loadbalancer.admin;

/**
 * The operators' view of a running balancer: the administration interface ({@link
 * loadbalancer.admin.AdminServer}, which calls {@link loadbalancer.admin.AdminOperations}), the
 * counters and gauges that it shows ({@link loadbalancer.admin.Metrics}, {@link
 * loadbalancer.admin.MetricsSnapshot}), and the rate-limited log of events of single requests
 * ({@link loadbalancer.admin.EventLog}).
 *
 * <p>{@code AdminServer} has its own thread and reads only published snapshots; {@code Metrics} and
 * {@code EventLog} are confined to the balancer's event loop. The package must not depend on any
 * other package of the balancer.
 */
package loadbalancer.admin;

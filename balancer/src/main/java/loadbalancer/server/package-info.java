/**
 * The balancer as a whole: wiring, start, warm-up, readiness, configuration reload and graceful
 * shutdown.
 *
 * <p>{@link loadbalancer.server.BalancerProcess} is the process with its signals and exit code,
 * {@link loadbalancer.server.BalancerServer} is the balancer within it, {@code WarmUp} sends
 * requests to the balancer itself before it serves clients, and {@code ConfigReloader} and {@code
 * ReloadSignal} handle SIGHUP.
 *
 * <p>{@code BalancerServer} owns the event loop, on which nearly everything runs. Signal handlers,
 * the administration endpoint and the starting thread hand their work to it. This package may use
 * all others; only {@code loadbalancer.Main} uses it.
 */
package loadbalancer.server;

/**
 * One balancer as a whole: wiring, start, warm-up, readiness, reload of the configuration and
 * graceful shutdown.
 *
 * <p>{@link loadbalancer.server.BalancerProcess} is the process with its signals and exit code,
 * {@link loadbalancer.server.BalancerServer} the balancer within it, {@code WarmUp} the requests
 * that it sends to itself before clients come, {@code ConfigReloader} and {@code ReloadSignal} what
 * SIGHUP does.
 *
 * <p>{@code BalancerServer} owns the event loop, on which nearly everything runs; signals, the
 * administration endpoint and the starting thread hand their work to it. This package may use all
 * others; only {@code loadbalancer.Main} uses it.
 */
package loadbalancer.server;

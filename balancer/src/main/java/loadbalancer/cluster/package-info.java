/**
 * What the balancers of one tier share over the network: the transport of datagrams between them,
 * the drivers of membership and leases, and the audit log of the cluster.
 *
 * <p>{@link loadbalancer.cluster.PeerTransport} sends and receives datagrams of all protocols.
 * {@link loadbalancer.cluster.ClusterCoordinator} passes those of membership and leases to the
 * drivers, which give the state machines in {@code membership} and {@code lease} time, a socket, a
 * disk and a log. {@link loadbalancer.cluster.ClusterAuditLog} is the one task that a lease
 * protects.
 *
 * <p>All classes belong to the event loop that they are made for, except where a method says that
 * it runs on the thread of {@link loadbalancer.recovery.RecoveryStore}. A part that settings switch
 * off is an empty {@link java.util.Optional}; null marks only a timer or a channel that is not
 * open, in a private field that says so. The package must not depend on {@code routing}, {@code
 * http}, {@code upstream} or {@code dispatch}; no client request waits for it.
 */
package loadbalancer.cluster;

/**
 * Communication between the balancers of one tier: the datagram transport, the drivers of
 * membership and leases, and the audit log of the cluster.
 *
 * <p>{@link loadbalancer.cluster.PeerTransport} sends and receives the datagrams of all protocols.
 * {@link loadbalancer.cluster.ClusterCoordinator} passes the datagrams of membership and leases to
 * the drivers, which connect the state machines in {@code membership} and {@code lease} to the
 * clock, the socket, the disk and the log. {@link loadbalancer.cluster.ClusterAuditLog} is the only
 * task that a lease protects.
 *
 * <p>Each object is confined to the event loop that it is created with, except where a method says
 * that it runs on the disk thread of {@link loadbalancer.recovery.RecoveryStore}. A component that
 * settings disable is an empty {@link java.util.Optional}; null is used only for a timer or a
 * channel that is not open, in a private field with a comment that says so. The package must not
 * depend on {@code routing}, {@code http}, {@code upstream} or {@code dispatch}. No client request
 * waits for it.
 */
package loadbalancer.cluster;

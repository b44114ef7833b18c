/**
 * Leases: which one balancer may act for a slot of keys, by grants of a majority of configured
 * voters with epochs that never go back.
 *
 * <p>{@link loadbalancer.lease.LeaseManager} is the state machine of one member; time, messages and
 * the view of membership go in, {@link loadbalancer.lease.LeaseManager.Action actions} come out.
 * {@link loadbalancer.lease.LeaseMessage} is the datagram, {@link loadbalancer.lease.VoterPromise}
 * what a voter persists, {@link loadbalancer.lease.FencingGuard} the check of epochs for those who
 * act on a holder's messages.
 *
 * <p>All classes belong to one thread, the caller's event loop. The package depends on no socket,
 * disk, clock or Netty class and on no other package but {@code util}; {@code cluster.LeaseDriver}
 * supplies them. No client request waits for a lease.
 *
 * <p>Results that may be missing are {@link java.util.Optional}. Null occurs in private fields
 * only, each with a comment that says what it stands for: a candidacy, a lease or a write not under
 * way.
 */
package loadbalancer.lease;

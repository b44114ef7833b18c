/**
 * Leases, which decide the one balancer that may act for a slot of keys. A lease is granted by a
 * majority of configured voters, under epochs that never decrease.
 *
 * <p>{@link loadbalancer.lease.LeaseManager} is the state machine of one member. Its inputs are the
 * time, messages and the view of membership; its outputs are {@link
 * loadbalancer.lease.LeaseManager.Action actions}. {@link loadbalancer.lease.LeaseMessage} is the
 * datagram, {@link loadbalancer.lease.VoterPromise} is the state that a voter persists, and {@link
 * loadbalancer.lease.FencingGuard} checks the epochs of a holder's messages for their receivers.
 *
 * <p>All mutable objects belong to one thread, the caller's event loop. The package uses no socket,
 * disk, clock or Netty class, and no other package except {@code util}; {@code cluster.LeaseDriver}
 * supplies messages, storage and time. No client request waits for a lease.
 *
 * <p>Results that may be missing are {@link java.util.Optional}. Null occurs only in private
 * fields, each with a comment that says what it means: no pending request, no lease held, no
 * pending grant or no write in progress.
 */
package loadbalancer.lease;

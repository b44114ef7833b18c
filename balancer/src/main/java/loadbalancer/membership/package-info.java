/**
 * Membership, which determines the configured balancers that are present, by the SWIM protocol.
 *
 * <p>{@link loadbalancer.membership.Membership} is the state machine of one member. Its inputs are
 * the time and messages; its outputs are {@link loadbalancer.membership.Membership.Action actions}.
 * It uses {@link loadbalancer.membership.FailureDetector} (probes and suspicion), {@link
 * loadbalancer.membership.MemberTable} (what is known of each member) and {@link
 * loadbalancer.membership.UpdateDissemination} (selection of the updates for each message). {@link
 * loadbalancer.membership.MembershipMessage} is the datagram, and {@link
 * loadbalancer.membership.MembershipView} is the result for other packages.
 *
 * <p>All mutable objects belong to one thread, the caller's event loop; messages, updates and views
 * are immutable. The package uses no socket, clock or Netty class and no other package; {@code
 * cluster.MembershipDriver} supplies messages and time. No client request waits for membership.
 */
package loadbalancer.membership;

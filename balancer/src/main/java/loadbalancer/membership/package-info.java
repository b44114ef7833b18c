/**
 * Membership: which of the configured balancers are present, by the SWIM protocol.
 *
 * <p>{@link loadbalancer.membership.Membership} is the state machine of one member; time and
 * messages go in, {@link loadbalancer.membership.Membership.Action actions} come out. It joins
 * {@link loadbalancer.membership.FailureDetector} (probes and suspicion), {@link
 * loadbalancer.membership.MemberTable} (what is known of each member) and {@link
 * loadbalancer.membership.UpdateDissemination} (which update goes into which message). {@link
 * loadbalancer.membership.MembershipMessage} is the datagram, {@link
 * loadbalancer.membership.MembershipView} what other packages see.
 *
 * <p>All classes belong to one thread, the caller's event loop; messages, updates and views are
 * immutable. The package depends on no socket, clock or Netty class and on no other package; {@code
 * cluster.MembershipDriver} supplies them. No client request waits for it.
 */
package loadbalancer.membership;

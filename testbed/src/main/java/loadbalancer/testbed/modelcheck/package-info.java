/**
 * Model checkers for the protocols between balancers. Each runs the production state machines of a
 * few balancers ({@link loadbalancer.membership.Membership}, {@link
 * loadbalancer.lease.LeaseManager}, {@link loadbalancer.routing.gossip.FleetLoadAggregator}) with
 * reordered, lost and duplicated messages, crashes and pauses. It checks invariants in every state
 * and convergence from some of the states. {@link loadbalancer.testbed.modelcheck.StateSpaceSearch}
 * visits the states; a model supplies their successors and the checks. Tests inject bugs into the
 * models to show that the checks detect them.
 *
 * <p>A check is determined by its seed, runs on one thread and uses neither sockets nor real time.
 * The package must not depend on {@code emulation}, {@code process} or {@code simulation}.
 */
package loadbalancer.testbed.modelcheck;

/**
 * Model checkers for the protocols between balancers. Each runs the production state machines of a
 * few balancers ({@link loadbalancer.membership.Membership}, {@link
 * loadbalancer.lease.LeaseManager}, {@link loadbalancer.routing.gossip.FleetLoadAggregator})
 * through messages in any order, losses, duplicates, crashes and pauses, and checks an invariant in
 * every state and convergence from a part of them. {@link
 * loadbalancer.testbed.modelcheck.StateSpaceSearch} visits the states; a model supplies their
 * successors and checks. Bugs that can be injected show that each check finds what it is for.
 *
 * <p>Deterministic by the seed, single-threaded, without sockets or real time: nothing here may
 * depend on {@code emulation}, {@code process} or {@code simulation}.
 */
package loadbalancer.testbed.modelcheck;

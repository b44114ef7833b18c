/**
 * Emulated parties with real sockets on loopback, which real balancer processes talk to: clients
 * and their front end, upstreams, discovery and the network between balancers. {@link
 * loadbalancer.testbed.emulation.EmulatedEnvironment} builds them and applies faults; {@link
 * loadbalancer.testbed.emulation.Emulation} is their event loop and clock.
 *
 * <p>Everything is confined to the one event loop, so that the order of events does not depend on
 * locks; opening sockets before the run is the exception. Must not depend on {@code process} or
 * {@code simulation}.
 */
package loadbalancer.testbed.emulation;

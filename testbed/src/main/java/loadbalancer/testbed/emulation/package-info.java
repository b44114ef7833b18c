/**
 * Emulated parties with real sockets on loopback, which real balancer processes communicate with:
 * clients and their frontend, upstreams, discovery and the network between balancers. {@link
 * loadbalancer.testbed.emulation.EmulatedEnvironment} builds them and applies faults; {@link
 * loadbalancer.testbed.emulation.Emulation} is their event loop and clock.
 *
 * <p>Everything except opening sockets before the run is confined to one event loop, so that the
 * order of events does not depend on locks. This package must not depend on {@code process} or
 * {@code simulation}.
 */
package loadbalancer.testbed.emulation;

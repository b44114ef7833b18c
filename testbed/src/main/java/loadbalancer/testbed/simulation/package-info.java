/**
 * Simulations in virtual time, each determined by its seed. {@link
 * loadbalancer.testbed.simulation.FleetSimulation} runs a scenario with the routing policies only.
 * {@link loadbalancer.testbed.simulation.MembershipSimulation} and {@link
 * loadbalancer.testbed.simulation.LeaseSimulation} run the protocols between balancers. {@link
 * loadbalancer.testbed.simulation.JsqDasExperiment} runs the experiment of the JSQ-DAS paper.
 *
 * <p>One thread runs each simulation, and {@link
 * loadbalancer.testbed.simulation.VirtualTimeScheduler} orders its events. Every recorded result
 * depends on the order of events and of random draws. The package must not depend on {@code
 * process}, and on {@code emulation} only for the settings of balancers.
 */
package loadbalancer.testbed.simulation;

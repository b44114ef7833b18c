/**
 * Simulations in virtual time, deterministic by their seed: {@link
 * loadbalancer.testbed.simulation.FleetSimulation} plays a scenario with routing policies alone,
 * {@link loadbalancer.testbed.simulation.MembershipSimulation} and {@link
 * loadbalancer.testbed.simulation.LeaseSimulation} the protocols between balancers, {@link
 * loadbalancer.testbed.simulation.JsqDasExperiment} the experiment of the paper. {@link
 * loadbalancer.testbed.simulation.VirtualTimeScheduler} orders all events; single-threaded. The
 * order of events and random draws is part of every recorded result. Must not depend on {@code
 * process}; of {@code emulation} only on the settings that balancers get.
 */
package loadbalancer.testbed.simulation;

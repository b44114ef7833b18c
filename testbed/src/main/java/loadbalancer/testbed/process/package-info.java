/**
 * Real balancer processes: {@link loadbalancer.testbed.process.ProcessFleet} starts, signals and
 * restarts them, {@link loadbalancer.testbed.process.ProcessSpawner} ensures that none outlives the
 * testbed, and {@link loadbalancer.testbed.process.ScenarioRunner} runs a scenario with them
 * against an {@code emulation}. The fleet has one thread of its own; invariants are notified on the
 * emulation's event loop. Must not depend on {@code simulation}.
 */
package loadbalancer.testbed.process;

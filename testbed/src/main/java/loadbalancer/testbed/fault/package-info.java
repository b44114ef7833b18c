/**
 * Applies the faults of a {@link loadbalancer.testbed.workload.WorkloadPlan} at their times. {@link
 * loadbalancer.testbed.fault.FaultInjector} translates each kind of fault into operations of a
 * {@link loadbalancer.testbed.fault.FaultableEnvironment}, which {@code emulation} implements with
 * sockets and {@code simulation} in virtual time. This package must not depend on either.
 * Everything runs on the thread that executes the run.
 */
package loadbalancer.testbed.fault;

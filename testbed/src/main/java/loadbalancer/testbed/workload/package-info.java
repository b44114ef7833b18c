/**
 * The part of a run that is decided before it begins: {@link
 * loadbalancer.testbed.workload.WorkloadPlan} holds its arrivals, upstreams and faults, drawn from
 * {@link loadbalancer.testbed.workload.RandomStreams}. {@link
 * loadbalancer.testbed.workload.RunClock} is the time of a run, real or virtual. The order of
 * random draws is part of every recorded result and must not change. Depends on {@code scenario}
 * only.
 */
package loadbalancer.testbed.workload;

/**
 * The part of a run that is determined before it begins: {@link
 * loadbalancer.testbed.workload.WorkloadPlan} contains its arrivals, upstreams and faults, drawn
 * from {@link loadbalancer.testbed.workload.RandomStreams}. {@link
 * loadbalancer.testbed.workload.RunClock} is the real or virtual clock of a run. Recorded results
 * depend on the order of the random draws, so it must not change. Depends on {@code scenario} only.
 */
package loadbalancer.testbed.workload;

package loadbalancer.testbed.fault;

import loadbalancer.routing.api.EndpointStatus;
import loadbalancer.testbed.workload.WorkloadPlan;

/**
 * What a fault can act on: upstreams, paths, discovery agents and the balancers' processes.
 *
 * @param <U> the environment's upstreams
 */
public interface FaultableEnvironment<U extends FaultableUpstream> {
    /** The upstream of that number in the plan. */
    U upstream(int number);

    /** The discovery agent of that balancer. */
    FaultableDiscoveryAgent discoveryAgent(int balancer);

    /** Ends the upstream's process together with all that is in flight there. */
    void crash(U upstream);

    /** Discovery learns of a change of the upstream; every agent after its own delay. */
    void publish(U upstream, EndpointStatus status);

    /** Adds a fault to, or removes it from, every link that it affects. */
    void applyLinkFault(WorkloadPlan.Fault fault, boolean active);

    /** Connections between the fault's balancers and upstreams are refused, or no longer. */
    void setRefusing(WorkloadPlan.Fault fault, boolean active);

    /** Resets the connections between the fault's balancers and upstreams. */
    void resetConnections(WorkloadPlan.Fault fault);

    /** Ends, or starts again, the processes of the fault's balancers. */
    void setProcessesDown(WorkloadPlan.Fault fault, boolean active);

    /** Stops, or resumes, the processes of the fault's balancers. */
    void setProcessesPaused(WorkloadPlan.Fault fault, boolean active);
}

package loadbalancer.testbed.fault;

import loadbalancer.routing.api.EndpointStatus;
import loadbalancer.testbed.workload.WorkloadPlan;

/**
 * Gives faults access to all that they act on: upstreams, links, discovery agents and the
 * balancers' processes. Called on the thread that executes the run.
 *
 * @param <U> the type of the environment's upstreams
 */
public interface FaultableEnvironment<U extends FaultableUpstream> {
    /** Returns the upstream with a number of the plan. */
    U upstream(int number);

    /** Returns the discovery agent of a balancer. */
    FaultableDiscoveryAgent discoveryAgent(int balancer);

    /** Ends the upstream's process; its requests in flight are lost. */
    void crash(U upstream);

    /** Announces the upstream's new status to every discovery agent, after the agent's delay. */
    void publish(U upstream, EndpointStatus status);

    /** Adds a fault to every link that it affects if {@code active}, otherwise removes it. */
    void applyLinkFault(WorkloadPlan.Fault fault, boolean active);

    /** Starts or ends refusing connections between the fault's balancers and upstreams. */
    void setRefusing(WorkloadPlan.Fault fault, boolean active);

    /** Resets the connections between the fault's balancers and upstreams. */
    void resetConnections(WorkloadPlan.Fault fault);

    /** Ends the processes of the fault's balancers if {@code active}, otherwise restarts them. */
    void setProcessesDown(WorkloadPlan.Fault fault, boolean active);

    /** Suspends the processes of the fault's balancers if {@code active}, else resumes them. */
    void setProcessesPaused(WorkloadPlan.Fault fault, boolean active);
}

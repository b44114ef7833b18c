package loadbalancer.testbed.fault;

import loadbalancer.testbed.endpointmodel.FaultableService;
import loadbalancer.testbed.workload.WorkloadPlan;

/**
 * The operations by which faults change an upstream. Called on the thread that executes the run.
 */
public interface FaultableUpstream {
    /** Returns the plan's description of the upstream. */
    WorkloadPlan.UpstreamSpec spec();

    /** Starts the upstream's process in slow start, without requests in flight. */
    void start();

    /** Returns the service whose processing of requests faults change. */
    FaultableService service();

    /** Starts or ends a fault during which the upstream's machine does not answer at all. */
    void setVanished(boolean vanished);
}

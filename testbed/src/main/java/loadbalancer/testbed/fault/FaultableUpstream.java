package loadbalancer.testbed.fault;

import loadbalancer.testbed.endpointmodel.FaultableService;
import loadbalancer.testbed.workload.WorkloadPlan;

/** An upstream as faults change it. */
public interface FaultableUpstream {
    /** The upstream as the plan has it. */
    WorkloadPlan.UpstreamSpec spec();

    /** Starts its process, in slow start and without requests. */
    void start();

    /** How it serves requests, as faults change it. */
    FaultableService service();

    /** Its machine stops answering at all, or answers again. */
    void setVanished(boolean vanished);
}

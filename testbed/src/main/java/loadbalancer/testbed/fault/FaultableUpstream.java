package loadbalancer.testbed.fault;

import loadbalancer.testbed.workload.WorkloadPlan;

/** An upstream as faults change it. */
public interface FaultableUpstream {
    /** The upstream as the plan has it. */
    WorkloadPlan.UpstreamSpec spec();

    /** Starts its process, in slow start and without requests. */
    void start();

    /** From now on it rejects new requests and finishes those it has. */
    void startDraining();

    /** Its machine stops answering at all, or answers again. */
    void setVanished(boolean vanished);

    /** Multiplies the time that its work takes; 1: normal. */
    void setSlowdownFactor(double factor);

    /** It accepts requests without completing any, or completes them again. */
    void setHanging(boolean hanging);

    /** It fails requests of a class, or of all classes if {@code requestClass} is null. */
    void setFailing(String requestClass, boolean active);
}

package loadbalancer.testbed.fault;

/**
 * The operations by which faults change the discovery agent of one balancer. Several faults may be
 * active at once. Called on the thread that executes the run.
 */
public interface FaultableDiscoveryAgent {
    /** Increases the delay of updates by a number of µs; a negative number reduces it again. */
    void addExtraDelayMicros(long deltaMicros);

    /** Starts or ends a fault during which the list that the agent serves does not change. */
    void setStale(boolean active);

    /** Starts or ends a fault during which the agent does not respond to requests. */
    void setSilent(boolean active);

    /** Starts or ends a fault during which the agent refuses connections. */
    void setRefusing(boolean active);
}

package loadbalancer.testbed.fault;

/** The discovery agent of one balancer as faults change it. Several faults may overlap. */
public interface FaultableDiscoveryAgent {
    /** Adds to the delay of updates in µs; negative: takes back what was added. */
    void addExtraDelayMicros(long deltaMicros);

    /** A fault begins, or one ends, in which the agent serves the list as it was then. */
    void setStale(boolean active);

    /** A fault begins, or one ends, in which the agent responds to nothing. */
    void setSilent(boolean active);

    /** A fault begins, or one ends, in which the agent refuses connections. */
    void setDenied(boolean active);
}

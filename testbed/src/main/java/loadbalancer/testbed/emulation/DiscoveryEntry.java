package loadbalancer.testbed.emulation;

/**
 * A server as discovery lists it: {@code status} in discovery's word, {@code startedAtMs} in Unix
 * time or 0.
 */
public record DiscoveryEntry(int upstreamNumber, String status, long startedAtMs) {
    static final String UP = "in_service";
    static final String DRAINING = "terminating";
    static final String REMOVED = "terminated";

    boolean isUp() {
        return status.equals(UP);
    }
}

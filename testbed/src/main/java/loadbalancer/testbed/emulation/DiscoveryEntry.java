package loadbalancer.testbed.emulation;

import loadbalancer.routing.api.EndpointStatus;

/**
 * An upstream as discovery lists it. Immutable.
 *
 * @param upstreamNumber its number in the plan
 * @param status its status, in discovery's terms
 * @param startedAtMs when it was started, in ms of Unix time, or 0 if that is unknown
 */
public record DiscoveryEntry(int upstreamNumber, String status, long startedAtMs) {
    static final String UP = "in_service";
    static final String DRAINING = "terminating";
    static final String REMOVED = "terminated";

    boolean isUp() {
        return status.equals(UP);
    }

    /**
     * The entry of an upstream whose status changes now, with the present time as that of its start
     * if it comes up.
     */
    static DiscoveryEntry of(int upstreamNumber, EndpointStatus status) {
        return switch (status) {
            case UP -> new DiscoveryEntry(upstreamNumber, UP, System.currentTimeMillis());
            case DRAINING -> new DiscoveryEntry(upstreamNumber, DRAINING, 0);
            default -> new DiscoveryEntry(upstreamNumber, REMOVED, 0);
        };
    }
}

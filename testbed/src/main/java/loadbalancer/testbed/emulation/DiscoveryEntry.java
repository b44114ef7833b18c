package loadbalancer.testbed.emulation;

import loadbalancer.routing.api.EndpointStatus;

/**
 * Represents an upstream in discovery's endpoint list. Immutable.
 *
 * @param upstreamNumber the upstream's number in the plan
 * @param status the upstream's status, in discovery's terms
 * @param startedAtMs when the upstream was started, in ms of Unix time, or 0 if unknown
 */
public record DiscoveryEntry(int upstreamNumber, String status, long startedAtMs) {
    static final String UP = "in_service";
    static final String DRAINING = "terminating";
    static final String REMOVED = "terminated";

    boolean isUp() {
        return status.equals(UP);
    }

    /**
     * Returns the entry of an upstream whose status changes now. The upstream's start time is the
     * current time if its status becomes UP.
     */
    static DiscoveryEntry of(int upstreamNumber, EndpointStatus status) {
        return switch (status) {
            case UP -> new DiscoveryEntry(upstreamNumber, UP, System.currentTimeMillis());
            case DRAINING -> new DiscoveryEntry(upstreamNumber, DRAINING, 0);
            default -> new DiscoveryEntry(upstreamNumber, REMOVED, 0);
        };
    }
}

package loadbalancer.routing.gossip;

/**
 * Thrown if the size of a fleet or of its blocks is outside the range of {@link BlockPartition}.
 */
public final class FleetSizeException extends IllegalArgumentException {
    private static final long serialVersionUID = 1L;

    FleetSizeException(int balancerCount, int maxBalancers) {
        super(
                "unsupported fleet size: "
                        + balancerCount
                        + " balancers, must be 1 to "
                        + maxBalancers);
    }
}

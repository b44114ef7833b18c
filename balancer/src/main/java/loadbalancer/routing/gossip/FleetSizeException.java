package loadbalancer.routing.gossip;

/** The size of a fleet or of its blocks is outside of what {@link BlockPartition} supports. */
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

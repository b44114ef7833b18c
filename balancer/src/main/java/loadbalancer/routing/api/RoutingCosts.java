package loadbalancer.routing.api;

/**
 * What the operators' goal loses by each use of a resource, in points per first attempt; 0: the
 * resource is free.
 *
 * @param crossZone for each attempt that crosses zones
 * @param newConnection for each new connection to an endpoint
 * @param gossip for each 256 bytes that balancers send one another
 */
public record RoutingCosts(double crossZone, double newConnection, double gossip) {
    /**
     * Checks the values.
     *
     * @throws InvalidSettingException if a cost is negative
     */
    public RoutingCosts {
        SettingsValidation.require(crossZone >= 0, "crossZone", crossZone);
        SettingsValidation.require(newConnection >= 0, "handshake", newConnection);
        SettingsValidation.require(gossip >= 0, "peer", gossip);
    }

    /** Costs where messages between balancers are free. */
    public RoutingCosts(double crossZone, double newConnection) {
        this(crossZone, newConnection, 0);
    }
}

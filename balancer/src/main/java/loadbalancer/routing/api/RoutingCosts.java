package loadbalancer.routing.api;

/**
 * Costs of the use of resources, deducted from the operators' objective, in points per first
 * attempt. A resource with cost 0 is free.
 *
 * @param crossZone cost of each attempt that crosses zones
 * @param newConnection cost of each new connection to an endpoint
 * @param gossip cost of each 256 bytes that balancers send to one another
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

    /** Creates costs where messages between balancers are free. */
    public RoutingCosts(double crossZone, double newConnection) {
        this(crossZone, newConnection, 0);
    }
}

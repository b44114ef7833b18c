package loadbalancer.routing.api;

/**
 * Points of the goal for each crossing of zones, for each new connection and for each 256 bytes
 * that balancers hear of one another, per first try; 0: free.
 */
public record RoutingCosts(double crossZone, double newConnection, double gossip) {
    public RoutingCosts {
        SettingsValidation.require(crossZone >= 0, "crossZone", crossZone);
        SettingsValidation.require(newConnection >= 0, "handshake", newConnection);
        SettingsValidation.require(gossip >= 0, "peer", gossip);
    }

    /** Prices where messages between balancers are free. */
    public RoutingCosts(double crossZone, double newConnection) {
        this(crossZone, newConnection, 0);
    }
}

package loadbalancer.routing.api;

/** The way in which a balancer gets the endpoint list. */
public enum DiscoveryMode {
    /** Discovery sends the list and its changes without a request. */
    PUSH,
    /** The balancer requests the list by watch or fetch. */
    POLL
}

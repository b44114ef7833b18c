package loadbalancer.routing.api;

/** How a balancer gets the endpoint list. */
public enum DiscoveryMode {
    /** Discovery sends the list and its changes unasked. */
    PUSH,
    /** The balancer asks for the list, by watch or fetch. */
    POLL
}

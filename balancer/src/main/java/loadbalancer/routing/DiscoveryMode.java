package loadbalancer.routing;

/** How the list of servers is learnt: changes come unasked, or only after watch or fetch. */
public enum DiscoveryMode {
    PUSH,
    POLL
}

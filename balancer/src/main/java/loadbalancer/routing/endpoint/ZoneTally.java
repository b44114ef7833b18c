package loadbalancer.routing.endpoint;

/** What is known of a zone's servers: how many there are, are out, have answered lately. */
public record ZoneTally(int endpoints, int unresponsive, int responding) {
    public ZoneTally {
        if (unresponsive + responding > endpoints) {
            throw new IllegalArgumentException("more than there are");
        }
    }
}

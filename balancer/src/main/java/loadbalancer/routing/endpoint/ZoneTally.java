package loadbalancer.routing.endpoint;

/**
 * Counts of the listed endpoints of one zone by their observed state. Immutable.
 *
 * @param endpoints number of listed endpoints
 * @param unresponsive number of endpoints that do not respond: connects fail or attempts stall
 * @param responding number of endpoints that have responded recently; disjoint from {@code
 *     unresponsive}
 */
public record ZoneTally(int endpoints, int unresponsive, int responding) {
    /**
     * Checks the counts.
     *
     * @throws InvalidZoneTallyException if there are more observed endpoints than listed ones
     */
    public ZoneTally {
        if (unresponsive + responding > endpoints) {
            throw new InvalidZoneTallyException(endpoints, unresponsive, responding);
        }
    }

    /** Returns the number of endpoints that are either unresponsive or responding. */
    public int observed() {
        return unresponsive + responding;
    }
}

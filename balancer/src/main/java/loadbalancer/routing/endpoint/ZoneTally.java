package loadbalancer.routing.endpoint;

/**
 * What is known of the listed endpoints of one zone.
 *
 * @param endpoints number that are listed
 * @param unresponsive number that do not respond: connects fail, or attempts stall
 * @param responding number that have responded recently; disjoint from {@code unresponsive}
 */
public record ZoneTally(int endpoints, int unresponsive, int responding) {
    /**
     * Checks the counts.
     *
     * @throws InvalidZoneTallyException if more endpoints are observed than listed
     */
    public ZoneTally {
        if (unresponsive + responding > endpoints) {
            throw new InvalidZoneTallyException(endpoints, unresponsive, responding);
        }
    }

    /** Endpoints of which anything is known. */
    public int observed() {
        return unresponsive + responding;
    }
}

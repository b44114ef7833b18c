package loadbalancer.routing.endpoint;

/** Thrown if a {@link ZoneTally} would have more observed endpoints than listed ones. */
public final class InvalidZoneTallyException extends IllegalArgumentException {
    private static final long serialVersionUID = 1L;

    InvalidZoneTallyException(int endpoints, int unresponsive, int responding) {
        super(
                "zone tally: "
                        + unresponsive
                        + " unresponsive and "
                        + responding
                        + " responding endpoints exceed the "
                        + endpoints
                        + " that are listed");
    }
}

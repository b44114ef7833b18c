package loadbalancer.routing.endpoint;

/** A {@link ZoneTally} counts more endpoints as observed than as listed. */
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

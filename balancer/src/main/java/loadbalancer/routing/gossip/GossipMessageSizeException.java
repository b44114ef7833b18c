package loadbalancer.routing.gossip;

/** Thrown if a load report has more entries than fit in a datagram. */
public final class GossipMessageSizeException extends IllegalArgumentException {
    private static final long serialVersionUID = 1L;

    GossipMessageSizeException(int inFlightCount, int ejectionCount, int unreachableCount) {
        super(
                "load report does not fit in "
                        + LoadGossipMessage.MAX_BYTES
                        + " bytes: "
                        + inFlightCount
                        + " in-flight entries, "
                        + ejectionCount
                        + " ejections (at most "
                        + LoadGossipMessage.MAX_EJECTION_ENTRIES
                        + "), "
                        + unreachableCount
                        + " unreachable endpoints (at most "
                        + LoadGossipMessage.MAX_UNREACHABLE_CODES
                        + ")");
    }
}

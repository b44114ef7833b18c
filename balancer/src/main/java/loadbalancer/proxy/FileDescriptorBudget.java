package loadbalancer.proxy;

/**
 * Counts the sockets of this process against its limit on descriptors. Guards against accepts and
 * connects that fail for want of descriptors: a reserve stays for what is not counted here (jars,
 * the selectors, discovery, the listener, the operators' door, and what one look at the backlog
 * accepts).
 */
public final class FileDescriptorBudget {
    private static final int RESERVED_DESCRIPTORS = 48;
    // Beyond those that the upstreams have now
    private static final int SPARE_UPSTREAM_DESCRIPTORS = 8;
    private final int totalSockets;
    private int maxSockets;
    private int openSockets;

    /**
     * {@code limitShared}: another process of this balancer may count against the same limit for a
     * while.
     */
    public FileDescriptorBudget(int descriptorLimit, boolean limitShared) {
        this.totalSockets =
                Math.max(
                        2,
                        descriptorLimit
                                - Math.min(
                                        limitShared
                                                ? 2 * RESERVED_DESCRIPTORS
                                                : RESERVED_DESCRIPTORS,
                                        descriptorLimit / 2));
        this.maxSockets = limitShared ? Math.max(2, totalSockets / 2) : totalSockets;
    }

    /** From here on this process has the limit to itself, but for what one that starts needs. */
    public void useFullLimit() {
        maxSockets = totalSockets;
    }

    public void socketOpened() {
        openSockets++;
    }

    public void socketClosed() {
        openSockets--;
    }

    @Override
    public String toString() {
        return openSockets + " of " + maxSockets + " sockets open";
    }

    /**
     * Whether {@code clientConnections} connections of clients leave too few for those to the
     * upstreams.
     */
    public boolean isClientLimitReached(int clientConnections) {
        int reservedForUpstreams =
                Math.max(
                        maxSockets / 3,
                        openSockets
                                - clientConnections
                                + Math.min(SPARE_UPSTREAM_DESCRIPTORS, maxSockets / 2));
        return isExhausted()
                || clientConnections
                        > maxSockets
                                - Math.min(
                                        reservedForUpstreams,
                                        maxSockets - Math.max(1, maxSockets / 3));
    }

    public boolean isExhausted() {
        return openSockets >= maxSockets;
    }
}

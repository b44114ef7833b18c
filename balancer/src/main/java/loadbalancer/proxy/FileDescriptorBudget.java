package loadbalancer.proxy;

/**
 * Counts the sockets of this process against its limit on file descriptors, so that neither an
 * accept nor a connect fails for lack of one. A reserve is left for descriptors that are not
 * counted here: jar files, selectors, discovery, the listener, the administration endpoint, and the
 * connections that one accept loop takes from the backlog. Event loop thread only.
 */
public final class FileDescriptorBudget {
    private static final int RESERVED_DESCRIPTORS = 48;

    /** Left for new upstream connections beyond those that are open. */
    private static final int SPARE_UPSTREAM_DESCRIPTORS = 8;

    private static final int MIN_SOCKETS = 2;

    private final int totalSockets;
    private int maxSockets;
    private int openSockets;

    /**
     * A budget without open sockets.
     *
     * @param limitShared another process of this balancer may count against the same limit until
     *     {@link #useFullLimit}: each of them uses half
     */
    public FileDescriptorBudget(int descriptorLimit, boolean limitShared) {
        int wantedReserve = limitShared ? 2 * RESERVED_DESCRIPTORS : RESERVED_DESCRIPTORS;
        int reserve = Math.min(wantedReserve, descriptorLimit / 2);
        this.totalSockets = Math.max(MIN_SOCKETS, descriptorLimit - reserve);
        this.maxSockets = limitShared ? Math.max(MIN_SOCKETS, totalSockets / 2) : totalSockets;
    }

    /** The other process has ended; its reserve stays for the next one to start. */
    public void useFullLimit() {
        maxSockets = totalSockets;
    }

    /** Counts a socket that is about to be opened. */
    public void socketOpened() {
        openSockets++;
    }

    /** Counts a socket that has been closed, or whose connect has failed. */
    public void socketClosed() {
        openSockets--;
    }

    /** The counts, as the counters line of the log gives them. */
    @Override
    public String toString() {
        return openSockets + " of " + maxSockets + " sockets open";
    }

    /**
     * Whether {@code clientConnections} connections of clients leave too few sockets for upstream
     * connections: a third, or those that are open and some spare ones if that is more. A third is
     * left for clients in any case.
     */
    public boolean isClientLimitReached(int clientConnections) {
        int openUpstreamSockets = openSockets - clientConnections;
        int spareForUpstreams = Math.min(SPARE_UPSTREAM_DESCRIPTORS, maxSockets / 2);
        int reservedForUpstreams =
                Math.max(maxSockets / 3, openUpstreamSockets + spareForUpstreams);
        int minForClients = Math.max(1, maxSockets / 3);
        int maxForClients = maxSockets - Math.min(reservedForUpstreams, maxSockets - minForClients);
        return isExhausted() || clientConnections > maxForClients;
    }

    /** Whether no further socket may be opened. */
    public boolean isExhausted() {
        return openSockets >= maxSockets;
    }
}

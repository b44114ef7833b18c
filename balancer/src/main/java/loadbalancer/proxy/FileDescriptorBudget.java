package loadbalancer.proxy;

/**
 * Counts the sockets of this process against its limit on file descriptors, so that neither an
 * accept nor a connect fails for lack of one. A reserve is kept for descriptors that are not
 * counted here: jar files, selectors, discovery, the listener, the administration endpoint, and the
 * connections that one accept loop takes from the backlog. Confined to the event loop.
 */
public final class FileDescriptorBudget {
    private static final int RESERVED_DESCRIPTORS = 48;

    /** Sockets kept for new upstream connections beyond the open ones. */
    private static final int SPARE_UPSTREAM_DESCRIPTORS = 8;

    private static final int MIN_SOCKETS = 2;

    private final int totalSockets;
    private int maxSockets;
    private int openSockets;

    /**
     * Creates a budget without open sockets.
     *
     * @param descriptorLimit the limit on file descriptors
     * @param limitShared whether another process of this balancer shares the limit until {@link
     *     #useFullLimit}; each of them then uses half
     */
    public FileDescriptorBudget(int descriptorLimit, boolean limitShared) {
        int wantedReserve = limitShared ? 2 * RESERVED_DESCRIPTORS : RESERVED_DESCRIPTORS;
        int reserve = Math.min(wantedReserve, descriptorLimit / 2);
        this.totalSockets = Math.max(MIN_SOCKETS, descriptorLimit - reserve);
        this.maxSockets = limitShared ? Math.max(MIN_SOCKETS, totalSockets / 2) : totalSockets;
    }

    /**
     * Uses the whole limit after the other process has ended; keeps the reserve for the next one.
     */
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

    /** Returns the counts in the format of the log's counters line. */
    @Override
    public String toString() {
        return openSockets + " of " + maxSockets + " sockets open";
    }

    /**
     * Returns whether {@code clientConnections} client connections leave too few sockets for
     * upstream connections: a third of all sockets, or the open upstream connections and some spare
     * sockets if that is more. A third is always left for clients.
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

    /** Returns whether no further socket may be opened. */
    public boolean isExhausted() {
        return openSockets >= maxSockets;
    }
}

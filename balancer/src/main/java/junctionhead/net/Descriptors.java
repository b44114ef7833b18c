package junctionhead.net;

/**
 * Counts the sockets of this process against its limit on descriptors. Guards against accepts and
 * connects that fail for want of descriptors: a reserve stays for what is not counted here (jars,
 * the selectors, discovery, the listener, the operators' door, and what one look at the backlog
 * accepts).
 */
final class Descriptors {
    private static final int RESERVE = 48;
    // Beyond those that the upstreams have now
    private static final int SPARE = 8;
    private final int all;
    private int most;
    private int open;

    /**
     * {@code shared}: another process of this balancer may count against the same limit for a
     * while.
     */
    Descriptors(int limit, boolean shared) {
        this.all = Math.max(2, limit - Math.min(shared ? 2 * RESERVE : RESERVE, limit / 2));
        this.most = shared ? Math.max(2, all / 2) : all;
    }

    /** From here on this process has the limit to itself, but for what one that starts needs. */
    void alone() {
        most = all;
    }

    void opened() {
        open++;
    }

    void closed() {
        open--;
    }

    @Override
    public String toString() {
        return open + " of " + most + " sockets open";
    }

    /** Whether {@code clients} connections of clients leave too few for those to the upstreams. */
    boolean crowded(int clients) {
        int wanted = Math.max(most / 3, open - clients + Math.min(SPARE, most / 2));
        return full() || clients > most - Math.min(wanted, most - Math.max(1, most / 3));
    }

    boolean full() {
        return open >= most;
    }
}

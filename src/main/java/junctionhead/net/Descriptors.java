package junctionhead.net;

/**
 * Counts the sockets of this process against its limit on descriptors. Guards against accepts and connects
 * that fail for want of descriptors: a reserve stays for what is not counted here (jars, the selectors,
 * discovery, the listener, the operators' door, and what one look at the backlog accepts).
 */
final class Descriptors {
    private static final int RESERVE = 40;
    private static final int SPARE = 8;             // beyond those that the upstreams have now
    private final int most;
    private int open;

    Descriptors(int limit) {
        this.most = Math.max(2, limit - Math.min(RESERVE, limit / 2));
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

package junctionhead.lab.capacity;

/**
 * What one hollow balancer sent, received and spent since it was last cleared. Owned by the thread
 * that runs the balancer.
 */
final class Ledger {
    private final long[] sent = new long[Kind.values().length];
    private final long[] sentBytes = new long[Kind.values().length];
    private final long[] received = new long[Kind.values().length];
    private final long[] receivedBytes = new long[Kind.values().length];
    private final long[] nanos = new long[Kind.values().length];
    private long listChanges;
    private long listNanosMost;
    private long requests;
    private long unserved;

    /** The same figures, for another thread. */
    Ledger copy() {
        Ledger copy = new Ledger();
        copy.add(this);
        return copy;
    }

    private void add(Ledger other) {
        for (int k = 0; k < sent.length; k++) {
            sent[k] += other.sent[k];
            sentBytes[k] += other.sentBytes[k];
            received[k] += other.received[k];
            receivedBytes[k] += other.receivedBytes[k];
            nanos[k] += other.nanos[k];
        }
        listChanges += other.listChanges;
        listNanosMost = Math.max(listNanosMost, other.listNanosMost);
        requests += other.requests;
        unserved += other.unserved;
    }

    void clear() {
        for (long[] figures : new long[][] {sent, sentBytes, received, receivedBytes, nanos}) {
            java.util.Arrays.fill(figures, 0);
        }
        listChanges = 0;
        listNanosMost = 0;
        requests = 0;
        unserved = 0;
    }

    /** Each of the {@code copies} counts: a fan-out path has to carry them all. */
    void sent(Kind kind, int bytes, int copies) {
        sent[kind.ordinal()] += copies;
        sentBytes[kind.ordinal()] += (long) bytes * copies;
    }

    void received(Kind kind, int bytes) {
        received[kind.ordinal()]++;
        receivedBytes[kind.ordinal()] += bytes;
    }

    void spent(Kind kind, long time) {
        nanos[kind.ordinal()] += time;
        if (kind == Kind.LIST) {
            listChanges++;
            listNanosMost = Math.max(listNanosMost, time);
        }
    }

    void request() {
        requests++;
    }

    void unserved() {
        unserved++;
    }

    long sent(Kind kind) {
        return sent[kind.ordinal()];
    }

    long sentBytes(Kind kind) {
        return sentBytes[kind.ordinal()];
    }

    long received(Kind kind) {
        return received[kind.ordinal()];
    }

    long receivedBytes(Kind kind) {
        return receivedBytes[kind.ordinal()];
    }

    /** ns of elapsed time in the balancer's own code. */
    long nanos(Kind kind) {
        return nanos[kind.ordinal()];
    }

    /** Lists and changes taken in. */
    long listChanges() {
        return listChanges;
    }

    /** ns that the longest of these took. */
    long listNanosMost() {
        return listNanosMost;
    }

    long requests() {
        return requests;
    }

    /** Requests that were refused or failed. */
    long requestsUnserved() {
        return unserved;
    }
}

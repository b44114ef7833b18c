package loadbalancer.testbed.capacity;

/**
 * What one hollow balancer sent, received and spent since it was last cleared. Owned by the thread
 * that runs the balancer.
 */
final class CostCounters {
    private final long[] sent = new long[CostCategory.values().length];
    private final long[] sentBytes = new long[CostCategory.values().length];
    private final long[] received = new long[CostCategory.values().length];
    private final long[] receivedBytes = new long[CostCategory.values().length];
    private final long[] elapsedNanos = new long[CostCategory.values().length];
    private long listChanges;
    private long maxListChangeNanos;
    private long requests;
    private long unservedRequests;

    /** The same figures, for another thread. */
    CostCounters copy() {
        CostCounters copy = new CostCounters();
        copy.add(this);
        return copy;
    }

    private void add(CostCounters other) {
        for (int category = 0; category < sent.length; category++) {
            sent[category] += other.sent[category];
            sentBytes[category] += other.sentBytes[category];
            received[category] += other.received[category];
            receivedBytes[category] += other.receivedBytes[category];
            elapsedNanos[category] += other.elapsedNanos[category];
        }
        listChanges += other.listChanges;
        maxListChangeNanos = Math.max(maxListChangeNanos, other.maxListChangeNanos);
        requests += other.requests;
        unservedRequests += other.unservedRequests;
    }

    void reset() {
        for (long[] counters :
                new long[][] {sent, sentBytes, received, receivedBytes, elapsedNanos}) {
            java.util.Arrays.fill(counters, 0);
        }
        listChanges = 0;
        maxListChangeNanos = 0;
        requests = 0;
        unservedRequests = 0;
    }

    /** Each of the {@code copies} counts: a fan-out path has to carry them all. */
    void sent(CostCategory category, int bytes, int copies) {
        sent[category.ordinal()] += copies;
        sentBytes[category.ordinal()] += (long) bytes * copies;
    }

    void received(CostCategory category, int bytes) {
        received[category.ordinal()]++;
        receivedBytes[category.ordinal()] += bytes;
    }

    void addElapsed(CostCategory category, long nanos) {
        elapsedNanos[category.ordinal()] += nanos;
        if (category == CostCategory.ENDPOINT_LIST) {
            listChanges++;
            maxListChangeNanos = Math.max(maxListChangeNanos, nanos);
        }
    }

    void countRequest() {
        requests++;
    }

    void unservedRequests() {
        unservedRequests++;
    }

    long sent(CostCategory category) {
        return sent[category.ordinal()];
    }

    long sentBytes(CostCategory category) {
        return sentBytes[category.ordinal()];
    }

    long received(CostCategory category) {
        return received[category.ordinal()];
    }

    long receivedBytes(CostCategory category) {
        return receivedBytes[category.ordinal()];
    }

    /** ns of elapsed time in the balancer's own code. */
    long elapsedNanos(CostCategory category) {
        return elapsedNanos[category.ordinal()];
    }

    /** Lists and changes taken in. */
    long listChanges() {
        return listChanges;
    }

    /** ns that the longest of these took. */
    long maxListChangeNanos() {
        return maxListChangeNanos;
    }

    long requests() {
        return requests;
    }

    /** Requests that were refused or failed. */
    long unservedRequestCount() {
        return unservedRequests;
    }
}

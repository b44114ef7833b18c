package loadbalancer.testbed.capacity;

import java.util.Arrays;

/**
 * Counts datagrams, bytes and elapsed time of one balancer since the last reset, by category.
 * Confined to the thread that runs the balancer.
 */
final class CostCounters {
    private final long[] sentDatagrams = new long[CostCategory.values().length];
    private final long[] sentBytes = new long[CostCategory.values().length];
    private final long[] receivedDatagrams = new long[CostCategory.values().length];
    private final long[] receivedBytes = new long[CostCategory.values().length];
    private final long[] elapsedNanos = new long[CostCategory.values().length];
    private long listChanges;
    private long maxListChangeNanos;
    private long requests;
    private long unservedRequests;

    /** Returns a copy, for use by another thread. */
    CostCounters copy() {
        CostCounters copy = new CostCounters();
        copy.add(this);
        return copy;
    }

    private void add(CostCounters other) {
        for (int category = 0; category < sentDatagrams.length; category++) {
            sentDatagrams[category] += other.sentDatagrams[category];
            sentBytes[category] += other.sentBytes[category];
            receivedDatagrams[category] += other.receivedDatagrams[category];
            receivedBytes[category] += other.receivedBytes[category];
            elapsedNanos[category] += other.elapsedNanos[category];
        }
        listChanges += other.listChanges;
        maxListChangeNanos = Math.max(maxListChangeNanos, other.maxListChangeNanos);
        requests += other.requests;
        unservedRequests += other.unservedRequests;
    }

    /** Sets all counters to 0. */
    void reset() {
        for (long[] counters :
                new long[][] {
                    sentDatagrams, sentBytes, receivedDatagrams, receivedBytes, elapsedNanos
                }) {
            Arrays.fill(counters, 0);
        }
        listChanges = 0;
        maxListChangeNanos = 0;
        requests = 0;
        unservedRequests = 0;
    }

    /** Counts a sent datagram {@code copies} times: once for each of its receivers. */
    void countSent(CostCategory category, int bytes, int copies) {
        sentDatagrams[category.ordinal()] += copies;
        sentBytes[category.ordinal()] += (long) bytes * copies;
    }

    /** Counts a received datagram. */
    void countReceived(CostCategory category, int bytes) {
        receivedDatagrams[category.ordinal()]++;
        receivedBytes[category.ordinal()] += bytes;
    }

    /** Adds elapsed time of the balancer's own code, ns. For the endpoint list, counts a change. */
    void addElapsed(CostCategory category, long nanos) {
        elapsedNanos[category.ordinal()] += nanos;
        if (category == CostCategory.ENDPOINT_LIST) {
            listChanges++;
            maxListChangeNanos = Math.max(maxListChangeNanos, nanos);
        }
    }

    /** Counts a request that has ended, with or without success. */
    void countRequest() {
        requests++;
    }

    /** Counts a request that was rejected or has failed. */
    void countUnservedRequest() {
        unservedRequests++;
    }

    /** Returns the number of sent datagrams. */
    long sentDatagrams(CostCategory category) {
        return sentDatagrams[category.ordinal()];
    }

    /** Returns the bytes of sent datagrams. */
    long sentBytes(CostCategory category) {
        return sentBytes[category.ordinal()];
    }

    /** Returns the number of received datagrams. */
    long receivedDatagrams(CostCategory category) {
        return receivedDatagrams[category.ordinal()];
    }

    /** Returns the bytes of received datagrams. */
    long receivedBytes(CostCategory category) {
        return receivedBytes[category.ordinal()];
    }

    /** Returns the elapsed time of the balancer's own code, ns. */
    long elapsedNanos(CostCategory category) {
        return elapsedNanos[category.ordinal()];
    }

    /** Returns the number of endpoint lists and updates that were processed. */
    long listChanges() {
        return listChanges;
    }

    /** Returns the maximum time that one endpoint list or update took, ns. */
    long maxListChangeNanos() {
        return maxListChangeNanos;
    }

    /** Returns the number of requests that have ended. */
    long requests() {
        return requests;
    }

    /** Returns the number of requests that were rejected or have failed. */
    long unservedRequests() {
        return unservedRequests;
    }
}

package loadbalancer.testbed.capacity;

import java.util.Arrays;

/**
 * What one balancer sent, received and spent since the last reset, by category. Confined to the
 * thread that runs the balancer.
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

    /** A copy, for use by another thread. */
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

    /** Sets all counters to 0. */
    void reset() {
        for (long[] counters :
                new long[][] {sent, sentBytes, received, receivedBytes, elapsedNanos}) {
            Arrays.fill(counters, 0);
        }
        listChanges = 0;
        maxListChangeNanos = 0;
        requests = 0;
        unservedRequests = 0;
    }

    /** Counts a sent datagram once for each of the {@code copies}, since each has a receiver. */
    void sent(CostCategory category, int bytes, int copies) {
        sent[category.ordinal()] += copies;
        sentBytes[category.ordinal()] += (long) bytes * copies;
    }

    /** Counts a received datagram. */
    void received(CostCategory category, int bytes) {
        received[category.ordinal()]++;
        receivedBytes[category.ordinal()] += bytes;
    }

    /** Adds elapsed time of the balancer's own code, ns. */
    void addElapsed(CostCategory category, long nanos) {
        elapsedNanos[category.ordinal()] += nanos;
        if (category == CostCategory.ENDPOINT_LIST) {
            listChanges++;
            maxListChangeNanos = Math.max(maxListChangeNanos, nanos);
        }
    }

    /** Counts a request that has ended. */
    void countRequest() {
        requests++;
    }

    /** Counts a request that was rejected or has failed. */
    void countUnservedRequest() {
        unservedRequests++;
    }

    /** Sent datagrams. */
    long sent(CostCategory category) {
        return sent[category.ordinal()];
    }

    /** Bytes of sent datagrams. */
    long sentBytes(CostCategory category) {
        return sentBytes[category.ordinal()];
    }

    /** Received datagrams. */
    long received(CostCategory category) {
        return received[category.ordinal()];
    }

    /** Bytes of received datagrams. */
    long receivedBytes(CostCategory category) {
        return receivedBytes[category.ordinal()];
    }

    /** Elapsed time of the balancer's own code, ns. */
    long elapsedNanos(CostCategory category) {
        return elapsedNanos[category.ordinal()];
    }

    /** Endpoint lists and updates that were processed. */
    long listChanges() {
        return listChanges;
    }

    /** The longest time that one of these took, ns. */
    long maxListChangeNanos() {
        return maxListChangeNanos;
    }

    /** Requests that have ended. */
    long requests() {
        return requests;
    }

    /** Requests that were rejected or have failed. */
    long unservedRequestCount() {
        return unservedRequests;
    }
}

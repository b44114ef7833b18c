package loadbalancer.routing.endpoint;

import java.util.Arrays;
import java.util.Iterator;
import java.util.NoSuchElementException;

/**
 * A consistent hash ring. The points of an endpoint are derived from its id, so that a change of
 * the list moves few points. A point is any {@code long}, in signed order; {@link Long#MIN_VALUE}
 * follows {@link Long#MAX_VALUE}.
 *
 * <p>Hashing spreads the points evenly. The ring is therefore divided into equal buckets, whose
 * number is a power of two and each of which is a short sorted array. An insertion changes one
 * bucket, and points need no node objects as they would in a tree. Confined to the thread of the
 * routing policy.
 */
public final class HashRing {
    private static final int MAX_MEAN_BUCKET_POINTS = 32;
    private static final int MIN_MEAN_BUCKET_POINTS = 4;
    private static final int BUCKET_GROWTH_POINTS = 4;

    // Number of leading bits of a point that give its bucket index.
    private int bucketBits;
    private long[][] bucketPoints = {{}};
    private EndpointState[][] bucketEndpoints = {{}};
    private int[] bucketSizes = {0};
    private int pointCount;
    private long pointChanges;
    private final SubsetOrder subsetOrder;

    /**
     * Creates an empty ring.
     *
     * @param subsetStart point at which this balancer's subset starts
     */
    HashRing(long subsetStart) {
        this.subsetOrder = new SubsetOrder(this, subsetStart);
    }

    /** Adds or removes points of an endpoint until it has {@code targetCount} of them. */
    void setPointCount(EndpointState endpoint, int targetCount) {
        while (endpoint.ringPointCount() < targetCount) {
            insert(endpoint.addRingPoint(), endpoint);
        }
        while (endpoint.ringPointCount() > targetCount) {
            remove(endpoint.removeRingPoint(), endpoint);
        }
    }

    /** Returns the number of points inserted or removed so far; the cost of all list changes. */
    long pointChanges() {
        return pointChanges;
    }

    private int bucketOf(long point) {
        return bucketBits == 0 ? 0 : (int) ((point ^ Long.MIN_VALUE) >>> (Long.SIZE - bucketBits));
    }

    // Returns the result of Arrays.binarySearch, which is negative if the bucket lacks the point.
    private int indexInBucket(int bucket, long point) {
        return Arrays.binarySearch(bucketPoints[bucket], 0, bucketSizes[bucket], point);
    }

    private static int insertionIndex(int searchResult) {
        return searchResult < 0 ? -searchResult - 1 : searchResult;
    }

    private void insert(long point, EndpointState endpoint) {
        onPointChanged(point);
        int bucket = bucketOf(point);
        int searchResult = indexInBucket(bucket, point);
        if (searchResult >= 0) {
            // If two endpoints have the same point, the later one gets it.
            bucketEndpoints[bucket][searchResult] = endpoint;
            return;
        }
        insertIntoBucket(bucket, insertionIndex(searchResult), point, endpoint);
        if (++pointCount > (long) MAX_MEAN_BUCKET_POINTS << bucketBits) {
            rebucket(bucketBits + 1);
        }
    }

    private void insertIntoBucket(int bucket, int index, long point, EndpointState endpoint) {
        int oldSize = bucketSizes[bucket]++;
        if (oldSize == bucketPoints[bucket].length) {
            int newLength = oldSize + BUCKET_GROWTH_POINTS;
            bucketPoints[bucket] = Arrays.copyOf(bucketPoints[bucket], newLength);
            bucketEndpoints[bucket] = Arrays.copyOf(bucketEndpoints[bucket], newLength);
        }
        long[] points = bucketPoints[bucket];
        EndpointState[] endpoints = bucketEndpoints[bucket];
        System.arraycopy(points, index, points, index + 1, oldSize - index);
        System.arraycopy(endpoints, index, endpoints, index + 1, oldSize - index);
        points[index] = point;
        endpoints[index] = endpoint;
    }

    private void remove(long point, EndpointState endpoint) {
        int bucket = bucketOf(point);
        int index = indexInBucket(bucket, point);
        if (index < 0 || bucketEndpoints[bucket][index] != endpoint) {
            // Another endpoint has this point.
            return;
        }
        onPointChanged(point);
        int newSize = --bucketSizes[bucket];
        long[] points = bucketPoints[bucket];
        EndpointState[] endpoints = bucketEndpoints[bucket];
        System.arraycopy(points, index + 1, points, index, newSize - index);
        System.arraycopy(endpoints, index + 1, endpoints, index, newSize - index);
        endpoints[newSize] = null;
        if (--pointCount < (long) MIN_MEAN_BUCKET_POINTS << bucketBits && bucketBits > 0) {
            rebucket(bucketBits - 1);
        }
    }

    // Redistributes all points over twice or half as many buckets as before.
    private void rebucket(int newBucketBits) {
        long[][] oldBucketPoints = bucketPoints;
        EndpointState[][] oldBucketEndpoints = bucketEndpoints;
        int[] oldBucketSizes = bucketSizes;
        bucketBits = newBucketBits;
        bucketSizes = newBucketSizes(oldBucketPoints, oldBucketSizes);
        bucketPoints = Arrays.stream(bucketSizes).mapToObj(long[]::new).toArray(long[][]::new);
        bucketEndpoints =
                Arrays.stream(bucketSizes)
                        .mapToObj(EndpointState[]::new)
                        .toArray(EndpointState[][]::new);
        Arrays.fill(bucketSizes, 0);
        for (int oldBucket = 0; oldBucket < oldBucketPoints.length; oldBucket++) {
            for (int i = 0; i < oldBucketSizes[oldBucket]; i++) {
                append(oldBucketPoints[oldBucket][i], oldBucketEndpoints[oldBucket][i]);
            }
        }
    }

    private int[] newBucketSizes(long[][] oldBucketPoints, int[] oldBucketSizes) {
        int[] newSizes = new int[1 << bucketBits];
        for (int oldBucket = 0; oldBucket < oldBucketPoints.length; oldBucket++) {
            for (int i = 0; i < oldBucketSizes[oldBucket]; i++) {
                newSizes[bucketOf(oldBucketPoints[oldBucket][i])]++;
            }
        }
        return newSizes;
    }

    private void append(long point, EndpointState endpoint) {
        int bucket = bucketOf(point);
        int index = bucketSizes[bucket]++;
        bucketPoints[bucket][index] = point;
        bucketEndpoints[bucket][index] = endpoint;
    }

    private void onPointChanged(long point) {
        pointChanges++;
        subsetOrder.onPointChanged(point);
    }

    /**
     * Returns an iterator over the endpoints of all points, once around the ring starting at {@code
     * point}; an endpoint occurs once for each of its points. Valid until the next list update.
     */
    public Iterator<EndpointState> iteratorFrom(long point) {
        return pointIterator(point);
    }

    /**
     * Returns an iterator over all endpoints, each once, in the order of their first points from
     * the start of this balancer's subset. Valid until the next list update.
     */
    public Iterator<EndpointState> subsetIterator() {
        return subsetOrder.iterator();
    }

    PointIterator pointIterator(long point) {
        return new PointIterator(point);
    }

    /** Iterates over all points of the ring once, starting at a given point. */
    final class PointIterator implements Iterator<EndpointState> {
        private int bucket;
        private int index;
        private int remaining = pointCount;

        private PointIterator(long point) {
            bucket = bucketOf(point);
            index = insertionIndex(indexInBucket(bucket, point));
        }

        @Override
        public boolean hasNext() {
            return remaining > 0;
        }

        @Override
        public EndpointState next() {
            peekPoint();
            remaining--;
            return bucketEndpoints[bucket][index++];
        }

        /**
         * Returns the point of the endpoint that {@link #next} returns next.
         *
         * @throws NoSuchElementException if all points have been visited
         */
        long peekPoint() {
            if (remaining <= 0) {
                throw new NoSuchElementException("no more points on the ring");
            }
            while (index >= bucketSizes[bucket]) {
                bucket = (bucket + 1) & (bucketSizes.length - 1);
                index = 0;
            }
            return bucketPoints[bucket][index];
        }
    }
}

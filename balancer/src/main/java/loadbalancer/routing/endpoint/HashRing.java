package loadbalancer.routing.endpoint;

import java.util.Arrays;
import java.util.Iterator;
import java.util.NoSuchElementException;
import loadbalancer.util.Hashing;

/**
 * Servers at points of a ring that follow from their ids, so that a change of the list moves few of
 * them. Only the points of changed servers are touched: made anew at each step of a deploy, the
 * ring cost more than all requests. Points are spread evenly, so the ring is cut into even parts,
 * each a short sorted array: as a tree it took half a kilobyte for each server.
 */
public final class HashRing {
    // Points in a part, as a mean
    private static final int MAX_MEAN_BUCKET_POINTS = 32;
    private static final int MIN_MEAN_BUCKET_POINTS = 4;
    // Places that a full part grows by
    private static final int BUCKET_GROWTH = 4;
    // Servers that a walk from home looks ahead, at least
    private static final int MIN_LOOKAHEAD = 16;

    // Where this balancer's subset starts
    private final long subsetStart;
    private long[][] bucketPoints = {{}};
    private EndpointState[][] bucketEndpoints = {{}};
    // Points of each part
    private int[] bucketSizes = {0};
    // Of a point that name its part
    private int bucketBits;
    private int pointCount;
    private long pointChanges;

    // Each server once, from home on, as far as walks have gone: what changes beyond does not
    // concern it.
    private EndpointState[] subsetOrder = new EndpointState[MIN_LOOKAHEAD];
    private int subsetOrderSize;
    // The ring behind home that this covers; unsigned
    private long coveredDistance;
    // Or all of it
    private boolean coversRing;
    // Tells its servers' marks from those of before
    private int visitGeneration = 1;

    HashRing(long subsetStart) {
        this.subsetStart = subsetStart;
    }

    /** Has the server stand at {@code targetCount} points. */
    void setPointCount(EndpointState endpoint, int targetCount) {
        while (endpoint.ringPointCount < targetCount) {
            insert(Hashing.mix(endpoint.idHash + endpoint.ringPointCount++), endpoint);
        }
        while (endpoint.ringPointCount > targetCount) {
            remove(Hashing.mix(endpoint.idHash + --endpoint.ringPointCount), endpoint);
        }
    }

    /** Points that have come or gone so far: what changes of the list have cost. */
    long pointChanges() {
        return pointChanges;
    }

    private int bucketOf(long point) {
        return bucketBits == 0 ? 0 : (int) ((point ^ Long.MIN_VALUE) >>> (Long.SIZE - bucketBits));
    }

    private int indexInBucket(int bucket, long point) {
        return Arrays.binarySearch(bucketPoints[bucket], 0, bucketSizes[bucket], point);
    }

    private void insert(long point, EndpointState endpoint) {
        onPointChanged(point);
        int bucket = bucketOf(point);
        int searchResult = indexInBucket(bucket, point);
        if (searchResult >= 0) {
            bucketEndpoints[bucket][searchResult] = endpoint;
            return;
        }
        int oldSize = bucketSizes[bucket]++;
        if (oldSize == bucketPoints[bucket].length) {
            bucketPoints[bucket] = Arrays.copyOf(bucketPoints[bucket], oldSize + BUCKET_GROWTH);
            bucketEndpoints[bucket] =
                    Arrays.copyOf(bucketEndpoints[bucket], oldSize + BUCKET_GROWTH);
        }
        int index = -searchResult - 1;
        System.arraycopy(
                bucketPoints[bucket], index, bucketPoints[bucket], index + 1, oldSize - index);
        System.arraycopy(
                bucketEndpoints[bucket],
                index,
                bucketEndpoints[bucket],
                index + 1,
                oldSize - index);
        bucketPoints[bucket][index] = point;
        bucketEndpoints[bucket][index] = endpoint;
        if (++pointCount > (long) MAX_MEAN_BUCKET_POINTS << bucketBits) {
            rebucket(bucketBits + 1);
        }
    }

    private void remove(long point, EndpointState endpoint) {
        int bucket = bucketOf(point);
        int index = indexInBucket(bucket, point);
        if (index < 0 || bucketEndpoints[bucket][index] != endpoint) {
            return;
        }
        onPointChanged(point);
        int newSize = --bucketSizes[bucket];
        System.arraycopy(
                bucketPoints[bucket], index + 1, bucketPoints[bucket], index, newSize - index);
        System.arraycopy(
                bucketEndpoints[bucket],
                index + 1,
                bucketEndpoints[bucket],
                index,
                newSize - index);
        bucketEndpoints[bucket][newSize] = null;
        if (--pointCount < (long) MIN_MEAN_BUCKET_POINTS << bucketBits && bucketBits > 0) {
            rebucket(bucketBits - 1);
        }
    }

    // Cuts the ring into twice or half as many parts as before.
    private void rebucket(int newBucketBits) {
        long[][] oldBucketPoints = bucketPoints;
        EndpointState[][] oldBucketEndpoints = bucketEndpoints;
        int[] oldBucketSizes = bucketSizes;
        bucketBits = newBucketBits;
        bucketSizes = new int[1 << bucketBits];
        for (int oldBucket = 0; oldBucket < oldBucketPoints.length; oldBucket++) {
            for (int i = 0; i < oldBucketSizes[oldBucket]; i++) {
                bucketSizes[bucketOf(oldBucketPoints[oldBucket][i])]++;
            }
        }
        bucketPoints = Arrays.stream(bucketSizes).mapToObj(long[]::new).toArray(long[][]::new);
        bucketEndpoints =
                Arrays.stream(bucketSizes)
                        .mapToObj(EndpointState[]::new)
                        .toArray(EndpointState[][]::new);
        Arrays.fill(bucketSizes, 0);
        for (int oldBucket = 0; oldBucket < oldBucketPoints.length; oldBucket++) {
            for (int i = 0; i < oldBucketSizes[oldBucket]; i++) {
                int bucket = bucketOf(oldBucketPoints[oldBucket][i]);
                bucketPoints[bucket][bucketSizes[bucket]] = oldBucketPoints[oldBucket][i];
                bucketEndpoints[bucket][bucketSizes[bucket]++] = oldBucketEndpoints[oldBucket][i];
            }
        }
    }

    // ---------------------------------------------------------------- walks

    /**
     * The servers of all points, once round from {@code point} on; of use until the next change.
     */
    public Iterator<EndpointState> iteratorFrom(long point) {
        return new PointIterator(point);
    }

    private final class PointIterator implements Iterator<EndpointState> {
        private int bucket;
        private int index;
        private int remaining = pointCount;

        PointIterator(long point) {
            bucket = bucketOf(point);
            int searchResult = indexInBucket(bucket, point);
            index = searchResult < 0 ? -searchResult - 1 : searchResult;
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

        // Steps to the next one's part, without passing it.
        long peekPoint() {
            if (remaining <= 0) {
                throw new NoSuchElementException();
            }
            while (index >= bucketSizes[bucket]) {
                bucket = bucket + 1 & bucketSizes.length - 1;
                index = 0;
            }
            return bucketPoints[bucket][index];
        }
    }

    /**
     * Each server once, in the order of the first points met from home on; of use until the next
     * change.
     */
    public Iterator<EndpointState> subsetIterator() {
        return new Iterator<>() {
            private int i;

            @Override
            public boolean hasNext() {
                return i < subsetOrderSize || extendSubsetOrder();
            }

            @Override
            public EndpointState next() {
                if (!hasNext()) {
                    throw new NoSuchElementException();
                }
                return subsetOrder[i++];
            }
        };
    }

    // Has the walk from home go on; false where it has been round. By half as far again each time.
    private boolean extendSubsetOrder() {
        if (coversRing) {
            return false;
        }
        int oldSize = subsetOrderSize;
        int targetSize = subsetOrderSize + Math.max(MIN_LOOKAHEAD, subsetOrderSize / 2);
        PointIterator iterator =
                new PointIterator(
                        subsetOrderSize == 0 ? subsetStart : subsetStart + coveredDistance + 1);
        while (iterator.hasNext() && subsetOrderSize < targetSize) {
            long distance = iterator.peekPoint() - subsetStart;
            if (subsetOrderSize > 0 && Long.compareUnsigned(distance, coveredDistance) <= 0) {
                // Round
                break;
            }
            EndpointState endpoint = iterator.next();
            coveredDistance = distance;
            if (endpoint.homeVisitGeneration != visitGeneration) {
                endpoint.homeVisitGeneration = visitGeneration;
                subsetOrder =
                        subsetOrderSize < subsetOrder.length
                                ? subsetOrder
                                : Arrays.copyOf(subsetOrder, 2 * subsetOrderSize);
                subsetOrder[subsetOrderSize++] = endpoint;
            }
        }
        coversRing = subsetOrderSize < targetSize;
        return subsetOrderSize > oldSize;
    }

    private void onPointChanged(long point) {
        pointChanges++;
        if (subsetOrderSize > 0
                && (coversRing
                        || Long.compareUnsigned(point - subsetStart, coveredDistance) <= 0)) {
            Arrays.fill(subsetOrder, null);
            subsetOrderSize = 0;
            coversRing = false;
            visitGeneration++;
        } else if (subsetOrderSize == 0) {
            coversRing = false;
        }
    }
}

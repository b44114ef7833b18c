package loadbalancer.routing.endpoint;

import java.util.Arrays;
import java.util.Iterator;
import java.util.NoSuchElementException;

/**
 * The endpoints of a {@link HashRing} in the order of their first points from the start of this
 * balancer's subset. Caches the order as far as iterators have advanced. A changed point
 * invalidates the cache only if the point lies on the cached arc. Confined to the thread of the
 * routing policy.
 */
final class SubsetOrder {
    // Minimum number of endpoints by which the cached arc is extended.
    private static final int MIN_EXTENSION = 16;

    private final HashRing ring;
    private final long start;
    private EndpointState[] endpoints = new EndpointState[MIN_EXTENSION];
    private int size;
    // Length of the cached arc from the start, as an unsigned number.
    private long coveredDistance;
    private boolean coversRing;
    // Distinguishes the visit marks of the current cache from those of earlier ones.
    private int visitGeneration = 1;

    SubsetOrder(HashRing ring, long start) {
        this.ring = ring;
        this.start = start;
    }

    /** Returns an iterator over all endpoints, each once; valid until the next ring change. */
    Iterator<EndpointState> iterator() {
        return new Iterator<>() {
            private int index;

            @Override
            public boolean hasNext() {
                return index < size || extend();
            }

            @Override
            public EndpointState next() {
                if (!hasNext()) {
                    throw new NoSuchElementException("no more endpoints on the ring");
                }
                return endpoints[index++];
            }
        };
    }

    // Extends the cached arc by half of its endpoints, or by the minimum if that is more. Returns
    // false if there are no further endpoints.
    private boolean extend() {
        if (coversRing) {
            return false;
        }
        int oldSize = size;
        int targetSize = size + Math.max(MIN_EXTENSION, size / 2);
        long firstPoint = size == 0 ? start : start + coveredDistance + 1;
        HashRing.PointIterator points = ring.pointIterator(firstPoint);
        while (points.hasNext() && size < targetSize) {
            long distance = points.peekPoint() - start;
            boolean hasPassedStart = size > 0 && isCovered(distance);
            if (hasPassedStart) {
                break;
            }
            EndpointState endpoint = points.next();
            coveredDistance = distance;
            if (endpoint.markSubsetVisited(visitGeneration)) {
                append(endpoint);
            }
        }
        coversRing = size < targetSize;
        return size > oldSize;
    }

    private void append(EndpointState endpoint) {
        if (size == endpoints.length) {
            endpoints = Arrays.copyOf(endpoints, 2 * size);
        }
        endpoints[size++] = endpoint;
    }

    private boolean isCovered(long distance) {
        return Long.compareUnsigned(distance, coveredDistance) <= 0;
    }

    /** Handles a point that was inserted or removed, or is about to be. */
    void onPointChanged(long point) {
        if (size == 0) {
            coversRing = false;
        } else if (coversRing || isCovered(point - start)) {
            Arrays.fill(endpoints, null);
            size = 0;
            coversRing = false;
            visitGeneration++;
        }
    }
}

package loadbalancer.routing.endpoint;

import java.util.Arrays;
import java.util.Iterator;
import java.util.NoSuchElementException;

/**
 * The endpoints of a {@link HashRing} in the order of their first points from the start of this
 * balancer's subset on. Caches the order as far as walks have gone; a changed point invalidates it
 * only if it lies on the cached arc. Confined to the thread of the routing policy.
 */
final class SubsetOrder {
    // Endpoints that a walk is extended by, at least
    private static final int MIN_LOOKAHEAD = 16;

    private final HashRing ring;
    private final long start;
    private EndpointState[] endpoints = new EndpointState[MIN_LOOKAHEAD];
    private int size;
    // Length of the cached arc, from the start on; unsigned
    private long coveredDistance;
    private boolean coversRing;
    // Distinguishes the marks of this walk from those of walks before
    private int visitGeneration = 1;

    SubsetOrder(HashRing ring, long start) {
        this.ring = ring;
        this.start = start;
    }

    /** Each endpoint once; valid until the next change of the ring. */
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

    // Extends the cached arc by half of its endpoints; false if it covers the whole ring.
    private boolean extend() {
        if (coversRing) {
            return false;
        }
        int oldSize = size;
        int targetSize = size + Math.max(MIN_LOOKAHEAD, size / 2);
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

    /** A point of the ring was inserted or is about to be removed. */
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

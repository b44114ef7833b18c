package loadbalancer.routing.endpoint;

import java.util.TreeMap;

/**
 * Decides how many points each listed endpoint has on the ring, in proportion to the ratio of its
 * weight to the mean weight. A list change shifts the mean weight slightly, which changes the
 * number of points for few weights. Only the endpoints of these weights are looked up and updated.
 * Confined to the thread of the routing policy.
 */
final class RingPointAllocator {
    private static final int POINTS_AT_MEAN_WEIGHT = 8;
    private static final int MAX_POINTS = 8 * POINTS_AT_MEAN_WEIGHT;
    // Widens the range of weights that are looked up, since its bounds are rounded.
    private static final double ROUNDING_MARGIN = 1e-9;

    /** The listed endpoints of one weight, as a linked list through {@link EndpointState}. */
    private static final class WeightGroup {
        EndpointState head;
        int pointCount;
    }

    private final HashRing ring;
    private final TreeMap<Double, WeightGroup> groupsByWeight = new TreeMap<>();
    private double meanWeight = 1;

    RingPointAllocator(HashRing ring) {
        this.ring = ring;
    }

    private int pointsFor(double weight) {
        long points = Math.round(POINTS_AT_MEAN_WEIGHT * weight / meanWeight);
        return (int) Math.max(1, Math.min(MAX_POINTS, points));
    }

    /**
     * Adds a listed endpoint to the group of its weight; {@link #updatePoints} assigns its points.
     */
    void add(EndpointState endpoint, double weight) {
        WeightGroup group = groupsByWeight.computeIfAbsent(weight, unused -> new WeightGroup());
        endpoint.linkBefore(group.head);
        group.head = endpoint;
    }

    /** Removes an endpoint that was added with this weight; its points stay on the ring. */
    void remove(EndpointState endpoint, double weight) {
        boolean isFirst = endpoint.isFirstOfSameWeight();
        EndpointState next = endpoint.nextOfSameWeight();
        endpoint.unlinkFromSameWeight();
        if (isFirst && next != null) {
            groupsByWeight.get(weight).head = next;
        } else if (isFirst) {
            groupsByWeight.remove(weight);
        }
    }

    /** Sets the number of points of a changed endpoint, which is 0 if it is not listed. */
    void updatePoints(EndpointState endpoint) {
        if (!endpoint.isListed()) {
            ring.setPointCount(endpoint, 0);
            return;
        }
        double weight = endpoint.listedDescriptor().weight();
        int pointCount = pointsFor(weight);
        groupsByWeight.get(weight).pointCount = pointCount;
        ring.setPointCount(endpoint, pointCount);
    }

    /** Sets the mean weight and updates the endpoints whose number of points it changes. */
    void updateMeanWeight(double newMeanWeight) {
        if (meanWeight == newMeanWeight) {
            return;
        }
        double lowerMean = Math.min(meanWeight, newMeanWeight) * (1 - ROUNDING_MARGIN);
        double upperMean = Math.max(meanWeight, newMeanWeight) * (1 + ROUNDING_MARGIN);
        double lowerScale = lowerMean / POINTS_AT_MEAN_WEIGHT;
        double upperScale = upperMean / POINTS_AT_MEAN_WEIGHT;
        meanWeight = newMeanWeight;
        // The number of points is rounded, so it changes where its exact value ends in .5.
        for (int pointCount = 1; pointCount < MAX_POINTS; pointCount++) {
            updateGroups((pointCount + 0.5) * lowerScale, (pointCount + 0.5) * upperScale);
        }
    }

    private void updateGroups(double minWeight, double maxWeight) {
        // Iterates by key, since TreeMap allocates a copy of the entry for each entry lookup.
        Double weight = groupsByWeight.ceilingKey(minWeight);
        while (weight != null && weight <= maxWeight) {
            updateGroup(weight, groupsByWeight.get(weight));
            weight = groupsByWeight.higherKey(weight);
        }
    }

    private void updateGroup(double weight, WeightGroup group) {
        int pointCount = pointsFor(weight);
        if (group.pointCount == pointCount) {
            return;
        }
        for (EndpointState endpoint = group.head;
                endpoint != null;
                endpoint = endpoint.nextOfSameWeight()) {
            ring.setPointCount(endpoint, pointCount);
        }
        group.pointCount = pointCount;
    }
}

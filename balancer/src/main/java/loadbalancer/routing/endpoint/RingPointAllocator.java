package loadbalancer.routing.endpoint;

import java.util.TreeMap;

/**
 * Decides how many points of the ring each listed endpoint has: in proportion to its weight over
 * the mean weight. A change of the list moves the mean a little, which changes the number of points
 * of few weights; only these are looked up and their endpoints updated. Confined to the thread of
 * the routing policy.
 */
final class RingPointAllocator {
    private static final int POINTS_AT_MEAN_WEIGHT = 8;
    private static final int MAX_POINTS = 8 * POINTS_AT_MEAN_WEIGHT;
    // Widens the range of weights that are looked up, since their bounds are rounded
    private static final double ROUNDING_MARGIN = 1e-9;

    /** The listed endpoints of one weight, chained through themselves. */
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

    /** Adds a listed endpoint to those of its weight; {@link #updatePoints} gives it its points. */
    void add(EndpointState endpoint, double weight) {
        WeightGroup group = groupsByWeight.computeIfAbsent(weight, unused -> new WeightGroup());
        endpoint.linkBefore(group.head);
        group.head = endpoint;
    }

    /** Removes an endpoint that was added with this weight; its points stay. */
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

    /** Gives an endpoint that was changed the points that it is due: none if it is not listed. */
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

    /** Sets the mean weight and updates the endpoints whose number of points changes by it. */
    void updateMeanWeight(double newMeanWeight) {
        if (meanWeight == newMeanWeight) {
            return;
        }
        double lowerMean = Math.min(meanWeight, newMeanWeight) * (1 - ROUNDING_MARGIN);
        double upperMean = Math.max(meanWeight, newMeanWeight) * (1 + ROUNDING_MARGIN);
        double lowerScale = lowerMean / POINTS_AT_MEAN_WEIGHT;
        double upperScale = upperMean / POINTS_AT_MEAN_WEIGHT;
        meanWeight = newMeanWeight;
        // The number of points is rounded, so it changes where its exact value ends in .5
        for (int pointCount = 1; pointCount < MAX_POINTS; pointCount++) {
            updateGroups((pointCount + 0.5) * lowerScale, (pointCount + 0.5) * upperScale);
        }
    }

    private void updateGroups(double minWeight, double maxWeight) {
        // By key: an entry would be a copy made for each look-up
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

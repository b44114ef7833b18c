package loadbalancer.routing.endpoint;

import java.util.TreeMap;

/**
 * How many points of the ring each server has: by its weight against the mean of all. Each change
 * of the list moves that mean a little, and few weights come to another number of points by it:
 * only these are found, and their servers moved.
 */
final class RingPointAllocator {
    // Of a server of mean weight
    private static final int POINTS_AT_MEAN_WEIGHT = 8;
    private static final int MAX_POINTS = 8 * POINTS_AT_MEAN_WEIGHT;
    // For what rounding may do to a bound
    private static final double ROUNDING_MARGIN = 1e-9;

    /** Listed servers of one weight, chained. */
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
        return (int)
                Math.max(
                        1,
                        Math.min(
                                MAX_POINTS,
                                Math.round(POINTS_AT_MEAN_WEIGHT * weight / meanWeight)));
    }

    /**
     * A listed server counts among those of its weight from here on; its points come with {@link
     * #updatePoints}.
     */
    void add(EndpointState endpoint, double weight) {
        WeightGroup group = groupsByWeight.computeIfAbsent(weight, w -> new WeightGroup());
        endpoint.nextOfWeight = group.head;
        if (group.head != null) {
            group.head.previousOfWeight = endpoint;
        }
        group.head = endpoint;
    }

    void remove(EndpointState endpoint, double weight) {
        if (endpoint.nextOfWeight != null) {
            endpoint.nextOfWeight.previousOfWeight = endpoint.previousOfWeight;
        }
        if (endpoint.previousOfWeight != null) {
            endpoint.previousOfWeight.nextOfWeight = endpoint.nextOfWeight;
        } else if (endpoint.nextOfWeight != null) {
            groupsByWeight.get(weight).head = endpoint.nextOfWeight;
        } else {
            groupsByWeight.remove(weight);
        }
        endpoint.previousOfWeight = null;
        endpoint.nextOfWeight = null;
    }

    /** Gives a server that has changed the points that it is due. */
    void updatePoints(EndpointState endpoint) {
        if (endpoint.countedDescriptor == null) {
            ring.setPointCount(endpoint, 0);
        } else {
            groupsByWeight.get(endpoint.countedDescriptor.weight()).pointCount =
                    pointsFor(endpoint.countedDescriptor.weight());
            ring.setPointCount(endpoint, pointsFor(endpoint.countedDescriptor.weight()));
        }
    }

    /** The mean has moved: between the two, bounds have passed over some weights. */
    void updateMeanWeight(double newMeanWeight) {
        double lowerScale =
                Math.min(meanWeight, newMeanWeight) * (1 - ROUNDING_MARGIN) / POINTS_AT_MEAN_WEIGHT;
        double upperScale =
                Math.max(meanWeight, newMeanWeight) * (1 + ROUNDING_MARGIN) / POINTS_AT_MEAN_WEIGHT;
        boolean isUnchanged = meanWeight == newMeanWeight;
        meanWeight = newMeanWeight;
        for (int pointCount = 1; pointCount < MAX_POINTS && !isUnchanged; pointCount++) {
            Double weight = groupsByWeight.ceilingKey((pointCount + 0.5) * lowerScale);
            while (weight != null && weight <= (pointCount + 0.5) * upperScale) {
                updateGroup(weight, groupsByWeight.get(weight));
                weight = groupsByWeight.higherKey(weight);
            }
        }
    }

    private void updateGroup(double weight, WeightGroup group) {
        int pointCount = pointsFor(weight);
        for (EndpointState endpoint = group.head;
                endpoint != null && group.pointCount != pointCount;
                endpoint = endpoint.nextOfWeight) {
            ring.setPointCount(endpoint, pointCount);
        }
        group.pointCount = pointCount;
    }
}

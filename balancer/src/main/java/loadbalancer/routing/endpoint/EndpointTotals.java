package loadbalancer.routing.endpoint;

import java.math.BigDecimal;
import java.util.Map;
import java.util.TreeMap;
import java.util.function.IntToDoubleFunction;
import loadbalancer.routing.api.Endpoint;

/**
 * How many servers are listed and what weight they have, in all, by kind and by zone, kept as they
 * come and go. Sums are exact, in decimals as the list names weights: what comes and goes again
 * leaves no trace, none is ever taken anew, and kinds whose means are the same are not told apart
 * by how a sum was rounded.
 */
final class EndpointTotals {
    private static final class Subtotal {
        int endpointCount;
        private BigDecimal exactWeight = BigDecimal.ZERO;
        private double weight;
        // The weight, since it last changed
        private boolean isWeightCached = true;

        void add(Endpoint endpoint, boolean isAdded) {
            BigDecimal endpointWeight =
                    Double.isFinite(endpoint.weight())
                            ? BigDecimal.valueOf(endpoint.weight())
                            : BigDecimal.ZERO;
            exactWeight =
                    isAdded
                            ? exactWeight.add(endpointWeight)
                            : exactWeight.subtract(endpointWeight);
            endpointCount += isAdded ? 1 : -1;
            isWeightCached = false;
        }

        double weight() {
            weight = isWeightCached ? weight : exactWeight.doubleValue();
            isWeightCached = true;
            return weight;
        }
    }

    private final Subtotal total = new Subtotal();
    private final Map<Integer, Subtotal> byKind = new TreeMap<>();
    private final TreeMap<Integer, Subtotal> zones = new TreeMap<>();
    private double fastFraction = 0.5;
    // That share, since the last change
    private boolean isFastFractionCached = true;

    /** A server comes, or goes. */
    void update(Endpoint endpoint, boolean isAdded) {
        isFastFractionCached = false;
        total.add(endpoint, isAdded);
        update(byKind, endpoint.machineType(), endpoint, isAdded);
        update(zones, endpoint.zone(), endpoint, isAdded);
    }

    private static void update(
            Map<Integer, Subtotal> subtotals, int key, Endpoint endpoint, boolean isAdded) {
        Subtotal subtotal = subtotals.computeIfAbsent(key, absentKey -> new Subtotal());
        subtotal.add(endpoint, isAdded);
        if (subtotal.endpointCount == 0) {
            subtotals.remove(key);
        }
    }

    double weight() {
        return total.weight();
    }

    double meanWeight() {
        return total.endpointCount == 0 ? 1 : total.weight() / total.endpointCount;
    }

    /** Zones by number that servers name, the highest and those below. */
    int zones() {
        return zones.isEmpty() ? 0 : 1 + Math.max(-1, zones.lastKey());
    }

    /** Servers of a zone. */
    int endpointsInZone(int zone) {
        return zones.containsKey(zone) ? zones.get(zone).endpointCount : 0;
    }

    /** The sum of what zones have of something, by their servers' weights. */
    double weightedSum(IntToDoubleFunction valueOfZone) {
        double sum = 0;
        for (Map.Entry<Integer, Subtotal> zone : zones.entrySet()) {
            sum += valueOfZone.applyAsDouble(zone.getKey()) * zone.getValue().weight();
        }
        return sum;
    }

    /**
     * The paper's p: the share of servers of the kinds whose mean weight is above the mean of all.
     */
    double fastFraction() {
        if (!isFastFractionCached) {
            isFastFractionCached = true;
            int fastCount = 0;
            for (Subtotal subtotal : byKind.values()) {
                BigDecimal scaledKindWeight =
                        subtotal.exactWeight.multiply(BigDecimal.valueOf(total.endpointCount));
                BigDecimal scaledTotalWeight =
                        total.exactWeight.multiply(BigDecimal.valueOf(subtotal.endpointCount));
                fastCount +=
                        scaledKindWeight.compareTo(scaledTotalWeight) >= 0
                                ? subtotal.endpointCount
                                : 0;
            }
            fastFraction = byKind.size() < 2 ? 0.5 : (double) fastCount / total.endpointCount;
        }
        return fastFraction;
    }
}

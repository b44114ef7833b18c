package loadbalancer.routing.endpoint;

import java.math.BigDecimal;
import java.util.Map;
import java.util.TreeMap;
import java.util.function.IntToDoubleFunction;
import loadbalancer.routing.api.Endpoint;

/**
 * Number and weight of the listed endpoints in total, by machine type and by zone, updated as
 * endpoints are added and removed.
 *
 * <p>Weights are summed exactly, as the decimal numbers of the endpoint list. Adding and removing
 * an endpoint therefore leaves no rounding error, sums never have to be recomputed, and machine
 * types of equal mean weight do not differ by rounding. Confined to the thread of the routing
 * policy.
 */
final class EndpointTotals {
    // Parameter p of the JSQ-DAS paper if there are fewer than two machine types.
    private static final double DEFAULT_FAST_FRACTION = 0.5;

    /** Number and weight of a group of endpoints. */
    private static final class Subtotal {
        private int endpointCount;
        private BigDecimal exactWeight = BigDecimal.ZERO;
        private double weight;
        private boolean isWeightCached = true;

        void add(Endpoint endpoint) {
            endpointCount++;
            setExactWeight(exactWeight.add(exactWeightOf(endpoint)));
        }

        void remove(Endpoint endpoint) {
            endpointCount--;
            setExactWeight(exactWeight.subtract(exactWeightOf(endpoint)));
        }

        private void setExactWeight(BigDecimal newExactWeight) {
            exactWeight = newExactWeight;
            isWeightCached = false;
        }

        private static BigDecimal exactWeightOf(Endpoint endpoint) {
            return Double.isFinite(endpoint.weight())
                    ? BigDecimal.valueOf(endpoint.weight())
                    : BigDecimal.ZERO;
        }

        double weight() {
            if (!isWeightCached) {
                weight = exactWeight.doubleValue();
                isWeightCached = true;
            }
            return weight;
        }

        /**
         * Returns whether the mean weight is at least that of {@code other}. Compares without
         * division, which would round.
         */
        boolean hasMeanWeightOfAtLeast(Subtotal other) {
            BigDecimal scaledWeight = exactWeight.multiply(BigDecimal.valueOf(other.endpointCount));
            BigDecimal scaledOther = other.exactWeight.multiply(BigDecimal.valueOf(endpointCount));
            return scaledWeight.compareTo(scaledOther) >= 0;
        }
    }

    private final Subtotal total = new Subtotal();
    private final Map<Integer, Subtotal> byMachineType = new TreeMap<>();
    private final TreeMap<Integer, Subtotal> byZone = new TreeMap<>();
    private double fastFraction = DEFAULT_FAST_FRACTION;
    private boolean isFastFractionCached = true;

    /** Adds an endpoint to the totals. */
    void add(Endpoint endpoint) {
        isFastFractionCached = false;
        total.add(endpoint);
        subtotal(byMachineType, endpoint.machineType()).add(endpoint);
        subtotal(byZone, endpoint.zone()).add(endpoint);
    }

    /** Removes an endpoint that was added with the same values. */
    void remove(Endpoint endpoint) {
        isFastFractionCached = false;
        total.remove(endpoint);
        remove(byMachineType, endpoint.machineType(), endpoint);
        remove(byZone, endpoint.zone(), endpoint);
    }

    private static Subtotal subtotal(Map<Integer, Subtotal> subtotals, int key) {
        return subtotals.computeIfAbsent(key, unused -> new Subtotal());
    }

    private static void remove(Map<Integer, Subtotal> subtotals, int key, Endpoint endpoint) {
        Subtotal subtotal = subtotal(subtotals, key);
        subtotal.remove(endpoint);
        if (subtotal.endpointCount == 0) {
            subtotals.remove(key);
        }
    }

    /** Returns the total weight of all endpoints. */
    double weight() {
        return total.weight();
    }

    /** Returns the mean weight of all endpoints, or 1 if there are none. */
    double meanWeight() {
        return total.endpointCount == 0 ? 1 : total.weight() / total.endpointCount;
    }

    /** Returns the number of zones, which is one more than the highest zone number in use. */
    int zoneCount() {
        return byZone.isEmpty() ? 0 : 1 + Math.max(-1, byZone.lastKey());
    }

    /** Returns the number of endpoints in a zone. */
    int endpointsInZone(int zone) {
        Subtotal subtotal = byZone.get(zone);
        return subtotal == null ? 0 : subtotal.endpointCount;
    }

    /**
     * Returns the sum of a value over all zones, each multiplied by the zone's weight. Adds in the
     * order of zone numbers.
     */
    double weightedSum(IntToDoubleFunction valueOfZone) {
        double sum = 0;
        for (Map.Entry<Integer, Subtotal> zone : byZone.entrySet()) {
            sum += valueOfZone.applyAsDouble(zone.getKey()) * zone.getValue().weight();
        }
        return sum;
    }

    /**
     * Returns the fraction of endpoints whose machine type has a mean weight of at least the
     * overall mean; the parameter p of the JSQ-DAS paper.
     */
    double fastFraction() {
        if (!isFastFractionCached) {
            fastFraction = computeFastFraction();
            isFastFractionCached = true;
        }
        return fastFraction;
    }

    private double computeFastFraction() {
        if (byMachineType.size() < 2) {
            return DEFAULT_FAST_FRACTION;
        }
        int fastCount = 0;
        for (Subtotal subtotal : byMachineType.values()) {
            fastCount += subtotal.hasMeanWeightOfAtLeast(total) ? subtotal.endpointCount : 0;
        }
        return (double) fastCount / total.endpointCount;
    }
}

package junctionhead;

import java.math.BigDecimal;
import java.util.Map;
import java.util.TreeMap;
import java.util.function.IntToDoubleFunction;
import junctionhead.Policy.Server;

/**
 * How many servers are listed and what weight they have, in all, by kind and by zone, kept as they
 * come and go. Sums are exact, in decimals as the list names weights: what comes and goes again
 * leaves no trace, none is ever taken anew, and kinds whose means are the same are not told apart
 * by how a sum was rounded.
 */
final class Census {
    private static final class Sum {
        int servers;
        private BigDecimal exact = BigDecimal.ZERO;
        private double weight;
        // The weight, since it last changed
        private boolean known = true;

        void add(Server s, boolean comes) {
            BigDecimal one =
                    Double.isFinite(s.weight()) ? BigDecimal.valueOf(s.weight()) : BigDecimal.ZERO;
            exact = comes ? exact.add(one) : exact.subtract(one);
            servers += comes ? 1 : -1;
            known = false;
        }

        double weight() {
            weight = known ? weight : exact.doubleValue();
            known = true;
            return weight;
        }
    }

    private final Sum all = new Sum();
    private final Map<Integer, Sum> kinds = new TreeMap<>();
    private final TreeMap<Integer, Sum> zones = new TreeMap<>();
    private double fastShare = 0.5;
    // That share, since the last change
    private boolean known = true;

    /** A server comes, or goes. */
    void count(Server s, boolean comes) {
        known = false;
        all.add(s, comes);
        count(kinds, s.kind(), s, comes);
        count(zones, s.zone(), s, comes);
    }

    private static void count(Map<Integer, Sum> sums, int number, Server s, boolean comes) {
        Sum sum = sums.computeIfAbsent(number, n -> new Sum());
        sum.add(s, comes);
        if (sum.servers == 0) {
            sums.remove(number);
        }
    }

    double weight() {
        return all.weight();
    }

    double meanWeight() {
        return all.servers == 0 ? 1 : all.weight() / all.servers;
    }

    /** Zones by number that servers name, the highest and those below. */
    int zones() {
        return zones.isEmpty() ? 0 : 1 + Math.max(-1, zones.lastKey());
    }

    /** Servers of a zone. */
    int inZone(int zone) {
        return zones.containsKey(zone) ? zones.get(zone).servers : 0;
    }

    /** The sum of what zones have of something, by their servers' weights. */
    double sum(IntToDoubleFunction ofZone) {
        double sum = 0;
        for (Map.Entry<Integer, Sum> zone : zones.entrySet()) {
            sum += ofZone.applyAsDouble(zone.getKey()) * zone.getValue().weight();
        }
        return sum;
    }

    /**
     * The paper's p: the share of servers of the kinds whose mean weight is above the mean of all.
     */
    double fastShare() {
        if (!known) {
            known = true;
            int fast = 0;
            for (Sum kind : kinds.values()) {
                BigDecimal kindMean = kind.exact.multiply(BigDecimal.valueOf(all.servers));
                BigDecimal mean = all.exact.multiply(BigDecimal.valueOf(kind.servers));
                fast += kindMean.compareTo(mean) >= 0 ? kind.servers : 0;
            }
            fastShare = kinds.size() < 2 ? 0.5 : (double) fast / all.servers;
        }
        return fastShare;
    }
}

package junctionhead;

import java.util.Arrays;
import java.util.stream.DoubleStream;
import junctionhead.Books.Request;
import junctionhead.Policy.RequestClass;

/**
 * Overload: which part of the arrivals is turned away, cheapest first, steered by how long answers
 * take against their aims. Guards against queues in which all wait and all are late. Each balancer
 * turns away a share of what it sees: a limit on attempts in flight, which for most balancers is
 * about one, refused most of a calm day.
 */
final class Refusal {
    // Above it the cheapest requests are turned away
    private static final double STRAIN_CHEAP = 0.40;
    // And above it the most valuable too
    private static final double STRAIN_DEAR = 0.60;
    // One answer counts no more than this
    private static final double STRAIN_MOST = 1.2;
    // Share of arrivals, per second and unit of strain
    private static final double GAIN = 0.5;
    // Times as fast calm lets requests in again
    private static final double RETURN = 3;
    // Of arrivals that a tier is taken for at least
    private static final double SHARE_LEAST = 0.1;
    // Over-share worth: at a start turned away
    private static final double CHEAP = 0.3;
    // Answers that the strain is a mean of at least
    private static final int KNOWN = 8;
    // µs, time constant of the strain
    private static final double QUICK = 2e6;
    // µs without news after which strain is forgotten
    private static final double FORGET = 2e6;

    private final Policy.Settings settings;
    // The distinct worths of requests, ascending
    private final double[] tiers;
    // Faded arrivals of each tier
    private final double[] asked;
    // Above it requests within their share are refused
    private final double hedgeLevel;
    // What a start turns away
    private final double startLevel;
    // Tiers turned away, the last of them in part
    private double level;
    // Moving mean of latency / aim
    private double strain;
    private int answers;
    private long strainAt;

    Refusal(Policy.Settings settings) {
        this.settings = settings;
        this.tiers =
                settings.classes().stream()
                        .flatMapToDouble(c -> DoubleStream.of(value(c, false), value(c, true)))
                        .distinct()
                        .sorted()
                        .toArray();
        this.asked = new double[tiers.length];
        double inShare =
                settings.classes().stream().mapToDouble(c -> value(c, false)).min().getAsDouble();
        while (tiers[(int) level] < Math.min(inShare, CHEAP * tiers[tiers.length - 1])) {
            level++;
        }
        this.startLevel = level;
        this.hedgeLevel = Arrays.binarySearch(tiers, inShare) + 0.05;
    }

    double level() {
        return level;
    }

    double strain() {
        return strain;
    }

    /** Whether no request within its tenant's share is turned away. */
    boolean sparesShares() {
        return level < hedgeLevel;
    }

    // What a unit of work is worth, which is what an overloaded fleet runs short of. Where worth
    // goes by
    // request, the dear ones are as a rule the heavy ones, and classes are turned away alike:
    // turned away
    // by worth, the light class starved while the fleet served a fraction of the requests it could.
    private double value(RequestClass kind, boolean overShare) {
        return (settings.worthByWork() ? kind.worth() : 1)
                * (overShare ? settings.overShareWorth() : 1);
    }

    /**
     * Whether to turn away this request: all of the tiers under the level, a part of the one it has
     * reached.
     */
    boolean refuses(Request r, double chance) {
        int tier = Arrays.binarySearch(tiers, value(r.kind, r.last));
        asked[tier]++;
        return tier + chance < level;
    }

    void fade(double keep) {
        Arrays.setAll(asked, i -> asked[i] * keep);
    }

    /** Where nothing was heard for a while the strain is forgotten. */
    void forget(long now, long elapsed) {
        if (now - strainAt > FORGET) {
            strain *= Math.exp(-elapsed / FORGET);
        }
    }

    /**
     * Moves the level by how far the strain is from what the tier on the edge may cause; {@code
     * capacity}, null where no other balancer is heard, bounds it at {@code rate} requests a second
     * of all balancers.
     */
    void steer(double seconds, Capacity capacity, double rate) {
        int edge = Math.min(tiers.length - 1, (int) level);
        double worth = tiers[edge] / tiers[tiers.length - 1];
        double bound = STRAIN_CHEAP + (STRAIN_DEAR - STRAIN_CHEAP) * worth;
        double share = asked[edge] / Math.max(1, Arrays.stream(asked).sum());
        double step = GAIN * seconds * (strain - bound) / Math.max(SHARE_LEAST, share);
        // Over-share traffic returns slowly: what crowding costs outweighs a cheap request.
        step = step > 0 ? step : step * (worth < CHEAP ? worth : RETURN);
        level = answers == 0 ? level : Math.max(0, Math.min(tiers.length - 0.05, level + step));
        if (capacity != null) {
            double most = Math.max(startLevel, levelOf(capacity.most(rate)));
            level = Math.max(levelOf(capacity.over(rate)), Math.min(level, most));
        }
    }

    // The level at which that part of the arrivals is turned away.
    private double levelOf(double part) {
        double left = part * Arrays.stream(asked).sum();
        int tier = 0;
        while (tier < tiers.length - 1 && left > asked[tier]) {
            left -= asked[tier++];
        }
        return Math.min(tiers.length - 0.05, tier + left / Math.max(1, asked[tier]));
    }

    /** An answer took so many times its aim, or an attempt ended as badly. */
    void strained(double sample, long now) {
        double news = 1 - Math.exp(-(now - strainAt) / QUICK);
        double weight = Math.max(1.0 / ++answers, Math.min(1.0 / KNOWN, news));
        strain += weight * (Math.min(STRAIN_MOST, sample) - strain);
        strainAt = now;
    }
}

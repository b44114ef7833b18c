package loadbalancer.routing.admission;

import java.util.Arrays;
import java.util.stream.DoubleStream;
import loadbalancer.routing.api.RequestClass;
import loadbalancer.routing.api.RoutingSettings;
import loadbalancer.routing.endpoint.PendingRequest;

/**
 * Overload: which part of the arrivals is turned away, cheapest first, steered by how long answers
 * take against their aims. Guards against queues in which all wait and all are late. Each balancer
 * turns away a share of what it sees: a limit on attempts in flight, which for most balancers is
 * about one, refused most of a calm day.
 */
public final class LoadShedder {
    // Above it the cheapest requests are turned away
    private static final double LOWEST_TIER_OVERLOAD_THRESHOLD = 0.40;
    // And above it the most valuable too
    private static final double HIGHEST_TIER_OVERLOAD_THRESHOLD = 0.60;
    // One answer counts no more than this
    private static final double MAX_OVERLOAD_SAMPLE = 1.2;
    // Share of arrivals, per second and unit of strain
    private static final double LEVEL_GAIN_PER_SECOND = 0.5;
    // Times as fast calm lets requests in again
    private static final double READMISSION_GAIN_FACTOR = 3;
    // Of arrivals that a tier is taken for at least
    private static final double MIN_TIER_FRACTION = 0.1;
    // Over-share worth: at a start turned away
    private static final double LOW_VALUE_RATIO = 0.3;
    // Answers that the strain is a mean of at least
    private static final int MIN_SAMPLES = 8;
    // µs, time constant of the strain
    private static final double SMOOTHING_MICROS = 2e6;
    // µs without news after which strain is forgotten
    private static final double SAMPLE_EXPIRY_MICROS = 2e6;

    private final RoutingSettings settings;
    // The distinct worths of requests, ascending
    private final double[] tierValues;
    // Faded arrivals of each tier
    private final double[] arrivalsByTier;
    // Above it requests within their share are refused
    private final double maxHedgingLevel;
    // What a start turns away
    private final double initialLevel;
    // Tiers turned away, the last of them in part
    private double level;
    // Moving mean of latency / aim
    private double overloadRatio;
    private int sampleCount;
    private long sampledAtMicros;

    public LoadShedder(RoutingSettings settings) {
        this.settings = settings;
        this.tierValues =
                settings.requestClasses().stream()
                        .flatMapToDouble(
                                requestClass ->
                                        DoubleStream.of(
                                                tierValue(requestClass, false),
                                                tierValue(requestClass, true)))
                        .distinct()
                        .sorted()
                        .toArray();
        this.arrivalsByTier = new double[tierValues.length];
        double minWithinQuotaValue =
                settings.requestClasses().stream()
                        .mapToDouble(requestClass -> tierValue(requestClass, false))
                        .min()
                        .getAsDouble();
        while (tierValues[(int) level]
                < Math.min(
                        minWithinQuotaValue, LOW_VALUE_RATIO * tierValues[tierValues.length - 1])) {
            level++;
        }
        this.initialLevel = level;
        this.maxHedgingLevel = Arrays.binarySearch(tierValues, minWithinQuotaValue) + 0.05;
    }

    public double level() {
        return level;
    }

    public double overloadRatio() {
        return overloadRatio;
    }

    /** Whether no request within its tenant's share is turned away. */
    public boolean admitsAllWithinQuota() {
        return level < maxHedgingLevel;
    }

    // What a unit of work is worth, which is what an overloaded fleet runs short of. Where worth
    // goes by
    // request, the dear ones are as a rule the heavy ones, and classes are turned away alike:
    // turned away
    // by worth, the light class starved while the fleet served a fraction of the requests it could.
    private double tierValue(RequestClass requestClass, boolean overQuota) {
        return (settings.weightPerWorkUnit() ? requestClass.priorityWeight() : 1)
                * (overQuota ? settings.overQuotaWeightFactor() : 1);
    }

    /**
     * Whether to turn away this request: all of the tiers under the level, a part of the one it has
     * reached.
     */
    public boolean shouldShed(PendingRequest request, double randomFraction) {
        int tier =
                Arrays.binarySearch(
                        tierValues, tierValue(request.requestClass, request.lowPriority));
        arrivalsByTier[tier]++;
        return tier + randomFraction < level;
    }

    public void decay(double retainedFraction) {
        Arrays.setAll(arrivalsByTier, i -> arrivalsByTier[i] * retainedFraction);
    }

    /** Where nothing was heard for a while the strain is forgotten. */
    public void decayStaleOverload(long now, long elapsedMicros) {
        if (now - sampledAtMicros > SAMPLE_EXPIRY_MICROS) {
            overloadRatio *= Math.exp(-elapsedMicros / SAMPLE_EXPIRY_MICROS);
        }
    }

    /**
     * Moves the level by how far the strain is from what the tier on the edge may cause; {@code
     * capacity}, null where no other balancer is heard, bounds it at {@code fleetRatePerSecond}
     * requests a second of all balancers.
     */
    public void updateLevel(
            double elapsedSeconds, FleetCapacity capacity, double fleetRatePerSecond) {
        int edgeTier = Math.min(tierValues.length - 1, (int) level);
        double relativeValue = tierValues[edgeTier] / tierValues[tierValues.length - 1];
        double threshold =
                LOWEST_TIER_OVERLOAD_THRESHOLD
                        + (HIGHEST_TIER_OVERLOAD_THRESHOLD - LOWEST_TIER_OVERLOAD_THRESHOLD)
                                * relativeValue;
        double tierFraction =
                arrivalsByTier[edgeTier] / Math.max(1, Arrays.stream(arrivalsByTier).sum());
        double step =
                LEVEL_GAIN_PER_SECOND
                        * elapsedSeconds
                        * (overloadRatio - threshold)
                        / Math.max(MIN_TIER_FRACTION, tierFraction);
        // Over-share traffic returns slowly: what crowding costs outweighs a cheap request.
        step =
                step > 0
                        ? step
                        : step
                                * (relativeValue < LOW_VALUE_RATIO
                                        ? relativeValue
                                        : READMISSION_GAIN_FACTOR);
        level =
                sampleCount == 0
                        ? level
                        : Math.max(0, Math.min(tierValues.length - 0.05, level + step));
        if (capacity != null) {
            double maxLevel =
                    Math.max(
                            initialLevel,
                            levelForShedFraction(capacity.maxShedFraction(fleetRatePerSecond)));
            level =
                    Math.max(
                            levelForShedFraction(capacity.excessFraction(fleetRatePerSecond)),
                            Math.min(level, maxLevel));
        }
    }

    // The level at which that part of the arrivals is turned away.
    private double levelForShedFraction(double shedFraction) {
        double remainingArrivals = shedFraction * Arrays.stream(arrivalsByTier).sum();
        int tier = 0;
        while (tier < tierValues.length - 1 && remainingArrivals > arrivalsByTier[tier]) {
            remainingArrivals -= arrivalsByTier[tier++];
        }
        return Math.min(
                tierValues.length - 0.05,
                tier + remainingArrivals / Math.max(1, arrivalsByTier[tier]));
    }

    /** An answer took so many times its aim, or an attempt ended as badly. */
    public void recordSample(double sample, long now) {
        double timeWeight = 1 - Math.exp(-(now - sampledAtMicros) / SMOOTHING_MICROS);
        double sampleWeight =
                Math.max(1.0 / ++sampleCount, Math.min(1.0 / MIN_SAMPLES, timeWeight));
        overloadRatio += sampleWeight * (Math.min(MAX_OVERLOAD_SAMPLE, sample) - overloadRatio);
        sampledAtMicros = now;
    }
}

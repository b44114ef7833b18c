package loadbalancer.routing.admission;

import java.util.Arrays;
import java.util.stream.DoubleStream;
import loadbalancer.routing.api.RequestClass;
import loadbalancer.routing.api.RoutingSettings;
import loadbalancer.routing.endpoint.PendingRequest;

/**
 * Decides which requests are rejected during an overload: a fraction of the arrivals, lowest value
 * first, so that the remaining requests meet their latency objective.
 *
 * <p>Requests of equal value form a tier. The level is the number of tiers that are shed; its
 * fractional part is the fraction of the last tier that is shed. The overload ratio is a moving
 * mean of latency divided by latency objective. An integral controller moves the level by the
 * difference between the overload ratio and the threshold of the tier at the level. {@link
 * FleetCapacity} bounds the level from both sides.
 *
 * <p>The shedder does not limit the attempts in flight: for most balancers of a large fleet such a
 * limit would be about one, and would reject most requests under normal load.
 *
 * <p>Confined to the thread of the routing policy.
 */
public final class LoadShedder {
    // Thresholds of the overload ratio.
    private static final double LOWEST_TIER_OVERLOAD_THRESHOLD = 0.40;
    private static final double HIGHEST_TIER_OVERLOAD_THRESHOLD = 0.60;

    private static final double MAX_OVERLOAD_SAMPLE = 1.2;
    // Fraction of arrivals that is shed or readmitted, per second and unit of overload ratio.
    private static final double LEVEL_GAIN_PER_SECOND = 0.5;
    private static final double READMISSION_GAIN_FACTOR = 3;
    // Lower bound of a tier's fraction of the arrivals when the controller step is computed.
    private static final double MIN_TIER_FRACTION = 0.1;
    // Values below this fraction of the highest value are low. Over-quota requests of low value
    // are shed initially.
    private static final double LOW_VALUE_RATIO = 0.3;
    // Fraction of the highest tier that is never shed.
    private static final double MIN_ADMITTED_TIERS = 0.05;
    private static final double HEDGING_LEVEL_MARGIN = 0.05;

    private static final int MIN_SAMPLES = 8;
    private static final double SMOOTHING_MICROS = 2e6;
    private static final double SAMPLE_EXPIRY_MICROS = 2e6;

    private final RoutingSettings settings;
    // Distinct values in ascending order.
    private final double[] tierValues;
    private final double[] decayedArrivalsByTier;
    private final double maxHedgingLevel;
    private final double initialLevel;
    private double level;
    private double overloadRatio;
    private int sampleCount;
    private long sampledAtMicros;

    /** Creates a shedder whose initial level sheds only over-quota requests of low value. */
    public LoadShedder(RoutingSettings settings) {
        this.settings = settings;
        this.tierValues =
                settings.requestClasses().stream()
                        .flatMapToDouble(this::valuesOf)
                        .distinct()
                        .sorted()
                        .toArray();
        this.decayedArrivalsByTier = new double[tierValues.length];
        double minWithinQuotaValue =
                settings.requestClasses().stream()
                        .mapToDouble(requestClass -> value(requestClass, false))
                        .min()
                        .getAsDouble();
        this.initialLevel = countTiersBelow(Math.min(minWithinQuotaValue, maxLowValue()));
        this.level = initialLevel;
        this.maxHedgingLevel =
                Arrays.binarySearch(tierValues, minWithinQuotaValue) + HEDGING_LEVEL_MARGIN;
    }

    private double maxLowValue() {
        return LOW_VALUE_RATIO * tierValues[tierValues.length - 1];
    }

    private int countTiersBelow(double value) {
        int count = 0;
        while (tierValues[count] < value) {
            count++;
        }
        return count;
    }

    private DoubleStream valuesOf(RequestClass requestClass) {
        return DoubleStream.of(value(requestClass, false), value(requestClass, true));
    }

    // Returns the value per unit of work, because work is the scarce resource in an overload. If
    // weights are per request, all classes have equal value: requests of high weight mostly need
    // much work, and when a class of low weight was shed first, none of its requests were served
    // although the fleet was below its capacity.
    private double value(RequestClass requestClass, boolean isLowPriority) {
        return (settings.weightPerWorkUnit() ? requestClass.priorityWeight() : 1)
                * (isLowPriority ? settings.overQuotaWeightFactor() : 1);
    }

    /** Returns the number of tiers that are shed, with the shed fraction of the last one. */
    public double level() {
        return level;
    }

    /** Returns the moving mean of latency divided by latency objective. */
    public double overloadRatio() {
        return overloadRatio;
    }

    /** Returns whether all requests within their tenant's quota are admitted. */
    public boolean admitsAllWithinQuota() {
        return level < maxHedgingLevel;
    }

    /**
     * Counts an arriving request and returns whether it is shed.
     *
     * @param randomFraction random number in [0, 1) that decides in a partially shed tier
     */
    public boolean shouldShed(PendingRequest request, double randomFraction) {
        double value = value(request.requestClass(), request.isLowPriority());
        int tier = Arrays.binarySearch(tierValues, value);
        decayedArrivalsByTier[tier]++;
        return tier + randomFraction < level;
    }

    /**
     * Adds a sample of the overload ratio.
     *
     * @param sample latency divided by latency objective of a success, or the value that the caller
     *     assigns to another outcome
     */
    public void recordSample(double sample, long now) {
        double elapsedWeight = 1 - Math.exp(-(now - sampledAtMicros) / SMOOTHING_MICROS);
        double boundedWeight = Math.min(1.0 / MIN_SAMPLES, elapsedWeight);
        sampleCount++;
        double sampleWeight = Math.max(1.0 / sampleCount, boundedWeight);
        overloadRatio += sampleWeight * (Math.min(MAX_OVERLOAD_SAMPLE, sample) - overloadRatio);
        sampledAtMicros = now;
    }

    /** Decays the overload ratio if the last sample is too old. */
    public void decayStaleOverload(long now, long elapsedMicros) {
        if (now - sampledAtMicros > SAMPLE_EXPIRY_MICROS) {
            overloadRatio *= Math.exp(-elapsedMicros / SAMPLE_EXPIRY_MICROS);
        }
    }

    /** Multiplies the arrival counts of all tiers by the retained fraction. */
    public void decay(double retainedFraction) {
        for (int tier = 0; tier < decayedArrivalsByTier.length; tier++) {
            decayedArrivalsByTier[tier] *= retainedFraction;
        }
    }

    /**
     * Moves the level by the overload ratio alone. Used while no other balancer is heard: then the
     * traffic of all balancers is unknown and cannot be compared with the capacity.
     *
     * @param elapsedSeconds time since the last update
     */
    public void updateLevel(double elapsedSeconds) {
        if (sampleCount > 0) {
            level = Math.max(0, Math.min(maxLevel(), level + levelStep(elapsedSeconds)));
        }
    }

    /**
     * Moves the level by the overload ratio, within the bounds that the capacity sets.
     *
     * @param elapsedSeconds time since the last update
     * @param capacity estimated capacity of the available endpoints
     * @param fleetRatePerSecond arrival rate of all balancers
     */
    public void updateLevelWithinCapacity(
            double elapsedSeconds, FleetCapacity capacity, double fleetRatePerSecond) {
        updateLevel(elapsedSeconds);
        double maxCapacityLevel =
                levelForShedFraction(capacity.maxShedFraction(fleetRatePerSecond));
        double upperBound = Math.max(initialLevel, maxCapacityLevel);
        double lowerBound = levelForShedFraction(capacity.excessFraction(fleetRatePerSecond));
        level = Math.max(lowerBound, Math.min(level, upperBound));
    }

    private double levelStep(double elapsedSeconds) {
        int tierAtLevel = Math.min(tierValues.length - 1, (int) level);
        double relativeValue = tierValues[tierAtLevel] / tierValues[tierValues.length - 1];
        double threshold =
                LOWEST_TIER_OVERLOAD_THRESHOLD
                        + (HIGHEST_TIER_OVERLOAD_THRESHOLD - LOWEST_TIER_OVERLOAD_THRESHOLD)
                                * relativeValue;
        double tierFraction = decayedArrivalsByTier[tierAtLevel] / Math.max(1, totalArrivals());
        double step =
                LEVEL_GAIN_PER_SECOND
                        * elapsedSeconds
                        * (overloadRatio - threshold)
                        / Math.max(MIN_TIER_FRACTION, tierFraction);
        return step > 0 ? step : step * readmissionFactor(relativeValue);
    }

    // Readmits requests of low value slowly, because their load costs more than their value.
    private static double readmissionFactor(double relativeValue) {
        return relativeValue < LOW_VALUE_RATIO ? relativeValue : READMISSION_GAIN_FACTOR;
    }

    private double levelForShedFraction(double shedFraction) {
        double remainingArrivals = shedFraction * totalArrivals();
        int tier = 0;
        while (tier < tierValues.length - 1 && remainingArrivals > decayedArrivalsByTier[tier]) {
            remainingArrivals -= decayedArrivalsByTier[tier];
            tier++;
        }
        double tierPart = remainingArrivals / Math.max(1, decayedArrivalsByTier[tier]);
        return Math.min(maxLevel(), tier + tierPart);
    }

    private double maxLevel() {
        return tierValues.length - MIN_ADMITTED_TIERS;
    }

    private double totalArrivals() {
        return Arrays.stream(decayedArrivalsByTier).sum();
    }
}

package loadbalancer.routing.admission;

import java.util.Arrays;
import java.util.stream.DoubleStream;
import loadbalancer.routing.api.RequestClass;
import loadbalancer.routing.api.RoutingSettings;
import loadbalancer.routing.endpoint.PendingRequest;

/**
 * Sheds load in an overload: rejects a part of the arrivals, those of the lowest value first, so
 * that the rest is in time and not all is late.
 *
 * <p>Requests of equal value form a tier. The level is the number of tiers that are shed, the last
 * one of them in part; an integral controller moves it by how far the overload ratio, a moving mean
 * of latency over latency objective, is from the threshold of the tier at the level. {@link
 * FleetCapacity} bounds it from both sides.
 *
 * <p>It sheds a fraction of the arrivals. A limit on attempts in flight, which is about one for
 * most balancers of a large fleet, would reject most requests under normal load. Confined to the
 * thread of the routing policy.
 */
public final class LoadShedder {
    // Thresholds of the overload ratio
    private static final double LOWEST_TIER_OVERLOAD_THRESHOLD = 0.40;
    private static final double HIGHEST_TIER_OVERLOAD_THRESHOLD = 0.60;

    private static final double MAX_OVERLOAD_SAMPLE = 1.2;
    // Fraction of arrivals by which the level moves, per second and unit of overload
    private static final double LEVEL_GAIN_PER_SECOND = 0.5;
    private static final double READMISSION_GAIN_FACTOR = 3;
    // Of the arrivals, what a tier counts as at least
    private static final double MIN_TIER_FRACTION = 0.1;
    // Of the highest value, below which over-quota requests are shed from the start
    private static final double LOW_VALUE_RATIO = 0.3;
    // The part of the highest tier that is never shed
    private static final double MIN_ADMITTED_TIERS = 0.05;
    private static final double HEDGING_LEVEL_MARGIN = 0.05;

    private static final int MIN_SAMPLES = 8;
    private static final double SMOOTHING_MICROS = 2e6;
    private static final double SAMPLE_EXPIRY_MICROS = 2e6;

    private final RoutingSettings settings;
    // Ascending and distinct
    private final double[] tierValues;
    private final double[] decayedArrivalsByTier;
    private final double maxHedgingLevel;
    private final double initialLevel;
    private double level;
    private double overloadRatio;
    private int sampleCount;
    private long sampledAtMicros;

    /** Starts at a level that sheds over-quota requests of low value only. */
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

    // Value per unit of work, since work is what an overloaded fleet is short of. Where weights are
    // given by request, the valuable ones are mostly the heavy ones, so classes count alike: shed
    // by value, a light class got nothing while the fleet served a fraction of what it could.
    private double value(RequestClass requestClass, boolean isLowPriority) {
        return (settings.weightPerWorkUnit() ? requestClass.priorityWeight() : 1)
                * (isLowPriority ? settings.overQuotaWeightFactor() : 1);
    }

    // ---------------------------------------------------------------- queries

    /** Number of tiers that are shed, the last one in part. */
    public double level() {
        return level;
    }

    /** Moving mean of latency over latency objective. */
    public double overloadRatio() {
        return overloadRatio;
    }

    /** Whether no request within its tenant's quota is shed. */
    public boolean admitsAllWithinQuota() {
        return level < maxHedgingLevel;
    }

    /**
     * Counts a request that arrives; returns whether it is shed.
     *
     * @param randomFraction random, in [0, 1); decides within the tier that is shed in part
     */
    public boolean shouldShed(PendingRequest request, double randomFraction) {
        double value = value(request.requestClass(), request.isLowPriority());
        int tier = Arrays.binarySearch(tierValues, value);
        decayedArrivalsByTier[tier]++;
        return tier + randomFraction < level;
    }

    // ---------------------------------------------------------------- samples

    /**
     * Adds a sample of the overload ratio: latency over latency objective of a success, or what
     * another outcome counts as.
     */
    public void recordSample(double sample, long now) {
        double elapsedWeight = 1 - Math.exp(-(now - sampledAtMicros) / SMOOTHING_MICROS);
        double boundedWeight = Math.min(1.0 / MIN_SAMPLES, elapsedWeight);
        sampleCount++;
        double sampleWeight = Math.max(1.0 / sampleCount, boundedWeight);
        overloadRatio += sampleWeight * (Math.min(MAX_OVERLOAD_SAMPLE, sample) - overloadRatio);
        sampledAtMicros = now;
    }

    /** Decays the overload ratio where there has been no sample for a while. */
    public void decayStaleOverload(long now, long elapsedMicros) {
        if (now - sampledAtMicros > SAMPLE_EXPIRY_MICROS) {
            overloadRatio *= Math.exp(-elapsedMicros / SAMPLE_EXPIRY_MICROS);
        }
    }

    /** Decays the counts of arrivals. */
    public void decay(double retainedFraction) {
        for (int tier = 0; tier < decayedArrivalsByTier.length; tier++) {
            decayedArrivalsByTier[tier] *= retainedFraction;
        }
    }

    // ---------------------------------------------------------------- controller

    /**
     * Moves the level by the overload ratio alone: where no other balancer is heard, the traffic of
     * all balancers is unknown, and the capacity of the fleet says nothing.
     *
     * @param elapsedSeconds since the last update
     */
    public void updateLevel(double elapsedSeconds) {
        if (sampleCount > 0) {
            level = Math.max(0, Math.min(maxLevel(), level + levelStep(elapsedSeconds)));
        }
    }

    /**
     * Moves the level by the overload ratio, within the bounds of the capacity.
     *
     * @param elapsedSeconds since the last update
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
        int edgeTier = Math.min(tierValues.length - 1, (int) level);
        double relativeValue = tierValues[edgeTier] / tierValues[tierValues.length - 1];
        double threshold =
                LOWEST_TIER_OVERLOAD_THRESHOLD
                        + (HIGHEST_TIER_OVERLOAD_THRESHOLD - LOWEST_TIER_OVERLOAD_THRESHOLD)
                                * relativeValue;
        double tierFraction = decayedArrivalsByTier[edgeTier] / Math.max(1, totalArrivals());
        double step =
                LEVEL_GAIN_PER_SECOND
                        * elapsedSeconds
                        * (overloadRatio - threshold)
                        / Math.max(MIN_TIER_FRACTION, tierFraction);
        return step > 0 ? step : step * readmissionFactor(relativeValue);
    }

    // Requests of low value are readmitted slowly: the load costs more than they are worth.
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

package loadbalancer.testbed.emulation;

import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.stream.IntStream;
import loadbalancer.routing.api.ObjectiveWeights;

/**
 * Builds the settings of a balancer's configuration: a tree of maps and lists with the platform's
 * keys and units. Top-level keys appear in the order of the calls, and keys of nested objects in a
 * fixed order. Not thread-safe.
 */
public final class BalancerSettingsBuilder {
    private static final int CLOCK_TICK_MICROS = 5_000;
    private static final int MAX_ATTEMPTS = 4;
    private static final long CONNECT_TIMEOUT_MICROS = 150_000;
    private static final long IDLE_TIMEOUT_MICROS = 5_000_000;
    private static final long MAX_RETRY_AFTER_MICROS = 2_500_000;
    private static final long RESPONSE_SLACK_MICROS = 20_000;
    private static final long DRAIN_GRACE_MICROS = 2_500_000;

    private final Map<String, Object> settings = new LinkedHashMap<>();

    /**
     * Holds the bounds that a balancer must observe: how late a response may be, and how upstreams
     * drain and start.
     *
     * @param responseSlackMicros how long after its deadline a final response may be sent, in µs
     * @param drainGraceMicros how long a draining upstream continues to process its requests, in µs
     * @param initialCapacityFraction the fraction of its capacity that an upstream has at its start
     * @param slowStartMicros how long after its start an upstream reaches its full capacity, in µs
     * @param overloadFactor the multiple of its capacity that overloads an upstream in slow start
     * @param overloadWindowMicros the window over which the load of an upstream in slow start is
     *     measured, in µs
     */
    public record Bounds(
            long responseSlackMicros,
            long drainGraceMicros,
            double initialCapacityFraction,
            long slowStartMicros,
            double overloadFactor,
            long overloadWindowMicros) {
        /** Returns bounds with the default response slack and drain grace. */
        public static Bounds withDefaultSlackAndGrace(
                double initialCapacityFraction,
                long slowStartMicros,
                double overloadFactor,
                long overloadWindowMicros) {
            return new Bounds(
                    RESPONSE_SLACK_MICROS,
                    DRAIN_GRACE_MICROS,
                    initialCapacityFraction,
                    slowStartMicros,
                    overloadFactor,
                    overloadWindowMicros);
        }
    }

    /** Returns names of zones or machine types: the prefix followed by 0 to {@code count} - 1. */
    public static List<String> numberedNames(String prefix, int count) {
        return IntStream.range(0, count).mapToObj(number -> prefix + number).toList();
    }

    /**
     * Returns the settings that every request class has; the caller may add others.
     *
     * @param idempotency the kind of idempotency, in the platform's terms
     */
    public static Map<String, Object> requestClass(
            String name, String idempotency, long latencyObjectiveMicros, long deadlineMicros) {
        Map<String, Object> requestClass = new LinkedHashMap<>();
        requestClass.put("Name", name);
        requestClass.put("Idempotency", idempotency);
        requestClass.put("GoalTime", latencyObjectiveMicros);
        requestClass.put("GiveUp", deadlineMicros);
        return requestClass;
    }

    /**
     * Adds the priority weight of its responses to a request class, whose bodies are not streamed.
     *
     * @param lateWeightFactor the fraction of the weight that a late response has
     */
    public static void putPriority(
            Map<String, Object> requestClass, double priorityWeight, double lateWeightFactor) {
        requestClass.put("Gain", priorityWeight);
        requestClass.put("LateShare", lateWeightFactor);
        requestClass.put("Stream", false);
    }

    /** Returns the settings of one tenant, with its quota in requests per second. */
    public static Map<String, Object> tenant(String name, double requestsPerSecond) {
        Map<String, Object> tenant = new LinkedHashMap<>();
        tenant.put("Name", name);
        tenant.put("AllowancePerS", requestsPerSecond);
        return tenant;
    }

    /** Sets the zones, the number of balancers, and this balancer's rank and zone index. */
    public BalancerSettingsBuilder tier(
            List<String> zoneNames, int balancerCount, int rank, int zone) {
        settings.put("Areas", zoneNames);
        settings.put("Balancers", balancerCount);
        settings.put("Rank", rank);
        settings.put("Locality", zone);
        return this;
    }

    /** Sets the names of the machine types of upstreams. */
    public BalancerSettingsBuilder machineTypes(List<String> names) {
        settings.put("Kinds", names);
        return this;
    }

    /** Sets the request classes, discovery by watch and the site's clock tick. */
    public BalancerSettingsBuilder requestClasses(List<Map<String, Object>> requestClasses) {
        settings.put("Classes", requestClasses);
        settings.put("MembershipMode", "push");
        settings.put("Quantum", CLOCK_TICK_MICROS);
        return this;
    }

    /**
     * Sets the weights by which operators rate the service.
     *
     * @param overQuotaWeightFactor the factor on the weight of requests over their tenant's quota
     */
    public BalancerSettingsBuilder objective(
            double overQuotaWeightFactor, ObjectiveWeights weights) {
        settings.put("OverShareWorth", overQuotaWeightFactor);
        Map<String, Object> blend = new LinkedHashMap<>();
        blend.put("Whole", weights.overall());
        blend.put("WorstClass", weights.worstClass());
        blend.put("WorstTenant", weights.worstTenant());
        blend.put("WorstWindow", weights.worstWindow());
        settings.put("Blend", blend);
        return this;
    }

    /**
     * Sets the cost of an attempt in another zone and of a message between balancers, in points.
     */
    public BalancerSettingsBuilder costs(double crossZone, double gossip) {
        Map<String, Object> prices = new LinkedHashMap<>();
        prices.put("CrossZone", crossZone);
        prices.put("Peer", gossip);
        settings.put("Prices", prices);
        return this;
    }

    /**
     * Sets the cost of a message between balancers, in points; attempts in other zones are free.
     */
    public BalancerSettingsBuilder gossipCost(double gossip) {
        Map<String, Object> prices = new LinkedHashMap<>();
        prices.put("Peer", gossip);
        settings.put("Prices", prices);
        return this;
    }

    /** Sets the default limits, with a timeout of idle connections. */
    public BalancerSettingsBuilder defaultLimits() {
        Map<String, Object> limits =
                limits(MAX_ATTEMPTS, CONNECT_TIMEOUT_MICROS, MAX_RETRY_AFTER_MICROS);
        limits.put("IdleClose", IDLE_TIMEOUT_MICROS);
        settings.put("Limits", limits);
        return this;
    }

    /** Sets limits without a timeout of idle connections. Durations are in µs. */
    public BalancerSettingsBuilder limitsWithoutIdleTimeout(
            int maxAttempts, long connectTimeoutMicros, long maxRetryAfterMicros) {
        settings.put("Limits", limits(maxAttempts, connectTimeoutMicros, maxRetryAfterMicros));
        return this;
    }

    private static Map<String, Object> limits(
            int maxAttempts, long connectTimeoutMicros, long maxRetryAfterMicros) {
        Map<String, Object> limits = new LinkedHashMap<>();
        limits.put("TryLimit", maxAttempts);
        limits.put("MayDuplicate", true);
        limits.put("Cancel", true);
        limits.put("Probes", true);
        limits.put("PeerMessages", true);
        limits.put("DialTimeout", connectTimeoutMicros);
        limits.put("RetryAfter", true);
        limits.put("MaxRetryAfter", maxRetryAfterMicros);
        return limits;
    }

    /** Sets the bounds of responses and upstreams. */
    public BalancerSettingsBuilder bounds(Bounds bounds) {
        Map<String, Object> rules = new LinkedHashMap<>();
        rules.put("AnswerSlack", bounds.responseSlackMicros());
        rules.put("DrainGrace", bounds.drainGraceMicros());
        rules.put("ColdFrom", bounds.initialCapacityFraction());
        rules.put("RampTime", bounds.slowStartMicros());
        rules.put("OverloadFactor", bounds.overloadFactor());
        rules.put("Fall", bounds.overloadWindowMicros());
        settings.put("Rules", rules);
        return this;
    }

    /** Sets the tenants; the key is omitted if there are none. */
    public BalancerSettingsBuilder tenants(List<Map<String, Object>> tenants) {
        if (!tenants.isEmpty()) {
            settings.put("Realms", tenants);
        }
        return this;
    }

    /** Returns a copy of the settings that have been set so far. */
    public Map<String, Object> build() {
        return new LinkedHashMap<>(settings);
    }
}

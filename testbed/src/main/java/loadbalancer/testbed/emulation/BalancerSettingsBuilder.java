package loadbalancer.testbed.emulation;

import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.stream.IntStream;
import loadbalancer.routing.api.ObjectiveWeights;

/**
 * Builds the settings of a balancer's configuration: a tree of maps and lists with the platform's
 * keys and units. Keys appear in the order of the calls, and those of nested objects in the order
 * in which they are written here. Not thread-safe.
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
     * What a balancer must observe: how late a response may be, and how upstreams drain and start.
     *
     * @param responseSlackMicros how much later than its deadline a final response may be, µs
     * @param drainGraceMicros how long a draining upstream finishes its requests, µs
     * @param initialCapacityFraction the part of its capacity that a started upstream has at once
     * @param slowStartMicros how long after its start an upstream reaches its full capacity, µs
     * @param overloadFactor the multiple of its capacity that overloads an upstream in slow start
     * @param overloadWindowMicros the window over which this is measured, µs
     */
    public record Bounds(
            long responseSlackMicros,
            long drainGraceMicros,
            double initialCapacityFraction,
            long slowStartMicros,
            double overloadFactor,
            long overloadWindowMicros) {
        /** Bounds with the site's response slack and drain grace. */
        public static Bounds ofSite(
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

    /** The names of {@code count} zones or machine types: the prefix and a number from 0. */
    public static List<String> numberedNames(String prefix, int count) {
        return IntStream.range(0, count).mapToObj(number -> prefix + number).toList();
    }

    /**
     * The settings of one request class that every class has; others may be added.
     *
     * @param idempotency in the platform's term
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

    /** Adds to a request class what its responses are worth; its bodies are not streamed. */
    public static void putPriority(
            Map<String, Object> requestClass, double priorityWeight, double lateWeightFactor) {
        requestClass.put("Gain", priorityWeight);
        requestClass.put("LateShare", lateWeightFactor);
        requestClass.put("Stream", false);
    }

    /** The settings of one tenant, with its quota in requests a second. */
    public static Map<String, Object> tenant(String name, double requestsPerSecond) {
        Map<String, Object> tenant = new LinkedHashMap<>();
        tenant.put("Name", name);
        tenant.put("AllowancePerS", requestsPerSecond);
        return tenant;
    }

    /** The zones, the size of the tier and this balancer's place in both. */
    public BalancerSettingsBuilder tier(
            List<String> zoneNames, int balancerCount, int rank, int zone) {
        settings.put("Areas", zoneNames);
        settings.put("Balancers", balancerCount);
        settings.put("Rank", rank);
        settings.put("Locality", zone);
        return this;
    }

    /** The names of the machine types of upstreams. */
    public BalancerSettingsBuilder machineTypes(List<String> names) {
        settings.put("Kinds", names);
        return this;
    }

    /** The request classes, followed by discovery by watch and the site's clock tick. */
    public BalancerSettingsBuilder requestClasses(List<Map<String, Object>> requestClasses) {
        settings.put("Classes", requestClasses);
        settings.put("MembershipMode", "push");
        settings.put("Quantum", CLOCK_TICK_MICROS);
        return this;
    }

    /**
     * How the operators weigh the service.
     *
     * @param overQuotaWeightFactor the weight of requests over their tenant's quota
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

    /** What an attempt in another zone and a message between balancers cost, in points. */
    public BalancerSettingsBuilder costs(double crossZone, double gossip) {
        Map<String, Object> prices = new LinkedHashMap<>();
        prices.put("CrossZone", crossZone);
        prices.put("Peer", gossip);
        settings.put("Prices", prices);
        return this;
    }

    /** What a message between balancers costs, in points; attempts in other zones are free. */
    public BalancerSettingsBuilder gossipCost(double gossip) {
        Map<String, Object> prices = new LinkedHashMap<>();
        prices.put("Peer", gossip);
        settings.put("Prices", prices);
        return this;
    }

    /** The site's limits, with its timeout of idle connections. */
    public BalancerSettingsBuilder siteLimits() {
        Map<String, Object> limits =
                limits(MAX_ATTEMPTS, CONNECT_TIMEOUT_MICROS, MAX_RETRY_AFTER_MICROS);
        limits.put("IdleClose", IDLE_TIMEOUT_MICROS);
        settings.put("Limits", limits);
        return this;
    }

    /** Limits without a timeout of idle connections; durations in µs. */
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

    /** The bounds of responses and upstreams. */
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

    /** The tenants; without any the key is left out. */
    public BalancerSettingsBuilder tenants(List<Map<String, Object>> tenants) {
        if (!tenants.isEmpty()) {
            settings.put("Realms", tenants);
        }
        return this;
    }

    /** The settings as built so far. */
    public Map<String, Object> build() {
        return new LinkedHashMap<>(settings);
    }
}

package loadbalancer.config;

import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Set;
import java.util.TreeSet;
import java.util.function.BiFunction;
import loadbalancer.routing.api.DeduplicationScope;
import loadbalancer.routing.api.DiscoveryMode;
import loadbalancer.routing.api.Idempotency;
import loadbalancer.routing.api.LoadReportSource;
import loadbalancer.routing.api.ObjectiveWeights;
import loadbalancer.routing.api.RequestClass;
import loadbalancer.routing.api.RoutingBounds;
import loadbalancer.routing.api.RoutingCosts;
import loadbalancer.routing.api.RoutingLimits;
import loadbalancer.routing.api.RoutingSettings;
import loadbalancer.routing.api.Tenant;

/**
 * Reads the settings of a balancer from path=value pairs, whether they come from the simulator's
 * wire or from the configuration of a real balancer; keys that it doesn't know are passed over.
 */
public final class SettingsReader {
    // The words of the settings, in upper case; they stay whatever the constants are called.
    private static final Map<String, DiscoveryMode> DISCOVERY_MODES =
            Map.of("PUSH", DiscoveryMode.PUSH, "ASK", DiscoveryMode.POLL);
    private static final Map<String, LoadReportSource> LOAD_REPORTS =
            Map.of(
                    "ANSWERS",
                    LoadReportSource.RESPONSES,
                    "PROBE",
                    LoadReportSource.HEALTH_CHECKS,
                    "NONE",
                    LoadReportSource.NONE);
    private static final Map<String, Idempotency> IDEMPOTENCY =
            Map.of(
                    "SAFE",
                    Idempotency.IDEMPOTENT,
                    "KEYED",
                    Idempotency.IDEMPOTENCY_KEY,
                    "UNSAFE",
                    Idempotency.NON_IDEMPOTENT);
    private static final Map<String, DeduplicationScope> SCOPES =
            Map.of(
                    "ALL",
                    DeduplicationScope.ALL,
                    "ZONE",
                    DeduplicationScope.ZONE,
                    "CELL",
                    DeduplicationScope.CELL);

    private final Map<String, String> values;
    private final BiFunction<String, String, ? extends RuntimeException> errorFactory;

    private SettingsReader(
            Map<String, String> values,
            BiFunction<String, String, ? extends RuntimeException> errorFactory) {
        this.values = values;
        this.errorFactory = errorFactory;
    }

    /**
     * Reads {@code values}.
     *
     * @param errorFactory makes the exception for a path and what is wrong there
     */
    public static BootSettings read(
            Map<String, String> values,
            BiFunction<String, String, ? extends RuntimeException> errorFactory) {
        SettingsReader reader = new SettingsReader(values, errorFactory);
        try {
            return new BootSettings(
                    reader.settings(),
                    reader.listValue("Stats.Fields"),
                    reader.names("Classes"),
                    reader.names("Realms"),
                    reader.listValue("Areas"),
                    reader.listValue("Kinds"),
                    reader.longValue("Limits.IdleClose", 0L));
        } catch (IllegalArgumentException e) {
            throw errorFactory.apply("BootInfo", e.getMessage());
        }
    }

    private List<String> listValue(String path) {
        String value = stringValue(path, "");
        return value.isEmpty() ? List.of() : List.of(value.split(","));
    }

    private List<String> names(String path) {
        List<String> names = new ArrayList<>();
        for (int i = 0; i < count(path, false); i++) {
            names.add(stringValue(path + "." + i + ".Name", ""));
        }
        return List.copyOf(names);
    }

    private RoutingSettings settings() {
        int zoneCount = stringValue("Areas", "").split(",").length;
        int machineTypeCount = stringValue("Kinds", "").split(",").length;
        List<RequestClass> requestClasses = new ArrayList<>();
        for (int i = 0; i < count("Classes", true); i++) {
            requestClasses.add(requestClass("Classes." + i, zoneCount, machineTypeCount));
        }
        List<Tenant> tenants = new ArrayList<>();
        for (int i = 0; i < count("Realms", false); i++) {
            tenants.add(new Tenant(doubleValue("Realms." + i + ".AllowancePerS", null)));
        }
        boolean sendsRetryAfter = booleanValue("Limits.RetryAfter", false);
        int maxAttempts = (int) Math.min(Integer.MAX_VALUE, longValue("Limits.TryLimit", null));
        RoutingLimits limits =
                new RoutingLimits(
                        maxAttempts,
                        booleanValue("Limits.MayDuplicate", null),
                        booleanValue("Limits.Cancel", null),
                        booleanValue("Limits.Probes", null),
                        longValue("Limits.DialTimeout", 0L),
                        sendsRetryAfter ? longValue("Limits.MaxRetryAfter", 0L) : 0L,
                        booleanValue("Limits.PeerMessages", false));
        boolean polls = enumValue(DISCOVERY_MODES, "MembershipMode", null) == DiscoveryMode.POLL;
        RoutingBounds bounds =
                new RoutingBounds(
                        longValue("Rules.AnswerSlack", null),
                        longValue("Rules.DrainGrace", null),
                        longValue("Rules.AskWithin", polls ? null : 0L),
                        doubleValue("Rules.ColdFrom", null),
                        longValue("Rules.RampTime", null),
                        doubleValue("Rules.OverloadFactor", null),
                        longValue("Rules.Fall", null),
                        longValue("Rules.OrderPause", 0L));
        ObjectiveWeights objectiveWeights =
                new ObjectiveWeights(
                        doubleValue("Blend.Whole", 1.0),
                        doubleValue("Blend.WorstWindow", 0.0),
                        doubleValue("Blend.WorstClass", 0.0),
                        doubleValue("Blend.WorstTenant", 0.0));
        return new RoutingSettings(
                (int) Math.min(Integer.MAX_VALUE, longValue("Balancers", null)),
                (int) longValue("Rank", 0L),
                ownZone(zoneCount),
                List.copyOf(requestClasses),
                List.copyOf(tenants),
                doubleValue("OverShareWorth", 1.0),
                objectiveWeights,
                new RoutingCosts(
                        doubleValue("Prices.CrossZone", 0.0),
                        doubleValue("Prices.Handshake", 0.0),
                        doubleValue("Prices.Peer", 0.0)),
                stringValue("WorthBy", "request").equals("work"),
                polls ? DiscoveryMode.POLL : DiscoveryMode.PUSH,
                enumValue(LOAD_REPORTS, "Stats.How", "none"),
                booleanValue("Specifics.WarmKeys", false),
                limits,
                bounds,
                longValue("Quantum", null));
    }

    private RequestClass requestClass(String path, int zoneCount, int machineTypeCount) {
        String prefix = path + ".";
        try {
            return new RequestClass(
                    enumValue(IDEMPOTENCY, prefix + "Idempotency", null),
                    enumValue(SCOPES, prefix + "DedupScope", "all"),
                    longValue(prefix + "KeyTtl", 0L),
                    longValue(prefix + "GoalTime", null),
                    longValue(prefix + "GiveUp", null),
                    doubleValue(prefix + "AimStretch", 0.0),
                    doubleValue(prefix + "Gain", 1.0),
                    doubleValue(prefix + "LateShare", 0.0),
                    booleanValue(prefix + "Stream", false),
                    booleanValue(prefix + "InOrder", false),
                    indexSet(prefix + "AllowedIn", zoneCount),
                    indexSet(prefix + "RunsOn", machineTypeCount));
        } catch (IllegalArgumentException e) {
            throw errorFactory.apply(path, e.getMessage());
        }
    }

    private String stringValue(String path, String defaultValue) {
        String value = values.get(path);
        if (value != null && !value.equals("-")) {
            return value;
        }
        if (defaultValue == null) {
            throw errorFactory.apply(path, "required setting is missing");
        }
        return defaultValue;
    }

    private long longValue(String path, Long defaultValue) {
        String value = stringValue(path, defaultValue == null ? null : defaultValue.toString());
        try {
            return Long.parseLong(value);
        } catch (NumberFormatException e) {
            throw errorFactory.apply(path, "not a whole number: '" + value + "'");
        }
    }

    private double doubleValue(String path, Double defaultValue) {
        String value = stringValue(path, defaultValue == null ? null : defaultValue.toString());
        try {
            double number = Double.parseDouble(value);
            if (Double.isFinite(number)) {
                return number;
            }
        } catch (NumberFormatException e) {
            throw errorFactory.apply(path, "not a number: '" + value + "'");
        }
        throw errorFactory.apply(path, "not a finite number: '" + value + "'");
    }

    private boolean booleanValue(String path, Boolean defaultValue) {
        String value = stringValue(path, defaultValue == null ? null : defaultValue.toString());
        return switch (value) {
            case "true", "1" -> true;
            case "false", "0" -> false;
            default -> throw errorFactory.apply(path, "not true or false: '" + value + "'");
        };
    }

    private int count(String path, boolean required) {
        long count = longValue(path + ".count", required ? null : 0L);
        if (count < 0 || count > values.size()) {
            throw errorFactory.apply(path + ".count", "not a count of what follows: " + count);
        }
        return (int) count;
    }

    /** The zone of this instance; it must be one of the named ones, where zones are named. */
    private int ownZone(int zoneCount) {
        long zone = longValue("Locality", 0L);
        if (zone < 0 || zone >= zoneCount && values.containsKey("Areas")) {
            throw errorFactory.apply(
                    "Locality", "not between 0 and " + (zoneCount - 1) + ": " + zone);
        }
        return (int) zone;
    }

    /** Positions in a list of {@code size} names; empty where the setting is not given. */
    private Set<Integer> indexSet(String path, int size) {
        Set<Integer> indexes = new TreeSet<>();
        String value = stringValue(path, "");
        for (String index : value.isEmpty() ? new String[0] : value.split(",", -1)) {
            if (!index.matches("\\d{1,9}") || Integer.parseInt(index) >= size) {
                throw errorFactory.apply(
                        path, "not between 0 and " + (size - 1) + ": '" + index + "'");
            }
            indexes.add(Integer.valueOf(index));
        }
        return indexes;
    }

    /** The value that a setting's word stands for, in upper or lower case. */
    private <E> E enumValue(Map<String, E> byWord, String path, String defaultValue) {
        String value = stringValue(path, defaultValue);
        E found = byWord.get(value.toUpperCase(Locale.ROOT));
        if (found == null) {
            throw errorFactory.apply(path, "unknown word: '" + value + "'");
        }
        return found;
    }
}

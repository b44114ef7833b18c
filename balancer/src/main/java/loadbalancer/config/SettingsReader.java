package loadbalancer.config;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import loadbalancer.routing.api.DiscoveryMode;
import loadbalancer.routing.api.ObjectiveWeights;
import loadbalancer.routing.api.RequestClass;
import loadbalancer.routing.api.RoutingBounds;
import loadbalancer.routing.api.RoutingCosts;
import loadbalancer.routing.api.RoutingLimits;
import loadbalancer.routing.api.RoutingSettings;
import loadbalancer.routing.api.Tenant;

/**
 * Reads the platform's settings for a balancer from path=value pairs, which come from the
 * simulator's wire or from the configuration of a real balancer. Unknown paths are ignored.
 * Durations are in µs. Confined to the thread that reads the settings.
 */
public final class SettingsReader {
    private static final String CLASSES = "Classes";
    private static final String TENANTS = "Realms";
    private static final String ZONES = "Areas";
    private static final String MACHINE_TYPES = "Kinds";
    private static final String OWN_ZONE = "Locality";
    // Path in the message of an error that concerns several settings.
    private static final String ALL_SETTINGS = "BootInfo";

    private final SettingsValues values;
    private final int zoneCount;
    private final int machineTypeCount;

    private SettingsReader(SettingsValues values) {
        this.values = values;
        this.zoneCount = values.text(ZONES, "").split(",").length;
        this.machineTypeCount = values.text(MACHINE_TYPES, "").split(",").length;
    }

    /**
     * Reads the settings.
     *
     * @param values values by their path
     * @throws InvalidSettingException for the first setting that is missing, malformed or out of
     *     range
     */
    public static BootSettings read(Map<String, String> values) {
        SettingsValues settingsValues = new SettingsValues(values);
        SettingsReader reader = new SettingsReader(settingsValues);
        try {
            return new BootSettings(
                    reader.routingSettings(),
                    settingsValues.textList("Stats.Fields"),
                    reader.names(CLASSES),
                    reader.names(TENANTS),
                    settingsValues.textList(ZONES),
                    settingsValues.textList(MACHINE_TYPES),
                    settingsValues.integer("Limits.IdleClose", 0));
        } catch (IllegalArgumentException e) {
            throw new InvalidSettingException(ALL_SETTINGS, e);
        }
    }

    private List<String> names(String path) {
        List<String> names = new ArrayList<>();
        for (int i = 0; i < values.countOrZero(path); i++) {
            names.add(values.text(path + "." + i + ".Name", ""));
        }
        return List.copyOf(names);
    }

    // The order of reading decides which error is reported first.
    private RoutingSettings routingSettings() {
        List<RequestClass> requestClasses = requestClasses();
        List<Tenant> tenants = tenants();
        RoutingLimits limits = limits();
        DiscoveryMode discoveryMode = values.term("MembershipMode", PlatformTerms.DISCOVERY_MODES);
        RoutingBounds bounds = bounds(discoveryMode);
        ObjectiveWeights objectiveWeights = objectiveWeights();
        return new RoutingSettings(
                toSaturatedInt(values.integer("Balancers")),
                (int) values.integer("Rank", 0),
                ownZone(),
                requestClasses,
                tenants,
                values.number("OverShareWorth", 1.0),
                objectiveWeights,
                costs(),
                values.text("WorthBy", "request").equals("work"),
                discoveryMode,
                values.term("Stats.How", "none", PlatformTerms.LOAD_REPORT_SOURCES),
                values.flag("Specifics.WarmKeys", false),
                limits,
                bounds,
                values.integer("Quantum"));
    }

    private List<RequestClass> requestClasses() {
        List<RequestClass> requestClasses = new ArrayList<>();
        for (int i = 0; i < values.count(CLASSES); i++) {
            requestClasses.add(requestClass(CLASSES + "." + i));
        }
        return List.copyOf(requestClasses);
    }

    private RequestClass requestClass(String path) {
        String prefix = path + ".";
        try {
            return new RequestClass(
                    values.term(prefix + "Idempotency", PlatformTerms.IDEMPOTENCY),
                    values.term(prefix + "DedupScope", "all", PlatformTerms.DEDUPLICATION_SCOPES),
                    values.integer(prefix + "KeyTtl", 0),
                    values.integer(prefix + "GoalTime"),
                    values.integer(prefix + "GiveUp"),
                    values.number(prefix + "AimStretch", 0.0),
                    values.number(prefix + "Gain", 1.0),
                    values.number(prefix + "LateShare", 0.0),
                    values.flag(prefix + "Stream", false),
                    values.flag(prefix + "InOrder", false),
                    values.indexSet(prefix + "AllowedIn", zoneCount),
                    values.indexSet(prefix + "RunsOn", machineTypeCount));
        } catch (IllegalArgumentException e) {
            throw new InvalidSettingException(path, e);
        }
    }

    private List<Tenant> tenants() {
        List<Tenant> tenants = new ArrayList<>();
        for (int i = 0; i < values.countOrZero(TENANTS); i++) {
            tenants.add(new Tenant(values.number(TENANTS + "." + i + ".AllowancePerS")));
        }
        return List.copyOf(tenants);
    }

    private RoutingLimits limits() {
        boolean sendsRetryAfter = values.flag("Limits.RetryAfter", false);
        int maxAttempts = toSaturatedInt(values.integer("Limits.TryLimit"));
        return new RoutingLimits(
                maxAttempts,
                values.flag("Limits.MayDuplicate"),
                values.flag("Limits.Cancel"),
                values.flag("Limits.Probes"),
                values.integer("Limits.DialTimeout", 0),
                sendsRetryAfter ? values.integer("Limits.MaxRetryAfter", 0) : 0,
                values.flag("Limits.PeerMessages", false));
    }

    private RoutingBounds bounds(DiscoveryMode discoveryMode) {
        return new RoutingBounds(
                values.integer("Rules.AnswerSlack"),
                values.integer("Rules.DrainGrace"),
                pollDeadlineMicros(discoveryMode),
                values.number("Rules.ColdFrom"),
                values.integer("Rules.RampTime"),
                values.number("Rules.OverloadFactor"),
                values.integer("Rules.Fall"),
                values.integer("Rules.OrderPause", 0));
    }

    // The setting is required only if the list is polled.
    private long pollDeadlineMicros(DiscoveryMode discoveryMode) {
        String path = "Rules.AskWithin";
        return discoveryMode == DiscoveryMode.POLL ? values.integer(path) : values.integer(path, 0);
    }

    private ObjectiveWeights objectiveWeights() {
        return new ObjectiveWeights(
                values.number("Blend.Whole", 1.0),
                values.number("Blend.WorstWindow", 0.0),
                values.number("Blend.WorstClass", 0.0),
                values.number("Blend.WorstTenant", 0.0));
    }

    private RoutingCosts costs() {
        return new RoutingCosts(
                values.number("Prices.CrossZone", 0.0),
                values.number("Prices.Handshake", 0.0),
                values.number("Prices.Peer", 0.0));
    }

    /** Returns the zone of this balancer. If zones are named, it must be one of them. */
    private int ownZone() {
        long zone = values.integer(OWN_ZONE, 0);
        boolean beyondNamedZones = zone >= zoneCount && values.contains(ZONES);
        if (zone < 0 || beyondNamedZones) {
            throw new InvalidSettingException(
                    OWN_ZONE, "not between 0 and " + (zoneCount - 1) + ": " + zone);
        }
        return (int) zone;
    }

    private static int toSaturatedInt(long value) {
        return (int) Math.min(Integer.MAX_VALUE, value);
    }
}

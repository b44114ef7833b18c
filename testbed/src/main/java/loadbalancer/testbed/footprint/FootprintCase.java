package loadbalancer.testbed.footprint;

import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.stream.IntStream;
import loadbalancer.testbed.emulation.BalancerSettingsBuilder;

/**
 * Defines a size at which a process is measured. Immutable.
 *
 * @param servers the number of upstreams in its endpoint list
 * @param tenants the number of tenants in its settings
 * @param balancers the number of balancers of its tier; 1: it has no peers
 * @param requestsPerSecond the requests per second that it receives
 * @param reportingPeers the number of peers that send it load reports: half of them have the next
 *     higher numbers, half the next lower ones
 */
public record FootprintCase(
        int servers, int tenants, int balancers, int requestsPerSecond, int reportingPeers) {
    private static final int ZONE_COUNT = 30;
    private static final int MODEL_COUNT = 2;
    private static final double TENANT_REQUESTS_PER_SECOND = 4;
    private static final long LATENCY_OBJECTIVE_MICROS = 250_000;
    private static final long DEADLINE_MICROS = 1_000_000;
    private static final double GOSSIP_COST = 0.03;
    private static final double INITIAL_CAPACITY_FRACTION = 0.1;
    private static final long SLOW_START_MICROS = 10_000_000;
    private static final double OVERLOAD_FACTOR = 3.0;
    private static final long OVERLOAD_WINDOW_MICROS = 3_000_000;

    /**
     * Creates a size.
     *
     * @throws InvalidSizeException if a value is out of range
     */
    public FootprintCase {
        if (servers < 1
                || tenants < 0
                || balancers < 1
                || requestsPerSecond < 0
                || reportingPeers < 0
                || reportingPeers >= balancers) {
            throw new InvalidSizeException(
                    "size out of range: "
                            + servers
                            + " servers, "
                            + tenants
                            + " tenants, "
                            + balancers
                            + " balancers, "
                            + requestsPerSecond
                            + " requests a second, "
                            + reportingPeers
                            + " speakers");
        }
    }

    /**
     * Parses a size, such as {@code servers=40,tenants=1000}. The defaults are 40 servers, 1
     * balancer, load reports from all peers ({@code speakers}), and 0 for the other values.
     *
     * @throws InvalidSizeException if the text is not a size, or a value is out of range
     */
    public static FootprintCase parse(String text) {
        Map<String, Integer> sizes =
                new LinkedHashMap<>(
                        Map.of(
                                "servers",
                                40,
                                "tenants",
                                0,
                                "balancers",
                                1,
                                "rate",
                                0,
                                "speakers",
                                -1));
        for (String field : text.split(",")) {
            String[] keyAndValue = field.split("=", 2);
            if (keyAndValue.length < 2
                    || !keyAndValue[1].matches("\\d{1,9}")
                    || sizes.replace(keyAndValue[0], Integer.valueOf(keyAndValue[1])) == null) {
                throw new InvalidSizeException(
                        "not a size (for example servers=40): '" + field + "'");
            }
        }
        int peers = sizes.get("balancers") - 1;
        int reportingPeers = sizes.get("speakers") < 0 ? Math.max(0, peers) : sizes.get("speakers");
        return new FootprintCase(
                sizes.get("servers"),
                sizes.get("tenants"),
                sizes.get("balancers"),
                sizes.get("rate"),
                reportingPeers);
    }

    /** Returns the prefix of the keys of the measurements at this size. */
    String keyPrefix() {
        return String.format(
                        Locale.ROOT,
                        "s%d.t%d.b%d.r%d.",
                        servers,
                        tenants,
                        balancers,
                        requestsPerSecond)
                + (reportingPeers == balancers - 1 ? "" : "k" + reportingPeers + ".");
    }

    /**
     * Returns an entry of the endpoint list in discovery's format.
     *
     * @param number the number of the entry, from 0
     * @param bootMs the start time of the upstream, ms
     */
    Map<String, Object> discoveryEntry(int number, String state, String endpoint, long bootMs) {
        Map<String, Object> entry = new LinkedHashMap<>();
        entry.put(
                "uid",
                String.format(Locale.ROOT, "service-%03d-pod-%05d-5f7c9d", number % 260, number));
        entry.put("endpoint", endpoint);
        entry.put("az", "z" + number % ZONE_COUNT);
        entry.put("model", "m" + number % MODEL_COUNT);
        entry.put("pod_group", number / 8);
        entry.put("state", state);
        entry.put("capacity_hint", 1.0);
        entry.put("boot_ms", bootMs);
        return entry;
    }

    /**
     * Returns the settings of the measured balancer, nested as in its configuration. The limits and
     * costs are those of the first site.
     */
    Map<String, Object> settings() {
        return new BalancerSettingsBuilder()
                .tier(BalancerSettingsBuilder.numberedNames("z", ZONE_COUNT), balancers, 0, 0)
                .machineTypes(BalancerSettingsBuilder.numberedNames("m", MODEL_COUNT))
                .requestClasses(
                        List.of(
                                BalancerSettingsBuilder.requestClass(
                                        "safe", "safe", LATENCY_OBJECTIVE_MICROS, DEADLINE_MICROS)))
                .gossipCost(GOSSIP_COST)
                .defaultLimits()
                .bounds(
                        BalancerSettingsBuilder.Bounds.withDefaultSlackAndGrace(
                                INITIAL_CAPACITY_FRACTION,
                                SLOW_START_MICROS,
                                OVERLOAD_FACTOR,
                                OVERLOAD_WINDOW_MICROS))
                .tenants(tenantSettings())
                .build();
    }

    private List<Map<String, Object>> tenantSettings() {
        return IntStream.range(0, tenants)
                .mapToObj(
                        tenant ->
                                BalancerSettingsBuilder.tenant(
                                        tenantName(tenant), TENANT_REQUESTS_PER_SECOND))
                .toList();
    }

    /** Returns the name of a tenant. */
    String tenantName(int number) {
        return String.format(Locale.ROOT, "tenant-%05d", number);
    }
}

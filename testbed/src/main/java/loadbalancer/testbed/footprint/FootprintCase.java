package loadbalancer.testbed.footprint;

import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.stream.IntStream;

/**
 * One size at which a process is measured: upstreams in its list, tenants in its settings,
 * balancers of its tier (1: it has no peers), requests a second that it gets, and how many of its
 * peers speak to it: half of them next above it by number, half next below.
 */
public record FootprintCase(
        int servers, int tenants, int balancers, int requestsPerSecond, int reportingPeers) {
    private static final int ZONE_COUNT = 30;
    private static final int MODEL_COUNT = 2;
    // Requests a second that each is promised
    private static final double TENANT_REQUESTS_PER_SECOND = 4;

    public FootprintCase {
        if (servers < 1
                || tenants < 0
                || balancers < 1
                || requestsPerSecond < 0
                || reportingPeers < 0
                || reportingPeers >= balancers) {
            throw new IllegalArgumentException(
                    "no such size: "
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
     * Reads {@code servers=40,tenants=1000}; what is left out is 40 for servers, 1 for balancers,
     * all peers for speakers and 0 for the rest.
     *
     * @throws IllegalArgumentException where it is no such text, with what is wrong
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
                throw new IllegalArgumentException("not a size, as servers=40: '" + field + "'");
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

    /** What keys of its figures begin with. */
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

    /** One upstream in discovery's form. */
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

    /** The settings, nested as in a configuration; limits and prices are the first customer's. */
    Map<String, Object> settings() {
        Map<String, Object> settings = new LinkedHashMap<>();
        settings.put("Areas", IntStream.range(0, ZONE_COUNT).mapToObj(zone -> "z" + zone).toList());
        settings.put("Balancers", balancers);
        settings.put("Rank", 0);
        settings.put("Locality", 0);
        settings.put(
                "Kinds", IntStream.range(0, MODEL_COUNT).mapToObj(model -> "m" + model).toList());
        settings.put(
                "Classes",
                List.of(
                        Map.of(
                                "Name",
                                "safe",
                                "Idempotency",
                                "safe",
                                "GoalTime",
                                250_000,
                                "GiveUp",
                                1_000_000)));
        settings.put("MembershipMode", "push");
        settings.put("Quantum", 5000);
        settings.put("Prices", Map.of("Peer", 0.03));
        settings.put("Limits", limits());
        settings.put("Rules", rules());
        if (tenants > 0) {
            settings.put(
                    "Realms",
                    IntStream.range(0, tenants)
                            .mapToObj(
                                    tenant ->
                                            Map.of(
                                                    "Name",
                                                    tenantName(tenant),
                                                    "AllowancePerS",
                                                    TENANT_REQUESTS_PER_SECOND))
                            .toList());
        }
        return settings;
    }

    private static Map<String, Object> limits() {
        return Map.of(
                "TryLimit",
                4,
                "MayDuplicate",
                true,
                "Cancel",
                true,
                "Probes",
                true,
                "PeerMessages",
                true,
                "DialTimeout",
                150_000,
                "IdleClose",
                5_000_000,
                "RetryAfter",
                true,
                "MaxRetryAfter",
                2_500_000);
    }

    private static Map<String, Object> rules() {
        return Map.of(
                "AnswerSlack",
                20_000,
                "DrainGrace",
                2_500_000,
                "ColdFrom",
                0.1,
                "RampTime",
                10_000_000,
                "OverloadFactor",
                3.0,
                "Fall",
                3_000_000);
    }

    /** The name of a tenant. */
    String tenantName(int number) {
        return String.format(Locale.ROOT, "tenant-%05d", number);
    }
}

package junctionhead.lab.cost;

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
public record CostCase(int servers, int tenants, int balancers, int rate, int speakers) {
    private static final int ZONES = 30;
    private static final int MODELS = 2;
    // Requests a second that each is promised
    private static final double TENANT_RATE = 4;

    public CostCase {
        if (servers < 1
                || tenants < 0
                || balancers < 1
                || rate < 0
                || speakers < 0
                || speakers >= balancers) {
            throw new IllegalArgumentException(
                    "no such size: "
                            + servers
                            + " servers, "
                            + tenants
                            + " tenants, "
                            + balancers
                            + " balancers, "
                            + rate
                            + " requests a second, "
                            + speakers
                            + " speakers");
        }
    }

    /**
     * Reads {@code servers=40,tenants=1000}; what is left out is 40 for servers, 1 for balancers,
     * all peers for speakers and 0 for the rest.
     *
     * @throws IllegalArgumentException where it is no such text, with what is wrong
     */
    public static CostCase parse(String text) {
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
        for (String part : text.split(",")) {
            String[] pair = part.split("=", 2);
            if (pair.length < 2
                    || !pair[1].matches("\\d{1,9}")
                    || sizes.replace(pair[0], Integer.valueOf(pair[1])) == null) {
                throw new IllegalArgumentException("not a size, as servers=40: '" + part + "'");
            }
        }
        int peers = sizes.get("balancers") - 1;
        int speakers = sizes.get("speakers") < 0 ? Math.max(0, peers) : sizes.get("speakers");
        return new CostCase(
                sizes.get("servers"),
                sizes.get("tenants"),
                sizes.get("balancers"),
                sizes.get("rate"),
                speakers);
    }

    /** What keys of its figures begin with. */
    String key() {
        return String.format(Locale.ROOT, "s%d.t%d.b%d.r%d.", servers, tenants, balancers, rate)
                + (speakers == balancers - 1 ? "" : "k" + speakers + ".");
    }

    /** One upstream in discovery's form. */
    Map<String, Object> entry(int number, String state, String endpoint, long bootMs) {
        Map<String, Object> entry = new LinkedHashMap<>();
        entry.put(
                "uid",
                String.format(Locale.ROOT, "service-%03d-pod-%05d-5f7c9d", number % 260, number));
        entry.put("endpoint", endpoint);
        entry.put("az", "z" + number % ZONES);
        entry.put("model", "m" + number % MODELS);
        entry.put("pod_group", number / 8);
        entry.put("state", state);
        entry.put("capacity_hint", 1.0);
        entry.put("boot_ms", bootMs);
        return entry;
    }

    /** The settings, nested as in a configuration; limits and prices are the first customer's. */
    Map<String, Object> settings() {
        Map<String, Object> all = new LinkedHashMap<>();
        all.put("Areas", IntStream.range(0, ZONES).mapToObj(z -> "z" + z).toList());
        all.put("Balancers", balancers);
        all.put("Rank", 0);
        all.put("Locality", 0);
        all.put("Kinds", IntStream.range(0, MODELS).mapToObj(m -> "m" + m).toList());
        all.put(
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
        all.put("MembershipMode", "push");
        all.put("Quantum", 5000);
        all.put("Prices", Map.of("Peer", 0.03));
        all.put(
                "Limits",
                Map.of(
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
                        2_500_000));
        all.put(
                "Rules",
                Map.of(
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
                        3_000_000));
        if (tenants > 0) {
            all.put(
                    "Realms",
                    IntStream.range(0, tenants)
                            .mapToObj(t -> Map.of("Name", tenant(t), "AllowancePerS", TENANT_RATE))
                            .toList());
        }
        return all;
    }

    /** The name of a tenant. */
    String tenant(int number) {
        return String.format(Locale.ROOT, "tenant-%05d", number);
    }
}

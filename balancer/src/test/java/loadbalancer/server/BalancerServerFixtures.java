package loadbalancer.server;

import com.fasterxml.jackson.jr.ob.JSON;
import java.io.IOException;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;
import loadbalancer.config.BalancerConfig;
import loadbalancer.routing.api.RoutingPolicy;

/** Balancers, their configuration and settings, and requests to them. */
public final class BalancerServerFixtures {
    /** A request of the class read, with a hint of its work, that is a retry of the client's. */
    static final String IDEMPOTENT_REQUEST =
            "GET /api/k1?x=%20y HTTP/1.1\r\nHost: backend.local\r\nReq-Id: r1\r\n"
                    + "Req-Kind: read\r\nReq-Deadline-Ms: 20000\r\nReq-Cost: 700\r\nReq-Retry: 1\r\n\r\n";

    static final String READY_REQUEST = "GET /-/ready HTTP/1.1\r\nHost: x\r\n\r\n";

    private BalancerServerFixtures() {}

    /** A balancer that is ready at once, knows one upstream, s1, and finds no discovery. */
    static BalancerServer readyBalancer(
            FakeHttpServer upstream,
            RoutingPolicy policy,
            Map<String, Object> rawSettings,
            int maxSockets,
            Consumer<String> logSink)
            throws IOException {
        return newBalancer(
                Map.of(
                        "limits",
                        Map.of("sockets", maxSockets),
                        "settings",
                        rawSettings,
                        "known",
                        knownList(upstream.address()),
                        "admin",
                        "127.0.0.1:0"),
                policy,
                logSink);
    }

    /** A balancer that knows no upstream, finds no discovery, and so is never ready. */
    static BalancerServer unreadyBalancer(
            Map<String, Object> rawSettings, RoutingPolicy policy, Consumer<String> logSink) {
        return newBalancer(
                Map.of("settings", rawSettings, "admin", "127.0.0.1:0"), policy, logSink);
    }

    /** A balancer without a warm-up; {@code overrides} as for {@link #config}. */
    static BalancerServer newBalancer(
            Map<String, Object> overrides, RoutingPolicy policy, Consumer<String> logSink) {
        return new BalancerServer(config(overrides), (settings, seed) -> policy, false, logSink);
    }

    /** A configuration on any free port that finds no discovery, with other keys on top. */
    static BalancerConfig config(Map<String, Object> overrides) {
        Map<String, Object> raw = new HashMap<>();
        raw.put("name", "n1");
        raw.put("listen", "127.0.0.1:0");
        raw.put("discovery", "127.0.0.1:9");
        raw.put("seed", "8c1f30d27a5be964");
        raw.putAll(overrides);
        return BalancerConfig.parse(Map.of(), raw);
    }

    /** The list of a configuration that knows s1 at the given address, in service. */
    static Map<String, Object> knownList(String endpointAddress) throws IOException {
        return JSON.std.mapFrom(
                "{\"rev\":1,\"all\":true,\"targets\":[{\"uid\":\"s1\",\"endpoint\":\""
                        + endpointAddress
                        + "\",\"state\":\"in_service\",\"boot_ms\":0}]}");
    }

    /** A list of discovery's with s1 alone, ending with a line feed. */
    static String listJson(int revision, boolean complete, String endpointAddress, String state) {
        return "{\"rev\":"
                + revision
                + ",\"all\":"
                + complete
                + ",\"targets\":[{\"uid\":\"s1\",\"endpoint\":\""
                + endpointAddress
                + "\",\"az\":\"podrum\","
                + "\"model\":\"slabi\",\"pod_group\":3,\"state\":\""
                + state
                + "\",\"capacity_hint\":1.0,\"boot_ms\":0}]}\n";
    }

    /** One chunk of a body with chunked transfer encoding. */
    static String chunk(String text) {
        return Integer.toHexString(text.length()) + "\r\n" + text + "\r\n";
    }

    /** A POST request of the given class; {@code extraHeaders} end with a line feed. */
    static String postRequest(String className, String extraHeaders, String body) {
        return "POST /api/k1 HTTP/1.1\r\nHost: backend.local\r\nReq-Id: r1\r\nReq-Kind: "
                + className
                + "\r\n"
                + extraHeaders
                + "Content-Length: "
                + body.length()
                + "\r\n\r\n"
                + body;
    }

    private static Map<String, Object> requestClass(String name, String idempotency) {
        return Map.of(
                "Name",
                name,
                "Idempotency",
                idempotency,
                "DedupScope",
                "cell",
                "GoalTime",
                600_000,
                "GiveUp",
                30_000_000,
                "KeyTtl",
                1_000_000);
    }

    /** Settings with the classes read, pay and book: one of each idempotency. */
    public static Map<String, Object> settings() {
        return settings(Map.of());
    }

    /** The same with other limits on top. */
    static Map<String, Object> settings(Map<String, Object> otherLimits) {
        Map<String, Object> limits = new HashMap<>();
        limits.put("TryLimit", 3);
        limits.put("MayDuplicate", true);
        limits.put("Cancel", true);
        limits.put("Probes", true);
        limits.put("DialTimeout", 500_000);
        limits.put("IdleClose", 30_000_000);
        limits.putAll(otherLimits);
        Map<String, Object> settings = new HashMap<>();
        settings.put("Balancers", 1);
        settings.put(
                "Classes",
                List.of(
                        requestClass("read", "safe"),
                        requestClass("pay", "keyed"),
                        requestClass("book", "unsafe")));
        settings.put("Limits", limits);
        settings.put("MembershipMode", "ask");
        settings.put(
                "Rules",
                Map.of(
                        "AnswerSlack",
                        8_000,
                        "DrainGrace",
                        1_000_000,
                        "AskWithin",
                        10_000_000,
                        "ColdFrom",
                        0.3,
                        "RampTime",
                        8_400_000,
                        "OverloadFactor",
                        3.0,
                        "Fall",
                        1_000_000));
        settings.put("Quantum", 2_000);
        settings.put("Areas", List.of("podrum"));
        settings.put("Kinds", List.of("puni", "slabi"));
        settings.put("Stats", Map.of("How", "answers", "Fields", List.of("outstanding")));
        return settings;
    }
}

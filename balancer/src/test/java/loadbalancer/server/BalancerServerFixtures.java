package loadbalancer.server;

import com.fasterxml.jackson.jr.ob.JSON;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;
import loadbalancer.config.BalancerConfig;
import loadbalancer.routing.api.RoutingPolicy;

/** Creates balancers, configurations, settings and requests for tests. */
public final class BalancerServerFixtures {
    /** A request of the class read with a work hint, marked by the client as a retry. */
    static final String IDEMPOTENT_REQUEST =
            "GET /api/k1?x=%20y HTTP/1.1\r\nHost: backend.local\r\nReq-Id: r1\r\n"
                    + "Req-Kind: read\r\nReq-Deadline-Ms: 20000\r\nReq-Cost: 700\r\nReq-Retry: 1\r\n\r\n";

    /**
     * The head of a request of the class book, which is not idempotent, without the headers that
     * frame its body.
     */
    static final String NON_IDEMPOTENT_HEAD =
            "POST /api/k1 HTTP/1.1\r\nHost: backend.local\r\nReq-Id: r1\r\n"
                    + "Req-Kind: book\r\nReq-Deadline-Ms: 20000\r\n";

    static final String READY_REQUEST = "GET /-/ready HTTP/1.1\r\nHost: x\r\n\r\n";

    private static final long DRAIN_GRACE_MICROS = 1_000_000;
    private static final int CLASS_LATENCY_OBJECTIVE_MICROS = 600_000;
    private static final int CLASS_DEADLINE_MICROS = 30_000_000;
    private static final int CLASS_IDEMPOTENCY_WINDOW_MICROS = 1_000_000;

    private BalancerServerFixtures() {}

    /**
     * Creates a balancer that is ready at once, has one upstream, s1, and can't reach discovery.
     */
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
                        initialEndpointList("s1", upstream.address()),
                        "admin",
                        "127.0.0.1:0"),
                policy,
                logSink);
    }

    /**
     * Creates a balancer that has no upstream and can't reach discovery, and so never becomes
     * ready.
     */
    static BalancerServer unreadyBalancer(
            Map<String, Object> rawSettings, RoutingPolicy policy, Consumer<String> logSink) {
        return newBalancer(
                Map.of("settings", rawSettings, "admin", "127.0.0.1:0"), policy, logSink);
    }

    /** Creates a balancer without a warm-up; {@code overrides} as in {@link #config}. */
    static BalancerServer newBalancer(
            Map<String, Object> overrides, RoutingPolicy policy, Consumer<String> logSink) {
        return new BalancerServer(config(overrides), (settings, seed) -> policy, false, logSink);
    }

    /**
     * Returns a configuration that listens on any free port and can't reach discovery; {@code
     * overrides} adds or replaces keys.
     */
    public static BalancerConfig config(Map<String, Object> overrides) {
        return BalancerConfig.parse(Map.of(), rawConfig(overrides));
    }

    /** Returns the content of a configuration file with the keys of {@link #config}. */
    static Map<String, Object> rawConfig(Map<String, Object> overrides) {
        Map<String, Object> raw = new HashMap<>();
        raw.put("name", "n1");
        raw.put("listen", "127.0.0.1:0");
        raw.put("discovery", "127.0.0.1:9");
        raw.put("seed", "8c1f30d27a5be964");
        raw.putAll(overrides);
        return raw;
    }

    /** Returns the endpoint list of a configuration, with one endpoint in service. */
    static Map<String, Object> initialEndpointList(String endpointId, String endpointAddress)
            throws IOException {
        return JSON.std.mapFrom(oneEndpointJson(1, true, endpointId, endpointAddress));
    }

    /** Returns an endpoint list with one endpoint, in service. */
    public static String oneEndpointJson(
            int revision, boolean complete, String endpointId, String endpointAddress) {
        return "{\"rev\":"
                + revision
                + ",\"all\":"
                + complete
                + ",\"targets\":[{\"uid\":\""
                + endpointId
                + "\",\"endpoint\":\""
                + endpointAddress
                + "\",\"state\":\"in_service\",\"boot_ms\":0}]}";
    }

    /**
     * Returns an endpoint list as discovery sends it, with s1 as the only endpoint, ending with a
     * line feed.
     */
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

    /** Returns one chunk of a body with chunked transfer encoding. */
    public static String chunk(String text) {
        return Integer.toHexString(text.length()) + "\r\n" + text + "\r\n";
    }

    /** Returns {@link #IDEMPOTENT_REQUEST} with another id. */
    static String requestWithId(String requestId) {
        return IDEMPOTENT_REQUEST.replace("Req-Id: r1", "Req-Id: " + requestId);
    }

    /** Returns {@link #NON_IDEMPOTENT_HEAD} with another id. */
    static String nonIdempotentHead(String requestId) {
        return NON_IDEMPOTENT_HEAD.replace("Req-Id: r1", "Req-Id: " + requestId);
    }

    /** Returns the status of a readiness check on a connection of its own. */
    static int readinessStatus(InetSocketAddress address) throws IOException {
        try (HttpTestClient client = new HttpTestClient(address)) {
            return client.send(READY_REQUEST).readStatus();
        }
    }

    /**
     * Returns a POST request of the given class; each line of {@code extraHeaders} ends with CR LF.
     */
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

    /** Returns the settings of a request class; times are in microseconds. */
    static Map<String, Object> requestClass(
            String name,
            String idempotency,
            String deduplicationScope,
            long latencyObjectiveMicros,
            long deadlineMicros,
            long idempotencyWindowMicros) {
        return Map.of(
                "Name",
                name,
                "Idempotency",
                idempotency,
                "DedupScope",
                deduplicationScope,
                "GoalTime",
                latencyObjectiveMicros,
                "GiveUp",
                deadlineMicros,
                "KeyTtl",
                idempotencyWindowMicros);
    }

    private static Map<String, Object> requestClass(String name, String idempotency) {
        return requestClass(
                name,
                idempotency,
                "cell",
                CLASS_LATENCY_OBJECTIVE_MICROS,
                CLASS_DEADLINE_MICROS,
                CLASS_IDEMPOTENCY_WINDOW_MICROS);
    }

    /** Returns settings with the classes read, pay and book: one of each idempotency. */
    public static Map<String, Object> settings() {
        return settings(Map.of());
    }

    /** Returns {@link #settings()} with these limits added or replaced. */
    static Map<String, Object> settings(Map<String, Object> limitOverrides) {
        Map<String, Object> limits = new HashMap<>();
        limits.put("TryLimit", 3);
        limits.put("MayDuplicate", true);
        limits.put("Cancel", true);
        limits.put("Probes", true);
        limits.put("DialTimeout", 500_000);
        limits.put("IdleClose", 30_000_000);
        limits.putAll(limitOverrides);
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
        settings.put("Rules", rules(DRAIN_GRACE_MICROS));
        settings.put("Quantum", 2_000);
        settings.put("Areas", List.of("podrum"));
        settings.put("Kinds", List.of("puni", "slabi"));
        settings.put("Stats", Map.of("How", "answers", "Fields", List.of("outstanding")));
        return settings;
    }

    /** Returns the rules of the settings, with this drain grace period in microseconds. */
    public static Map<String, Object> rules(long drainGraceMicros) {
        return Map.of(
                "AnswerSlack",
                8_000,
                "DrainGrace",
                drainGraceMicros,
                "AskWithin",
                10_000_000,
                "ColdFrom",
                0.3,
                "RampTime",
                8_400_000,
                "OverloadFactor",
                3.0,
                "Fall",
                1_000_000);
    }
}

package loadbalancer.server;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import loadbalancer.config.BalancerConfig;
import loadbalancer.config.InvalidConfigException;
import loadbalancer.routing.RoutingEngine;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

/** Tests a balancer with settings that the other tests do not use. */
@Timeout(60)
class SettingsVariantsTest {
    // The latency objective is half of the deadline.
    private static Map<String, Object> requestClass(
            String name, String idempotency, String scope, long deadlineMs, long windowMs) {
        return BalancerServerFixtures.requestClass(
                name, idempotency, scope, deadlineMs * 500, deadlineMs * 1000, windowMs * 1000);
    }

    // Settings without zones, models, tenants, health checks, hedging, cancellation, peers and load
    // reports, and with two attempts per request.
    private static Map<String, Object> minimalSettings(List<Map<String, Object>> requestClasses) {
        Map<String, Object> settings = new HashMap<>();
        settings.put("Balancers", 1);
        settings.put("Classes", requestClasses);
        settings.put(
                "Limits",
                Map.of(
                        "TryLimit",
                        2,
                        "MayDuplicate",
                        false,
                        "Cancel",
                        false,
                        "Probes",
                        false,
                        "DialTimeout",
                        5_000_000,
                        "IdleClose",
                        1_000_000));
        settings.put("MembershipMode", "push");
        settings.put(
                "Rules",
                Map.of(
                        "AnswerSlack",
                        8_000,
                        "DrainGrace",
                        50_000,
                        "ColdFrom",
                        0.3,
                        "RampTime",
                        0,
                        "OverloadFactor",
                        1.1,
                        "Fall",
                        0));
        settings.put("Quantum", 1_000);
        return settings;
    }

    private static BalancerConfig config(Map<String, Object> settings, String endpointAddress)
            throws IOException {
        return BalancerServerFixtures.config(
                Map.of(
                        "seed",
                        "1",
                        "limits",
                        Map.of("sockets", 256),
                        "settings",
                        settings,
                        "known",
                        BalancerServerFixtures.initialEndpointList("s1", endpointAddress)));
    }

    private static BalancerServer balancer(
            List<Map<String, Object>> requestClasses, String endpointAddress) throws IOException {
        return new BalancerServer(
                config(minimalSettings(requestClasses), endpointAddress),
                RoutingEngine::new,
                false,
                line -> {});
    }

    private static String request(String className, String idempotency, long deadlineMs) {
        boolean idempotent = idempotency.equals("safe");
        return (idempotent ? "GET" : "POST")
                + " /x HTTP/1.1\r\nHost: x\r\nReq-Id: r "
                + className
                + "\r\nReq-Kind: "
                + className
                + "\r\n"
                + (idempotency.equals("keyed") ? "Idempotency-Key: k\r\n" : "")
                + "Req-Deadline-Ms: "
                + deadlineMs
                + "\r\n"
                + (idempotent ? "" : "Content-Length: 2\r\n")
                + "\r\n"
                + (idempotent ? "" : "hi");
    }

    @ParameterizedTest
    @ValueSource(ints = {1, 2, 7})
    void anyClassesAndIdempotencyAreServed(int classCount) throws Exception {
        List<String> idempotencies = List.of("unsafe", "keyed", "safe");
        List<String> scopes = List.of("all", "zone", "cell");
        List<Map<String, Object>> requestClasses = new ArrayList<>();
        for (int i = 0; i < classCount; i++) {
            requestClasses.add(
                    requestClass(
                            "kind " + i,
                            idempotencies.get(i % 3),
                            scopes.get(i / 3 % 3),
                            20_000,
                            30));
        }
        try (FakeHttpServer upstream = new FakeHttpServer()) {
            BalancerServer balancer = balancer(requestClasses, upstream.address());
            InetSocketAddress address = balancer.start();
            try (HttpTestClient client = new HttpTestClient(address)) {
                for (int i = 0; i < classCount; i++) {
                    client.send(request("kind " + i, idempotencies.get(i % 3), 20_000));
                    upstream.nextRequest().respond(200, "", "ok");
                    assertEquals(200, client.readStatus());
                }
            } finally {
                balancer.stop();
            }
        }
    }

    /**
     * The connect to the upstream takes longer than the request's deadline. In the last row the
     * remaining time is too short to start an attempt at all.
     */
    @ParameterizedTest(name = "{0}, {1} ms")
    @CsvSource({"safe, 150", "keyed, 150", "unsafe, 150", "unsafe, 12"})
    void deadlineShorterThanConnectIsKept(String idempotency, long deadlineMs) throws Exception {
        try (FullBacklogListener backlogListener = new FullBacklogListener()) {
            BalancerServer balancer =
                    balancer(
                            List.of(requestClass("a", idempotency, "cell", 150, 20)),
                            backlogListener.address());
            InetSocketAddress address = balancer.start();
            try (HttpTestClient client = new HttpTestClient(address)) {
                client.send(request("a", idempotency, deadlineMs));
                int status = client.readStatus();
                assertTrue(status > 500, "status " + status);
            } finally {
                balancer.stop();
            }
        }
    }

    @Test
    void invalidSettingIsNamedByItsPath() throws IOException {
        Map<String, Object> settings =
                minimalSettings(
                        List.of(
                                requestClass("a", "safe", "all", 1_000, 0),
                                requestClass("b", "keyed", "all", 0, 0)));
        assertEquals(
                "settings: Classes.1: invalid aim: 0",
                assertThrows(InvalidConfigException.class, () -> config(settings, "127.0.0.1:80"))
                        .getMessage());
        settings.put("Classes", List.of(requestClass("a", "sometimes", "all", 1_000, 0)));
        assertEquals(
                "settings: Classes.0.Idempotency: unknown word: 'sometimes'",
                assertThrows(InvalidConfigException.class, () -> config(settings, "127.0.0.1:80"))
                        .getMessage());
    }
}

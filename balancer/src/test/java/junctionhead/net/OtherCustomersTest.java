package junctionhead.net;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.fasterxml.jackson.jr.ob.JSON;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import junctionhead.Balance;
import junctionhead.net.NodeTest.Client;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

/** The whole balancer with settings that differ from those it was first made for. */
@Timeout(60)
class OtherCustomersTest {
    private static Map<String, Object> kind(
            String name, String effect, String scope, long deadlineMs, long windowMs) {
        return Map.of(
                "Name",
                name,
                "Idempotency",
                effect,
                "DedupScope",
                scope,
                "GoalTime",
                deadlineMs * 500,
                "GiveUp",
                deadlineMs * 1000,
                "KeyTtl",
                windowMs * 1000);
    }

    // No zones, kinds of machine, tenants, probes, copies, cancelling, peers or advice, and two
    // attempts.
    private static Map<String, Object> bare(List<Map<String, Object>> classes) {
        Map<String, Object> settings = new HashMap<>();
        settings.put("Balancers", 1);
        settings.put("Classes", classes);
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

    private static Config config(Map<String, Object> settings, String endpoint) throws IOException {
        return Config.of(
                Map.of(),
                Map.of(
                        "name",
                        "n1",
                        "listen",
                        "127.0.0.1:0",
                        "discovery",
                        "127.0.0.1:9",
                        "seed",
                        "1",
                        "limits",
                        Map.of("sockets", 256),
                        "settings",
                        settings,
                        "known",
                        JSON.std.mapFrom(
                                "{\"rev\":1,\"all\":true,\"targets\":[{\"uid\":\"s1\",\"endpoint\":\""
                                        + endpoint
                                        + "\",\"state\":\"in_service\"}]}")));
    }

    private static String request(String kind, String effect, long deadlineMs) {
        boolean safe = effect.equals("safe");
        return (safe ? "GET" : "POST")
                + " /x HTTP/1.1\r\nHost: x\r\nReq-Id: r\r\nReq-Kind: "
                + kind
                + "\r\n"
                + (effect.equals("keyed") ? "Idempotency-Key: k\r\n" : "")
                + "Req-Deadline-Ms: "
                + deadlineMs
                + "\r\n"
                + (safe ? "" : "Content-Length: 2\r\n")
                + "\r\n"
                + (safe ? "" : "hi");
    }

    @ParameterizedTest
    @ValueSource(ints = {1, 2, 7})
    void anyNumberOfClassesOfAnyEffectIsServed(int classes) throws Exception {
        List<String> effects = List.of("unsafe", "keyed", "safe");
        List<String> scopes = List.of("all", "zone", "cell");
        List<Map<String, Object>> kinds = new ArrayList<>();
        for (int i = 0; i < classes; i++) {
            kinds.add(kind("kind " + i, effects.get(i % 3), scopes.get(i / 3 % 3), 20_000, 30));
        }
        try (FakeUpstream upstream = new FakeUpstream()) {
            Node node =
                    new Node(
                            config(bare(kinds), upstream.address()),
                            Balance::new,
                            false,
                            line -> {});
            InetSocketAddress at = node.start();
            try (Client client = new Client(at)) {
                for (int i = 0; i < classes; i++) {
                    client.send(request("kind " + i, effects.get(i % 3), 20_000));
                    upstream.next().answer(200, "", "ok");
                    assertEquals(200, client.status());
                }
            } finally {
                node.stop();
            }
        }
    }

    /** The last of these has no time to be sent at all. */
    @ParameterizedTest
    @CsvSource({"safe,150", "keyed,150", "unsafe,150", "unsafe,12"})
    void aDeadlineShorterThanAConnectIsAnsweredInTime(String effect, long deadlineMs)
            throws Exception {
        try (ClosedDoor door = new ClosedDoor()) {
            Node node =
                    new Node(
                            config(
                                    bare(List.of(kind("a", effect, "cell", 150, 20))),
                                    door.address()),
                            Balance::new,
                            false,
                            line -> {});
            InetSocketAddress at = node.start();
            try (Client client = new Client(at)) {
                client.send(request("a", effect, deadlineMs));
                assertTrue(client.status() > 500);
            } finally {
                node.stop();
            }
        }
    }

    @Test
    void anImpossibleSettingIsNamedByItsPath() throws IOException {
        Map<String, Object> settings =
                bare(List.of(kind("a", "safe", "all", 1_000, 0), kind("b", "keyed", "all", 0, 0)));
        assertEquals(
                "settings: Classes.1: impossible aim: 0",
                assertThrows(Config.Bad.class, () -> config(settings, "127.0.0.1:80"))
                        .getMessage());
        settings.put("Classes", List.of(kind("a", "sometimes", "all", 1_000, 0)));
        assertEquals(
                "settings: Classes.0.Idempotency: unknown word: 'sometimes'",
                assertThrows(Config.Bad.class, () -> config(settings, "127.0.0.1:80"))
                        .getMessage());
    }
}

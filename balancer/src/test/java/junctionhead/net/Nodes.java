package junctionhead.net;

import com.fasterxml.jackson.jr.ob.JSON;
import java.io.IOException;
import java.util.Map;
import java.util.function.Consumer;
import junctionhead.Policy;

/** Makes balancers for tests. */
final class Nodes {
    private Nodes() {}

    /** A balancer that is ready at once, knows one upstream, s1, and finds no discovery. */
    static Node node(
            FakeUpstream upstream,
            Policy module,
            Map<String, Object> settings,
            int sockets,
            Consumer<String> log)
            throws IOException {
        String known =
                "{\"rev\":1,\"all\":true,\"targets\":[{\"uid\":\"s1\",\"endpoint\":\""
                        + upstream.address()
                        + "\",\"state\":\"in_service\",\"boot_ms\":0}]}";
        return new Node(
                Config.of(
                        Map.of(),
                        Map.of(
                                "name",
                                "n1",
                                "listen",
                                "127.0.0.1:0",
                                "discovery",
                                "127.0.0.1:9",
                                "seed",
                                "8c1f30d27a5be964",
                                "limits",
                                Map.of("sockets", sockets),
                                "settings",
                                settings,
                                "known",
                                JSON.std.mapFrom(known),
                                "admin",
                                "127.0.0.1:0")),
                (s, seed) -> module,
                false,
                log);
    }

    /** A balancer that knows no upstream, finds no discovery, and so is never ready. */
    static Node unready(Map<String, Object> settings, Policy module, Consumer<String> log) {
        return new Node(
                Config.of(
                        Map.of(),
                        Map.of(
                                "name",
                                "n1",
                                "listen",
                                "127.0.0.1:0",
                                "discovery",
                                "127.0.0.1:9",
                                "seed",
                                "8c1f30d27a5be964",
                                "settings",
                                settings,
                                "admin",
                                "127.0.0.1:0")),
                (s, seed) -> module,
                false,
                log);
    }
}

package loadbalancer.server;

import com.fasterxml.jackson.jr.ob.JSON;
import java.io.IOException;
import java.util.Map;
import java.util.function.Consumer;
import loadbalancer.config.BalancerConfig;
import loadbalancer.routing.api.RoutingPolicy;

/** Makes balancers for tests. */
final class BalancerServerFixtures {
    private BalancerServerFixtures() {}

    /** A balancer that is ready at once, knows one upstream, s1, and finds no discovery. */
    static BalancerServer readyBalancer(
            FakeHttpServer upstream,
            RoutingPolicy policy,
            Map<String, Object> rawSettings,
            int maxSockets,
            Consumer<String> logSink)
            throws IOException {
        String knownList =
                "{\"rev\":1,\"all\":true,\"targets\":[{\"uid\":\"s1\",\"endpoint\":\""
                        + upstream.address()
                        + "\",\"state\":\"in_service\",\"boot_ms\":0}]}";
        return new BalancerServer(
                BalancerConfig.parse(
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
                                Map.of("sockets", maxSockets),
                                "settings",
                                rawSettings,
                                "known",
                                JSON.std.mapFrom(knownList),
                                "admin",
                                "127.0.0.1:0")),
                (settings, seed) -> policy,
                false,
                logSink);
    }

    /** A balancer that knows no upstream, finds no discovery, and so is never ready. */
    static BalancerServer unreadyBalancer(
            Map<String, Object> rawSettings, RoutingPolicy policy, Consumer<String> logSink) {
        return new BalancerServer(
                BalancerConfig.parse(
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
                                rawSettings,
                                "admin",
                                "127.0.0.1:0")),
                (settings, seed) -> policy,
                false,
                logSink);
    }
}

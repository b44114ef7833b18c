package loadbalancer.server;

import static org.junit.jupiter.api.Assertions.assertEquals;

import com.fasterxml.jackson.jr.ob.JSON;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import loadbalancer.config.BalancerConfig;
import loadbalancer.routing.api.AttemptOutcome;
import loadbalancer.routing.api.LoadReport;
import loadbalancer.routing.api.RoutingActions;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Timeout;

/**
 * A balancer over loopback sockets for tests of what is still owed, or arriving, in the very turn
 * in which something ends: see docs/design/endings.md.
 */
@Timeout(60)
abstract class BalancerServerTestSupport {
    /**
     * A module that may leave attempts of those who left alone, say no to a late write, or try once
     * more.
     */
    static final class ConfigurablePolicy extends ScriptedPolicy {
        volatile boolean cancelsOnDisconnect = true;
        volatile boolean canStartAttempt = true;
        volatile boolean retriesRejected;

        @Override
        public void onAttemptEnded(
                long now,
                String requestId,
                int attemptNumber,
                AttemptOutcome outcome,
                long latencyMicros,
                boolean closed,
                LoadReport load,
                RoutingActions actions) {
            if (retriesRejected && !closed && outcome == AttemptOutcome.REJECTED) {
                events.add("again");
                actions.send(requestId, "s1", 0);
            } else {
                super.onAttemptEnded(
                        now,
                        requestId,
                        attemptNumber,
                        outcome,
                        latencyMicros,
                        closed,
                        load,
                        actions);
            }
        }

        @Override
        public void onClientDisconnected(long now, String requestId, RoutingActions actions) {
            events.add("gone");
            if (cancelsOnDisconnect) {
                actions.cancel(requestId, 0);
            }
        }

        @Override
        public boolean canStartAttempt(long now, String requestId, int attemptNumber) {
            return canStartAttempt;
        }
    }

    final ConfigurablePolicy policy = new ConfigurablePolicy();
    FakeHttpServer upstream;
    BalancerServer balancer;
    InetSocketAddress address;

    @BeforeEach
    void open() throws IOException {
        upstream = new FakeHttpServer();
    }

    @AfterEach
    void close() throws IOException {
        if (balancer != null) {
            balancer.stop();
        }
        upstream.close();
    }

    final void start() throws IOException, InterruptedException {
        start(upstream.address());
    }

    final void start(String endpointAddress) throws IOException, InterruptedException {
        Map<String, Object> rawSettings = BalancerServerTest.settings();
        rawSettings.put(
                "Limits",
                Map.of(
                        "TryLimit",
                        3,
                        "MayDuplicate",
                        true,
                        "Cancel",
                        true,
                        "Probes",
                        true,
                        "DialTimeout",
                        30_000_000,
                        "IdleClose",
                        30_000_000));
        balancer =
                new BalancerServer(
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
                                        "1",
                                        "settings",
                                        rawSettings,
                                        "known",
                                        JSON.std.mapFrom(
                                                "{\"rev\":1,\"all\":true,\"targets\":["
                                                        + "{\"uid\":\"s1\",\"endpoint\":\""
                                                        + endpointAddress
                                                        + "\",\"state\":\"in_service\",\"boot_ms\":0}]}"))),
                        (settings, seed) -> policy,
                        false,
                        line -> {});
        address = balancer.start();
        assertEquals("CACHED [s1=UP]", policy.nextEvent());
    }

    static final String requestWithId(String requestId) {
        return BalancerServerTest.IDEMPOTENT_REQUEST.replace("Req-Id: r1", "Req-Id: " + requestId);
    }

    final void awaitRequest() throws InterruptedException {
        assertEquals("0 k1 700 true", policy.acceptedRequests.poll(20, TimeUnit.SECONDS));
    }

    /**
     * The next that reaches the upstream is {@code requestId}; its client gets that as its answer.
     */
    final FakeHttpServer.ReceivedRequest serveNext(HttpTestClient client, String requestId)
            throws IOException, InterruptedException {
        FakeHttpServer.ReceivedRequest receivedRequest = upstream.nextRequest();
        assertEquals(requestId, receivedRequest.header("Req-Id"));
        receivedRequest.respond(200, "", requestId);
        assertEquals(200, client.readStatus());
        assertEquals(requestId, new String(client.body, StandardCharsets.UTF_8));
        return receivedRequest;
    }
}

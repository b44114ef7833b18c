package loadbalancer.server;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import loadbalancer.routing.api.AttemptOutcome;
import loadbalancer.routing.api.LoadReport;
import loadbalancer.routing.api.RoutingActions;

/**
 * A balancer over loopback sockets for tests of what is still owed, or arriving, in the very turn
 * in which something ends: see docs/design/endings.md.
 */
abstract class BalancerServerTestSupport extends UpstreamBackedTestSupport {
    /**
     * A routing policy that can leave attempts of disconnected clients alone, forbid the start of
     * an attempt, or retry after a rejection.
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

    final void start() throws IOException, InterruptedException {
        start(upstream.address());
    }

    final void start(String endpointAddress) throws IOException, InterruptedException {
        Map<String, Object> rawSettings =
                BalancerServerFixtures.settings(Map.of("DialTimeout", 30_000_000));
        balancer =
                BalancerServerFixtures.newBalancer(
                        Map.of(
                                "seed",
                                "1",
                                "settings",
                                rawSettings,
                                "known",
                                BalancerServerFixtures.knownList(endpointAddress)),
                        policy,
                        line -> {});
        address = balancer.start();
        assertEquals("CACHED [s1=UP]", policy.nextEvent());
    }

    static final String requestWithId(String requestId) {
        return BalancerServerFixtures.IDEMPOTENT_REQUEST.replace(
                "Req-Id: r1", "Req-Id: " + requestId);
    }

    final void awaitRequest() throws InterruptedException {
        assertEquals("0 k1 700 true", policy.acceptedRequests.poll(20, TimeUnit.SECONDS));
    }

    /**
     * Expects {@code requestId} as the next request at the upstream, and answers it with its id.
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

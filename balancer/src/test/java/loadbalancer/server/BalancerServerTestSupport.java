package loadbalancer.server;

import static loadbalancer.server.BalancerServerFixtures.requestWithId;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.net.Socket;
import java.util.Map;

/**
 * A balancer over loopback sockets for tests of races: responses that are due, or data that is
 * arriving, in the iteration of the event loop in which something ends. See docs/design/endings.md.
 */
abstract class BalancerServerTestSupport extends UpstreamBackedTestSupport {
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
                                BalancerServerFixtures.knownList("s1", endpointAddress)),
                        policy,
                        line -> {});
        address = balancer.start();
        assertEquals("CACHED [s1=UP]", policy.nextEvent());
    }

    /** Waits until the policy gets a request. */
    final void awaitRequest() throws InterruptedException {
        assertEquals("0 k1 700 true", policy.nextAcceptedRequest());
    }

    /** Expects {@code requestId} as the next request at the upstream, and responds with that id. */
    final FakeHttpServer.ReceivedRequest serveNext(HttpTestClient client, String requestId)
            throws IOException, InterruptedException {
        FakeHttpServer.ReceivedRequest receivedRequest = upstream.nextRequest();
        assertEquals(requestId, receivedRequest.header("Req-Id"));
        receivedRequest.respond(200, "", requestId);
        assertEquals(200, client.readStatus());
        assertEquals(requestId, client.bodyText());
        return receivedRequest;
    }

    /**
     * Sends a request from a new client, and expects it as the next at the upstream: nothing was
     * forwarded before it.
     */
    final void assertNextRequestIsServed() throws IOException, InterruptedException {
        try (HttpTestClient nextClient = new HttpTestClient(address)) {
            nextClient.send(requestWithId("next"));
            serveNext(nextClient, "next");
        }
    }

    /** The same, where the next request is due on a connection that the upstream has accepted. */
    final void assertNextRequestArrivesOn(Socket upstreamSocket) throws IOException {
        try (HttpTestClient nextClient = new HttpTestClient(address)) {
            nextClient.send(requestWithId("next"));
            assertRequestArrivesOn(upstreamSocket, "next");
        }
    }

    static final void assertRequestArrivesOn(Socket upstreamSocket, String requestId)
            throws IOException {
        String head = FakeHttpServer.readHead(upstreamSocket.getInputStream());
        assertTrue(
                head != null && head.contains("Req-Id: " + requestId),
                "expected the request " + requestId + " but received " + head);
    }
}

package loadbalancer.server;

import static loadbalancer.server.BalancerServerFixtures.requestWithId;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.net.Socket;
import java.util.Map;

/**
 * Starts a balancer over loopback sockets for tests of races, in which a response is due or data
 * arrives in the same iteration of the event loop in which a request or connection ends. See
 * docs/design/endings.md.
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
                                BalancerServerFixtures.initialEndpointList("s1", endpointAddress)),
                        policy,
                        line -> {});
        address = balancer.start();
        assertEquals("CACHED [s1=UP]", policy.nextEvent());
    }

    /** Waits until the policy receives a request. */
    final void awaitRequest() throws InterruptedException {
        assertEquals("0 k1 700 true", policy.nextAcceptedRequest());
    }

    /**
     * Asserts that the next request at the upstream is {@code requestId}, and responds with that
     * id.
     */
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
     * Sends a request from a new client, and asserts that it is the next one at the upstream:
     * nothing was forwarded before it.
     */
    final void assertNextRequestIsServed() throws IOException, InterruptedException {
        try (HttpTestClient nextClient = new HttpTestClient(address)) {
            nextClient.send(requestWithId("next"));
            serveNext(nextClient, "next");
        }
    }

    /**
     * Sends a request from a new client, and asserts that it is the next one on a connection that
     * the upstream has accepted.
     */
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

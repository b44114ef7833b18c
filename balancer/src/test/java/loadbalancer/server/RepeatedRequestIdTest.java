package loadbalancer.server;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** Tests that a request that may have run is not forwarded again under its id. */
class RepeatedRequestIdTest extends UpstreamBackedTestSupport {
    // Time in which a request would have arrived at the upstream.
    private static final long NO_REQUEST_WAIT_MS = 200;

    @BeforeEach
    void start() throws Exception {
        startReady(DEFAULT_MAX_SOCKETS);
    }

    private static String unsafeRequest(String requestId) {
        return BalancerServerFixtures.nonIdempotentHead(requestId) + "Content-Length: 0\r\n\r\n";
    }

    /** The client leaves while its request runs, and sends it again on a new connection. */
    @Test
    void requestOfClientThatLeftIsNotForwardedAgain() throws Exception {
        try (HttpTestClient client = new HttpTestClient(address)) {
            client.send(unsafeRequest("d1"));
            assertEquals("d1", upstream.nextRequest().header("Req-Id"));
        }
        assertEquals("gone", policy.nextEvent());
        try (HttpTestClient client = new HttpTestClient(address)) {
            client.send(unsafeRequest("d1"));
            assertEquals(502, client.readStatus());
        }
        TimeUnit.MILLISECONDS.sleep(NO_REQUEST_WAIT_MS);
        assertTrue(upstream.hasNoQueuedRequests(), "the request was forwarded again");
    }

    /** Its response may have been lost on the way to the client. */
    @Test
    void answeredRequestIsNotForwardedAgain() throws Exception {
        try (HttpTestClient client = new HttpTestClient(address)) {
            client.send(unsafeRequest("d2"));
            upstream.nextRequest().respond(200, "", "ok");
            assertEquals(200, client.readStatus());
            client.send(unsafeRequest("d2"));
            assertEquals(502, client.readStatus());
        }
        assertTrue(upstream.hasNoQueuedRequests(), "the request was forwarded again");
    }

    @Test
    void idempotentRequestIsForwardedAgain() throws Exception {
        try (HttpTestClient client = new HttpTestClient(address)) {
            for (int i = 0; i < 2; i++) {
                client.send(BalancerServerFixtures.requestWithId("d3"));
                upstream.nextRequest().respond(200, "", "ok");
                assertEquals(200, client.readStatus());
            }
        }
    }

    /** A request that was rejected cannot have run, so its client may send it again. */
    @Test
    void rejectedRequestIsForwardedAgain() throws Exception {
        policy.endpointId = null;
        try (HttpTestClient client = new HttpTestClient(address)) {
            client.send(unsafeRequest("d4"));
            assertEquals("2 k1 -1 false", policy.nextAcceptedRequest());
            String requestId = policy.lastRequestId;
            balancer.loop().submit(() -> policy.capturedActions.reject(requestId, 0)).get();
            assertEquals(503, client.readStatus());
            policy.endpointId = "s1";
            client.send(unsafeRequest("d4"));
            upstream.nextRequest().respond(200, "", "ok");
            assertEquals(200, client.readStatus());
        }
    }
}

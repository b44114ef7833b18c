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
}

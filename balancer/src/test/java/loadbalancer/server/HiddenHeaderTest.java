package loadbalancer.server;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/** Tests requests whose Connection header names a header that describes the request. */
@Timeout(30)
class HiddenHeaderTest extends UpstreamBackedTestSupport {
    @BeforeEach
    void start() throws Exception {
        startReady(DEFAULT_MAX_SOCKETS);
    }

    /** Guards against requests that are never answered, because their id is not forwarded. */
    @Test
    void requestWhoseIdIsNamedByConnectionIsRejectedAndFreed() throws Exception {
        try (HttpTestClient client = new HttpTestClient(address)) {
            client.send(
                    BalancerServerFixtures.nonIdempotentHead("r1")
                            + "Connection: Req-Id\r\nContent-Length: 5\r\n\r\nhello");
            assertEquals(400, client.readStatus());
            assertNull(client.readResponse());
        }
        assertEquals(0, balancer.loop().submit(balancer::pendingRequestCount).get());
        assertTrue(policy.acceptedRequests.isEmpty(), "no request reaches the policy");
    }
}

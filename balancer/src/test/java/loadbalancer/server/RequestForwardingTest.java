package loadbalancer.server;

import static loadbalancer.server.BalancerServerFixtures.IDEMPOTENT_REQUEST;
import static loadbalancer.server.BalancerServerFixtures.postRequest;
import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.util.Random;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

/** Tests what client and upstream see of one request, and which outcome the policy gets. */
class RequestForwardingTest extends DiscoveryBackedTestSupport {
    @Test
    void requestAndResponseAreForwardedUnchanged() throws IOException, InterruptedException {
        start();
        byte[] largeBody = new byte[64 * 1024];
        new Random(1).nextBytes(largeBody);
        try (HttpTestClient client = new HttpTestClient(address)) {
            client.send(IDEMPOTENT_REQUEST);
            assertEquals("0 k1 700 true", policy.nextAcceptedRequest());
            FakeHttpServer.ReceivedRequest receivedRequest = upstream.nextRequest();
            assertEquals("GET /api/k1?x=%20y HTTP/1.1", receivedRequest.requestLine());
            assertEquals("r1", receivedRequest.header("Req-Id"));
            assertTrue(Integer.parseInt(receivedRequest.header("Req-Deadline-Ms")) < 20_000);
            receivedRequest.respond(200, "Srv-Load: TEXT eps=0.1, inflight=7\r\n", largeBody);
            assertEquals(200, client.readStatus());
            assertArrayEquals(largeBody, client.body);
            assertEquals("OK 7.0 closed", policy.nextEvent());
            client.send(
                    postRequest(
                            "pay", "Idempotency-Key: abc\r\nReq-Deadline-Ms: 20000\r\n", "hello"));
            receivedRequest = upstream.nextRequest();
            assertEquals("abc", receivedRequest.header("Idempotency-Key"));
            assertEquals("hello", receivedRequest.bodyText());
            receivedRequest.sendRaw(
                    "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\n\r\n");
            assertEquals(200, client.readStatus());
            assertEquals("abc", client.bodyText());
        }
        assertEquals(1, upstream.connectionCount(), "the second request reuses the connection");
    }

    @ParameterizedTest
    @ValueSource(
            strings = {
                "GET /api/k HTTP/1.1\r\nReq-Id: r\r\nReq-Kind: read\r\n\r\n",
                "GET /api/k HTTP/1.1\r\nReq-Id: r\r\nReq-Kind: read\r\nReq-Deadline-Ms: soon\r\n\r\n",
                "GET /api/k HTTP/1.1\r\nReq-Id: r\r\nReq-Kind: other\r\nReq-Deadline-Ms: 900\r\n\r\n",
                "GET /api/k HTTP/1.1\r\nReq-Kind: read\r\nReq-Deadline-Ms: 900\r\n\r\n",
                "GET /api/k HTTP/1.1\r\nReq-Id: r\r\nReq-Kind: book\r\nReq-Deadline-Ms: 900\r\n\r\n",
                "POST /api/k HTTP/1.1\r\nReq-Id: r\r\nReq-Kind: pay\r\nReq-Deadline-Ms: 900\r\n"
                        + "Content-Length: 0\r\n\r\n",
                "POST /api/k HTTP/1.1\r\nReq-Id: r\r\nReq-Kind: book\r\nIdempotency-Key: a\r\n"
                        + "Req-Deadline-Ms: 900\r\nContent-Length: 0\r\n\r\n",
                "POST /api/k HTTP/1.1\r\nReq-Id: r\r\nReq-Kind: book\r\nReq-Deadline-Ms: 900\r\n"
                        + "Content-Length: 65537\r\n\r\n",
                "NONSENSE\r\n\r\n",
                "GET /-/else HTTP/1.1\r\n\r\n",
            })
    void malformedRequestIsRejected(String request) throws IOException, InterruptedException {
        start();
        try (HttpTestClient client = new HttpTestClient(address)) {
            int status = client.send(request).readStatus();
            assertTrue(status >= 400 && status < 500 && status != 429, "status " + status);
        }
        assertTrue(policy.acceptedRequests.isEmpty(), "no request reaches the policy");
        assertEquals(0, upstream.connectionCount(), "connections to the upstream");
    }

    @ParameterizedTest
    @CsvSource(
            useHeadersInDisplayName = true,
            delimiter = '|',
            textBlock =
                    """
                upstream status | header          | outcome   | client status
                200             | ''              | OK closed | 200
                500             | ''              | ERROR     | 502
                503             | ''              | ERROR     | 502
                503             | Srv-Declined: 1 | REJECTED  | 502
                504             | Srv-Declined: 1 | REJECTED  | 502
                500             | Srv-Declined: 1 | ERROR     | 502
                429             | ''              | ERROR     | 502
                """)
    void onlyDeclinedResponseIsReportedAsRejected(
            int status, String header, String expectedOutcome, int expectedStatus)
            throws IOException, InterruptedException {
        start();
        try (HttpTestClient client = new HttpTestClient(address)) {
            client.send(IDEMPOTENT_REQUEST);
            upstream.nextRequest().respond(status, header.isEmpty() ? "" : header + "\r\n", "");
            assertEquals(expectedOutcome, policy.nextEvent());
            assertEquals(expectedStatus, client.readStatus());
        }
    }

    /** The upstream ends the connection before its response, and then during a response. */
    @Test
    void brokenConnectionIsReportedAsReset() throws IOException, InterruptedException {
        start();
        try (HttpTestClient client = new HttpTestClient(address)) {
            client.send(IDEMPOTENT_REQUEST);
            upstream.nextRequest().reset();
            assertEquals("RESET", policy.nextEvent());
            assertEquals(502, client.readStatus());
            client.send(IDEMPOTENT_REQUEST);
            FakeHttpServer.ReceivedRequest partlyAnsweredRequest = upstream.nextRequest();
            partlyAnsweredRequest.sendRaw("HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\nhalf");
            partlyAnsweredRequest.socket().close();
            assertEquals("RESET", policy.nextEvent());
            assertEquals(502, client.readStatus());
        }
    }

    @Test
    void refusedConnectionIsReportedAsConnectFailure() throws IOException, InterruptedException {
        start();
        upstream.close();
        try (HttpTestClient client = new HttpTestClient(address)) {
            assertEquals(502, client.send(IDEMPOTENT_REQUEST).readStatus());
            assertEquals("CONNECT_FAILED", policy.nextEvent());
        }
    }

    @Test
    void timeoutClosesTheConnection() throws IOException, InterruptedException {
        start();
        policy.timeoutMicros = 100_000;
        try (HttpTestClient client = new HttpTestClient(address)) {
            client.send(IDEMPOTENT_REQUEST);
            FakeHttpServer.ReceivedRequest receivedRequest = upstream.nextRequest();
            assertTrue(Integer.parseInt(receivedRequest.header("Req-Deadline-Ms")) <= 100);
            assertEquals("TIMEOUT", policy.nextEvent());
            assertEquals(502, client.readStatus());
            assertTrue(receivedRequest.awaitClosedByPeer(), "the balancer closes the connection");
        }
    }

    @Test
    void clientDisconnectCancelsTheAttempt() throws IOException, InterruptedException {
        start();
        HttpTestClient client = new HttpTestClient(address).send(IDEMPOTENT_REQUEST);
        FakeHttpServer.ReceivedRequest receivedRequest = upstream.nextRequest();
        client.close();
        assertEquals("gone", policy.nextEvent());
        assertEquals("CANCELLED closed", policy.nextEvent());
        assertTrue(receivedRequest.awaitClosedByPeer(), "the balancer closes the connection");
    }

    /** The policy takes no action, so the balancer itself answers at the request's deadline. */
    @Test
    void requestIgnoredByPolicyGetsFallbackResponse() throws IOException, InterruptedException {
        start();
        policy.endpointId = null;
        try (HttpTestClient client = new HttpTestClient(address)) {
            client.send(IDEMPOTENT_REQUEST.replace("20000", "150"));
            assertEquals(502, client.readStatus());
            assertEquals("gone", policy.nextEvent());
        }
        assertTrue(logLines.contains("fallback responses: count=1"), logLines.toString());
    }

    /** The policy throws. The balancer logs this, answers itself and serves the next request. */
    @Test
    void policyExceptionDoesNotStopTheServer() throws IOException, InterruptedException {
        start();
        policy.throwsOnRequest = true;
        try (HttpTestClient client = new HttpTestClient(address)) {
            assertEquals(502, client.send(IDEMPOTENT_REQUEST.replace("20000", "150")).readStatus());
            assertEquals("gone", policy.nextEvent());
            assertTrue(
                    logLines.get(logLines.size() - 3)
                            .startsWith("routing policy exception: count=1 "),
                    logLines.toString());
            policy.throwsOnRequest = false;
            client.send(IDEMPOTENT_REQUEST);
            upstream.nextRequest().respond(200, "", "ok");
            assertEquals(200, client.readStatus());
        }
    }
}

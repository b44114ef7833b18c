package loadbalancer.server;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.util.List;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * Tests the detection of a request's end. Bytes within a request, or after a malformed one, must
 * not be handled as another request.
 */
class RequestFramingTest extends UpstreamBackedTestSupport {
    private static final String INNER_REQUEST = BalancerServerFixtures.requestWithId("inner");
    private static final String OUTER_HEAD = BalancerServerFixtures.nonIdempotentHead("outer");
    private static final int WAIT_MS = 400;
    private static final int MAX_PIPELINED_REQUESTS = 17;

    @BeforeEach
    void start() throws IOException, InterruptedException {
        startReady(DEFAULT_MAX_SOCKETS);
    }

    /**
     * An inner request follows the malformed outer one, or lies within what a lenient parser would
     * treat as the outer body. In the rows HEAD stands for the start of the outer head, HEAD10 for
     * the same in HTTP/1.0, and ALL for the length of the inner request plus the five bytes before
     * it.
     */
    @ParameterizedTest
    @ValueSource(
            strings = {
                "HEAD Transfer-Encoding: chunked\r\nContent-Length: ALL\r\n\r\n0\r\n\r\n",
                "HEAD Content-Length: ALL\r\nTransfer-Encoding: Chunked\r\n\r\n0\r\n\r\n",
                "HEAD Content-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
                "HEAD Transfer-Encoding: xchunked\r\n\r\n",
                "HEAD Transfer-Encoding: xchunked\r\nContent-Length: 0\r\n\r\n",
                "HEAD Transfer-Encoding: identity\r\nContent-Length: 0\r\n\r\n",
                "HEAD Transfer-Encoding: chunked, identity\r\n\r\n0\r\n\r\n",
                "HEAD Transfer-Encoding: gzip, chunked\r\n\r\n0\r\n\r\n",
                "HEAD Transfer-Encoding: chunked\r\nTransfer-Encoding: identity\r\n\r\n0\r\n\r\n",
                "HEAD Transfer-Encoding: chunked\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
                "HEAD Transfer-Encoding:\r\n\r\n",
                "HEAD Transfer-Encoding : chunked\r\n\r\n0\r\n\r\n",
                "HEAD10 Transfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
                "HEAD10 Transfer-Encoding: chunked\r\nContent-Length: ALL\r\n\r\n0\r\n\r\n",
                "HEAD Content-Length: 0\r\nContent-Length: ALL\r\n\r\n",
                "HEAD Content-Length: 0, 7\r\n\r\n",
                "HEAD Content-Length: -1\r\n\r\n",
                "HEAD Content-Length: +0\r\n\r\n",
                "HEAD Expect: the-unknown\r\nContent-Length: ALL\r\n\r\n",
                "HEAD Expect: 100-continue\r\nContent-Length: 33554433\r\n\r\n",
                "HEAD Content-Length: 33554433\r\n\r\n",
                "HEAD Transfer-Encoding: chunked\r\n\r\nx\r\n",
                "HEAD Transfer-Encoding: chunked\r\n\r\n100000005\r\nabcde\r\n0\r\n\r\n",
                "HEAD Transfer-Encoding: chunked\r\n\r\n5 6\r\nabcde\r\n0\r\n\r\n",
                "HEAD10 Connection: keep-alive\r\nContent-Length: 0\r\nContent-Length: ALL\r\n\r\n",
                "GET /api/k1 HTTP/1.1\r\nReq-Id: outer\r\nReq-Kind: read\r\nReq-Deadline-Ms: 20000\r\n"
                        + "Sec-WebSocket-Key1: a\r\nSec-WebSocket-Key2: b\r\n\r\n12345678",
                "POST /api/k1 HTTP/1.1\r\nReq-Kind: other\r\nContent-Length: 0\r\n\r\n",
                "POST /api/k1 HTTP/2.0\r\nReq-Id: outer\r\nReq-Kind: book\r\nReq-Deadline-Ms: 20000\r\n\r\n",
                "POST /api/k1 RTSP/1.0\r\nReq-Id: outer\r\nReq-Kind: book\r\nReq-Deadline-Ms: 20000\r\n\r\n",
                "NONSENSE\r\n\r\n",
            })
    void malformedRequestAndFollowingBytesAreRejected(String request) throws Exception {
        String outer =
                request.replace("HEAD10 ", OUTER_HEAD.replace("1.1", "1.0"))
                        .replace("HEAD ", OUTER_HEAD)
                        .replace("ALL", Integer.toString(INNER_REQUEST.length() + 5));
        try (HttpTestClient client = new HttpTestClient(address)) {
            client.send(outer + INNER_REQUEST);
            int status = client.readStatus();
            assertTrue(status >= 400 && status < 500 && status != 429, "status " + status);
            assertClosed(client);
        }
        assertTrue(policy.acceptedRequests.isEmpty(), "no request reaches the policy");
        assertEquals(0, upstream.connectionCount(), "connections to the upstream");
    }

    /**
     * Asserts that the balancer has closed the connection. A reset counts as a close, because input
     * that the balancer left unread may cause one.
     */
    private static void assertClosed(HttpTestClient client) {
        String response;
        try {
            response = client.readResponse();
        } catch (IOException e) {
            response = null;
        }
        assertNull(response, "unexpected response instead of a close of the connection");
    }

    /** The balancer has forwarded much of the body before it detects that the body is too long. */
    @Test
    void oversizedChunkedBodyIsRejected() throws Exception {
        String chunk = BalancerServerFixtures.chunk("x".repeat(0x100000));
        try (HttpTestClient client = new HttpTestClient(address)) {
            client.send(OUTER_HEAD + "Transfer-Encoding: chunked\r\n\r\n");
            for (int i = 0; i < 32; i++) {
                client.send(chunk);
            }
            client.send("1\r\nx\r\n");
            assertEquals(413, client.readStatus());
            assertClosed(client);
        }
        assertEquals("uploading", policy.nextEvent());
        assertEquals("gone", policy.nextEvent());
        assertTrue(upstream.hasNoQueuedRequests(), "no complete request reaches the upstream");
    }

    @Test
    void nothingIsReadAfterConnectionClose() throws Exception {
        try (HttpTestClient client = new HttpTestClient(address)) {
            client.send(
                    "GET /-/ready HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n"
                            + INNER_REQUEST);
            assertEquals(200, client.readStatus());
            assertClosed(client);
        }
        assertTrue(policy.acceptedRequests.isEmpty());
    }

    @Test
    void requestBeforeMalformedOneIsAnswered() throws Exception {
        try (HttpTestClient client = new HttpTestClient(address)) {
            client.send(
                    INNER_REQUEST
                            + OUTER_HEAD
                            + "Content-Length: 33554433\r\n\r\n"
                            + INNER_REQUEST);
            assertEquals("0 k1 700 true", policy.nextAcceptedRequest());
            upstream.nextRequest().respond(200, "", "ok");
            assertEquals(200, client.readStatus());
            assertClosed(client);
        }
        assertTrue(policy.acceptedRequests.isEmpty());
    }

    /** Requests within the pipelining limit are answered, then the connection is closed. */
    @Test
    void pipeliningIsServedUpToTheLimit() throws Exception {
        try (HttpTestClient client = new HttpTestClient(address)) {
            client.send(INNER_REQUEST.repeat(30));
            for (int i = 0; i < MAX_PIPELINED_REQUESTS; i++) {
                upstream.nextRequest().respond(200, "", "ok");
                assertEquals(200, client.readStatus(), "response " + i);
            }
            assertClosed(client);
        }
        assertEquals(MAX_PIPELINED_REQUESTS, policy.acceptedRequests.size());
    }

    /** The time of a request that waits behind another one counts from its last byte. */
    @Test
    void pipelinedRequestTellsTheUpstreamOnlyTheTimeThatIsLeft() throws Exception {
        try (HttpTestClient client = new HttpTestClient(address)) {
            client.send(
                    BalancerServerFixtures.requestWithId("first")
                            + BalancerServerFixtures.requestWithId("second"));
            FakeHttpServer.ReceivedRequest first = upstream.nextRequest();
            TimeUnit.MILLISECONDS.sleep(WAIT_MS);
            first.respond(200, "", "ok");
            FakeHttpServer.ReceivedRequest second = upstream.nextRequest();
            int timeLeftMs = Integer.parseInt(second.header("Req-Deadline-Ms"));
            assertTrue(timeLeftMs <= 20_000 - WAIT_MS, timeLeftMs + " ms left");
            second.respond(200, "", "ok");
            assertEquals(200, client.readStatus());
            assertEquals(200, client.readStatus());
        }
    }

    @Test
    void chunkedBodyMayArriveByteByByte() throws Exception {
        String request =
                OUTER_HEAD
                        + "transfer-encoding: Chunked\r\n\r\n"
                        + "3;x=y\r\nabc\r\n00002\r\nde\r\n0\r\nX: y\r\n\r\n";
        try (HttpTestClient client = new HttpTestClient(address)) {
            for (String requestId : List.of("first", "second")) {
                String text = request.replace("Req-Id: outer", "Req-Id: " + requestId);
                for (int offset = 0; offset < text.length(); offset++) {
                    client.send(text.substring(offset, offset + 1));
                }
                FakeHttpServer.ReceivedRequest receivedRequest = upstream.nextRequest();
                assertEquals("abcde", receivedRequest.bodyText());
                assertNull(receivedRequest.header("Transfer-Encoding"));
                receivedRequest.respond(200, "", "ok");
                assertEquals(200, client.readStatus());
            }
        }
    }

    @ParameterizedTest
    @ValueSource(ints = {0, 1, 65_536})
    void bodiesUpToTheLimitAreAccepted(int length) throws Exception {
        try (HttpTestClient client = new HttpTestClient(address)) {
            client.send(
                    OUTER_HEAD
                            + "Content-Length: "
                            + length
                            + "\r\n\r\n"
                            + "x".repeat(length)
                            + INNER_REQUEST);
            FakeHttpServer.ReceivedRequest receivedRequest = upstream.nextRequest();
            assertEquals(length, receivedRequest.body().length);
            receivedRequest.respond(200, "", "ok");
            assertEquals(200, client.readStatus());
            // The bytes after the body are a separate request.
            upstream.nextRequest().respond(200, "", "inner");
            assertEquals(200, client.readStatus());
        }
    }

    @Test
    void expectContinueIsHonored() throws Exception {
        try (HttpTestClient client = new HttpTestClient(address)) {
            client.send(OUTER_HEAD + "Expect: 100-continue\r\nContent-Length: 5\r\n\r\n");
            assertTrue(FakeHttpServer.readHead(client.input).startsWith("HTTP/1.1 100"));
            client.send("hello");
            FakeHttpServer.ReceivedRequest receivedRequest = upstream.nextRequest();
            assertEquals("hello", receivedRequest.bodyText());
            assertNull(receivedRequest.header("Expect"));
            receivedRequest.respond(200, "", "ok");
            assertEquals(200, client.readStatus());
        }
    }
}

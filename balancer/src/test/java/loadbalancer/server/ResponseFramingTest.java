package loadbalancer.server;

import static loadbalancer.server.FakeHttpServer.OK_STATUS_LINE;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Tests that only a complete, well-formed response to the same request is forwarded. */
class ResponseFramingTest extends UpstreamBackedTestSupport {
    @BeforeEach
    void start() throws IOException, InterruptedException {
        startReady(DEFAULT_MAX_SOCKETS);
    }

    @ParameterizedTest
    @ValueSource(
            strings = {
                OK_STATUS_LINE
                        + "Content-Length: 5\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nhi\r\n0\r\n\r\n",
                OK_STATUS_LINE + "Transfer-Encoding: xchunked\r\nContent-Length: 5\r\n\r\nhello",
                OK_STATUS_LINE + "Transfer-Encoding: identity\r\nContent-Length: 5\r\n\r\nhello",
                OK_STATUS_LINE + "Transfer-Encoding: gzip, chunked\r\n\r\n2\r\nhi\r\n0\r\n\r\n",
                OK_STATUS_LINE
                        + "Transfer-Encoding: chunked\r\nTransfer-Encoding: chunked\r\n\r\n"
                        + "2\r\nhi\r\n0\r\n\r\n",
                OK_STATUS_LINE + "Content-Length: 5\r\nContent-Length: 4\r\n\r\nhello",
                OK_STATUS_LINE + "Content-Length: five\r\n\r\nhello",
                OK_STATUS_LINE + "Content-Length: 2\r\n\r\nhello",
                OK_STATUS_LINE + "Content-Length: 0\r\n\r\nhello",
                OK_STATUS_LINE
                        + "Content-Length: 2\r\n\r\nhi"
                        + OK_STATUS_LINE
                        + "Content-Length: x\r\n\r\nho",
                OK_STATUS_LINE + "no colon\r\nContent-Length: 2\r\n\r\nhi",
                OK_STATUS_LINE + "no-colon\r\nContent-Length: 2\r\n\r\nhi",
                OK_STATUS_LINE + "Content-Length : 2\r\n\r\nhi",
                OK_STATUS_LINE
                        + "Transfer-Encoding: chunked\r\n\r\n2\r\nhi\r\n0\r\nno colon\r\n\r\n",
                OK_STATUS_LINE + "Transfer-Encoding: chunked\r\n\r\n2\r\nhi\r\n0\r\n\r\nX",
                OK_STATUS_LINE + "Transfer-Encoding: chunked\r\n\r\nzz\r\nhi\r\n0\r\n\r\n",
                OK_STATUS_LINE + "Transfer-Encoding: chunked\r\n\r\n2\r\nhello\r\n0\r\n\r\n",
                "HTTP/2.0 200 OK\r\nContent-Length: 2\r\n\r\nhi",
                "HTTP/1.0 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nhi\r\n0\r\n\r\n",
                "RTSP/1.0 200 OK\r\nContent-Length: 2\r\n\r\nhi",
                "HTTP/1.1 2x0 OK\r\nContent-Length: 2\r\n\r\nhi",
                "HTTP/1.1 101 Switching\r\nUpgrade: x\r\n\r\n",
                "HTTP/1.1 100 Continue\r\nContent-Length: x\r\n\r\n",
                "nonsense\r\n\r\n",
            })
    void malformedResponseFailsTheAttempt(String response) throws Exception {
        try (HttpTestClient client = new HttpTestClient(address)) {
            client.send(BalancerServerFixtures.IDEMPOTENT_REQUEST);
            FakeHttpServer.ReceivedRequest receivedRequest = upstream.nextRequest();
            receivedRequest.sendRaw(response);
            assertEquals("RESET", policy.nextEvent());
            assertEquals(502, client.readStatus());
            assertTrue(receivedRequest.awaitClosedByPeer(), "the balancer closes the connection");
            client.send(BalancerServerFixtures.IDEMPOTENT_REQUEST);
            upstream.nextRequest().respond(200, "", "its own");
            assertEquals(200, client.readStatus());
            assertEquals("its own", client.bodyText());
        }
    }

    @ParameterizedTest
    @ValueSource(
            strings = {
                OK_STATUS_LINE + "Content-Length: 5\r\n\r\nstray",
                "HTTP/1.1 2",
                "\r\n",
                "x"
            })
    void unsolicitedBytesCloseTheConnection(String unsolicited) throws Exception {
        try (HttpTestClient client = new HttpTestClient(address)) {
            client.send(BalancerServerFixtures.IDEMPOTENT_REQUEST);
            FakeHttpServer.ReceivedRequest receivedRequest = upstream.nextRequest();
            receivedRequest.respond(200, "", "first");
            assertEquals(200, client.readStatus());
            receivedRequest.sendRaw(unsolicited);
            assertTrue(receivedRequest.awaitClosedByPeer());
            client.send(BalancerServerFixtures.IDEMPOTENT_REQUEST);
            receivedRequest = upstream.nextRequest();
            assertEquals(2, receivedRequest.connectionNumber());
            receivedRequest.respond(200, "", "second");
            assertEquals(200, client.readStatus());
            assertEquals("second", new String(client.body, StandardCharsets.UTF_8));
        }
    }

    /** The upstream sends two responses to one request in one write. */
    @Test
    void firstOfTwoResponsesIsForwarded() throws Exception {
        try (HttpTestClient client = new HttpTestClient(address)) {
            client.send(BalancerServerFixtures.IDEMPOTENT_REQUEST);
            FakeHttpServer.ReceivedRequest receivedRequest = upstream.nextRequest();
            receivedRequest.sendRaw(
                    OK_STATUS_LINE
                            + "Content-Length: 2\r\n\r\nhi"
                            + OK_STATUS_LINE
                            + "Content-Length: 2\r\n\r\nho");
            assertEquals(200, client.readStatus());
            assertEquals("hi", client.bodyText());
            assertTrue(receivedRequest.awaitClosedByPeer(), "the balancer closes the connection");
        }
    }

    @ParameterizedTest
    @ValueSource(
            strings = {
                OK_STATUS_LINE + "Content-Length: 5\r\n\r\nhello",
                OK_STATUS_LINE + "Content-Length: 5\r\nConnection: close\r\n\r\nhello",
                "HTTP/1.0 200 OK\r\nContent-Length: 5\r\n\r\nhello",
                "HTTP/1.1 200\r\nContent-Length: 5\r\n\r\nhello",
                OK_STATUS_LINE
                        + "Transfer-Encoding: Chunked\r\n\r\n3;x=y\r\nhel\r\n02\r\nlo\r\n0\r\nX: y\r\n\r\n",
                "HTTP/1.1 100 Continue\r\n\r\n" + OK_STATUS_LINE + "Content-Length: 5\r\n\r\nhello",
                "HTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\nHTTP/1.1 100 Continue\r\n\r\n"
                        + OK_STATUS_LINE
                        + "Content-Length: 5\r\n\r\nhello",
            })
    void validResponsesAreForwardedInAnySplit(String response) throws Exception {
        try (HttpTestClient client = new HttpTestClient(address)) {
            // The first response arrives in one write.
            client.send(BalancerServerFixtures.IDEMPOTENT_REQUEST);
            upstream.nextRequest().sendRaw(response);
            assertEquals(200, client.readStatus());
            assertEquals("hello", client.bodyText());
            client.send(BalancerServerFixtures.IDEMPOTENT_REQUEST);
            // The second response arrives byte by byte.
            FakeHttpServer.ReceivedRequest receivedRequest = upstream.nextRequest();
            for (int offset = 0; offset < response.length(); offset++) {
                receivedRequest.sendRaw(response.substring(offset, offset + 1));
            }
            assertEquals(200, client.readStatus());
            assertEquals("hello", client.bodyText());
        }
    }
}

package junctionhead.net;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.TimeUnit;
import junctionhead.net.NodeTest.Client;
import junctionhead.net.NodeTest.Scripted;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * Where a request ends: nothing that stood within another, or behind a broken one, is taken for
 * one.
 */
@Timeout(60)
class FramingTest {
    private static final String INNER = NodeTest.SAFE.replace("Req-Id: r1", "Req-Id: inner");
    private static final String HEAD =
            "POST /api/k1 HTTP/1.1\r\nHost: backend.local\r\nReq-Id: outer\r\n"
                    + "Req-Kind: book\r\nReq-Deadline-Ms: 20000\r\n";

    private final Scripted module = new Scripted();
    private FakeUpstream upstream;
    private Node node;
    private InetSocketAddress at;

    @BeforeEach
    void open() throws IOException, InterruptedException {
        upstream = new FakeUpstream();
        node = Nodes.node(upstream, module, NodeTest.settings(), 1024, line -> {});
        at = node.start();
        assertEquals("PERSISTED [s1=UP]", module.next());
    }

    @AfterEach
    void close() throws IOException {
        node.stop();
        upstream.close();
    }

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
                "POST /api/k1 HTTP/1.1\r\nReq-Kind: other\r\nContent-Length: 0\r\n\r\n",
                "POST /api/k1 HTTP/2.0\r\nReq-Id: outer\r\nReq-Kind: book\r\nReq-Deadline-Ms: 20000\r\n\r\n",
                "POST /api/k1 RTSP/1.0\r\nReq-Id: outer\r\nReq-Kind: book\r\nReq-Deadline-Ms: 20000\r\n\r\n",
                "NONSENSE\r\n\r\n",
            })
    void neitherTheRequestNorWhatFollowsItIsTaken(String request) throws Exception {
        String outer =
                request.replace("HEAD10 ", HEAD.replace("1.1", "1.0"))
                        .replace("HEAD ", HEAD)
                        .replace("ALL", Integer.toString(INNER.length() + 5));
        try (Client client = new Client(at)) {
            client.send(outer + INNER);
            int status = client.status();
            assertTrue(status >= 400 && status < 500 && status != 429, "status " + status);
            assertNull(end(client));
        }
        assertTrue(module.requests.isEmpty());
        assertEquals(0, upstream.connections());
    }

    // What it left unread may end a connection with a reset, which is an end like any other.
    private static String end(Client client) {
        try {
            return client.answer();
        } catch (IOException e) {
            return null;
        }
    }

    /** A long body is on its way to an upstream by the time it turns out to be too long. */
    @Test
    void aBodyThatGrowsTooLongInChunksIsTurnedAwayAndNeverEndsAtTheUpstream() throws Exception {
        String chunk = "100000\r\n" + "x".repeat(0x100000) + "\r\n";
        try (Client client = new Client(at)) {
            client.send(HEAD + "Transfer-Encoding: chunked\r\n\r\n");
            for (int i = 0; i < 32; i++) {
                client.send(chunk);
            }
            client.send("1\r\nx\r\n");
            assertEquals(413, client.status());
            assertNull(end(client));
        }
        assertEquals("uploading", module.next());
        assertEquals("gone", module.next());
        assertTrue(upstream.isEmpty());
    }

    @Test
    void whatFollowsTheLastRequestOfAConnectionIsNotTaken() throws Exception {
        try (Client client = new Client(at)) {
            client.send("GET /-/ready HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n" + INNER);
            assertEquals(200, client.status());
            assertNull(end(client));
        }
        assertTrue(module.requests.isEmpty());
    }

    @Test
    void aRequestIsAnsweredBeforeTheBrokenOneBehindItEndsTheConnection() throws Exception {
        try (Client client = new Client(at)) {
            client.send(INNER + HEAD + "Content-Length: 33554433\r\n\r\n" + INNER);
            assertNotNull(module.requests.poll(20, TimeUnit.SECONDS));
            upstream.next().answer(200, "", "ok");
            assertEquals(200, client.status());
            assertNull(end(client));
        }
        assertTrue(module.requests.isEmpty());
    }

    /** The limit on requests sent ahead: those within it are answered, and the connection ends. */
    @Test
    void manyRequestsAheadAreAnsweredUpToTheLimit() throws Exception {
        try (Client client = new Client(at)) {
            client.send(INNER.repeat(30));
            for (int i = 0; i < 17; i++) {
                upstream.next().answer(200, "", "ok");
                assertEquals(200, client.status(), "answer " + i);
            }
            assertNull(end(client));
        }
        assertEquals(17, module.requests.size());
    }

    // ---------------------------------------------------------------- valid requests pass

    @Test
    void chunkedBodiesThatComeByteByByteAreTaken() throws Exception {
        String request =
                HEAD
                        + "transfer-encoding: Chunked\r\n\r\n"
                        + "3;x=y\r\nabc\r\n00002\r\nde\r\n0\r\nX: y\r\n\r\n";
        try (Client client = new Client(at)) {
            for (int i = 0; i < 2; i++) {
                for (char c : request.toCharArray()) {
                    client.send(String.valueOf(c));
                }
                FakeUpstream.Got got = upstream.next();
                assertEquals("abcde", new String(got.body(), StandardCharsets.UTF_8));
                assertNull(got.header("Transfer-Encoding"));
                got.answer(200, "", "ok");
                assertEquals(200, client.status());
            }
        }
    }

    @ParameterizedTest
    @ValueSource(ints = {0, 1, 65_536})
    void bodiesUpToTheLimitAreTaken(int length) throws Exception {
        try (Client client = new Client(at)) {
            client.send(
                    HEAD + "Content-Length: " + length + "\r\n\r\n" + "x".repeat(length) + INNER);
            FakeUpstream.Got got = upstream.next();
            assertEquals(length, got.body().length);
            got.answer(200, "", "ok");
            assertEquals(200, client.status());
            // A request of its own
            upstream.next().answer(200, "", "inner");
            assertEquals(200, client.status());
        }
    }

    @Test
    void aClientThatAsksBeforeItSendsItsBodyIsToldToContinue() throws Exception {
        try (Client client = new Client(at)) {
            client.send(HEAD + "Expect: 100-continue\r\nContent-Length: 5\r\n\r\n");
            assertTrue(FakeUpstream.head(client.in).startsWith("HTTP/1.1 100"));
            client.send("hello");
            FakeUpstream.Got got = upstream.next();
            assertEquals("hello", new String(got.body(), StandardCharsets.UTF_8));
            assertNull(got.header("Expect"));
            got.answer(200, "", "ok");
            assertEquals(200, client.status());
        }
    }
}

package junctionhead.net;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import junctionhead.net.NodeTest.Client;
import junctionhead.net.NodeTest.Scripted;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** What upstreams answer: only a whole, readable answer to this request is passed on. */
@Timeout(60)
class AnswersTest {
    private static final String OK = "HTTP/1.1 200 OK\r\n";

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
                OK + "Content-Length: 5\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nhi\r\n0\r\n\r\n",
                OK + "Transfer-Encoding: xchunked\r\nContent-Length: 5\r\n\r\nhello",
                OK + "Transfer-Encoding: identity\r\nContent-Length: 5\r\n\r\nhello",
                OK + "Transfer-Encoding: gzip, chunked\r\n\r\n2\r\nhi\r\n0\r\n\r\n",
                OK
                        + "Transfer-Encoding: chunked\r\nTransfer-Encoding: chunked\r\n\r\n"
                        + "2\r\nhi\r\n0\r\n\r\n",
                OK + "Content-Length: 5\r\nContent-Length: 4\r\n\r\nhello",
                OK + "Content-Length: five\r\n\r\nhello",
                OK + "Content-Length: 2\r\n\r\nhello",
                OK + "Content-Length: 0\r\n\r\nhello",
                OK + "Content-Length: 2\r\n\r\nhi" + OK + "Content-Length: x\r\n\r\nho",
                OK + "no colon\r\nContent-Length: 2\r\n\r\nhi",
                OK + "no-colon\r\nContent-Length: 2\r\n\r\nhi",
                OK + "Content-Length : 2\r\n\r\nhi",
                OK + "Transfer-Encoding: chunked\r\n\r\n2\r\nhi\r\n0\r\nno colon\r\n\r\n",
                OK + "Transfer-Encoding: chunked\r\n\r\n2\r\nhi\r\n0\r\n\r\nX",
                OK + "Transfer-Encoding: chunked\r\n\r\nzz\r\nhi\r\n0\r\n\r\n",
                OK + "Transfer-Encoding: chunked\r\n\r\n2\r\nhello\r\n0\r\n\r\n",
                "HTTP/2.0 200 OK\r\nContent-Length: 2\r\n\r\nhi",
                "HTTP/1.0 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nhi\r\n0\r\n\r\n",
                "RTSP/1.0 200 OK\r\nContent-Length: 2\r\n\r\nhi",
                "HTTP/1.1 2x0 OK\r\nContent-Length: 2\r\n\r\nhi",
                "HTTP/1.1 101 Switching\r\nUpgrade: x\r\n\r\n",
                "HTTP/1.1 100 Continue\r\nContent-Length: x\r\n\r\n",
                "nonsense\r\n\r\n",
            })
    void anUnreadableAnswerIsAFailedAttemptThatMayHaveRun(String answer) throws Exception {
        try (Client client = new Client(at)) {
            client.send(NodeTest.SAFE);
            FakeUpstream.Got got = upstream.next();
            got.raw(answer);
            assertEquals("RESET", module.next());
            assertEquals(502, client.status());
            assertTrue(got.closedByPeer());
            client.send(NodeTest.SAFE);
            upstream.next().answer(200, "", "its own");
            assertEquals(200, client.status());
            assertEquals("its own", new String(client.body, StandardCharsets.UTF_8));
        }
    }

    @ParameterizedTest
    @ValueSource(strings = {OK + "Content-Length: 5\r\n\r\nstray", "HTTP/1.1 2", "\r\n", "x"})
    void whatNobodyAskedForEndsItsConnection(String stray) throws Exception {
        try (Client client = new Client(at)) {
            client.send(NodeTest.SAFE);
            FakeUpstream.Got got = upstream.next();
            got.answer(200, "", "first");
            assertEquals(200, client.status());
            got.raw(stray);
            assertTrue(got.closedByPeer());
            client.send(NodeTest.SAFE);
            got = upstream.next();
            assertEquals(2, got.connection());
            got.answer(200, "", "second");
            assertEquals(200, client.status());
            assertEquals("second", new String(client.body, StandardCharsets.UTF_8));
        }
    }

    @Test
    void theFirstOfTwoAnswersIsPassedOnAndTheirConnectionEnds() throws Exception {
        try (Client client = new Client(at)) {
            client.send(NodeTest.SAFE);
            FakeUpstream.Got got = upstream.next();
            got.raw(OK + "Content-Length: 2\r\n\r\nhi" + OK + "Content-Length: 2\r\n\r\nho");
            assertEquals(200, client.status());
            assertEquals("hi", new String(client.body, StandardCharsets.UTF_8));
            assertTrue(got.closedByPeer());
        }
    }

    // ---------------------------------------------------------------- valid answers pass

    @ParameterizedTest
    @ValueSource(
            strings = {
                OK + "Content-Length: 5\r\n\r\nhello",
                OK + "Content-Length: 5\r\nConnection: close\r\n\r\nhello",
                "HTTP/1.0 200 OK\r\nContent-Length: 5\r\n\r\nhello",
                "HTTP/1.1 200\r\nContent-Length: 5\r\n\r\nhello",
                OK
                        + "Transfer-Encoding: Chunked\r\n\r\n3;x=y\r\nhel\r\n02\r\nlo\r\n0\r\nX: y\r\n\r\n",
                "HTTP/1.1 100 Continue\r\n\r\n" + OK + "Content-Length: 5\r\n\r\nhello",
                "HTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\nHTTP/1.1 100 Continue\r\n\r\n"
                        + OK
                        + "Content-Length: 5\r\n\r\nhello",
            })
    void readableAnswersArePassedOnWholeOrInPieces(String answer) throws Exception {
        try (Client client = new Client(at)) {
            client.send(NodeTest.SAFE);
            upstream.next().raw(answer);
            assertEquals(200, client.status());
            assertEquals("hello", new String(client.body, StandardCharsets.UTF_8));
            client.send(NodeTest.SAFE);
            FakeUpstream.Got got = upstream.next();
            for (char c : answer.toCharArray()) {
                got.raw(String.valueOf(c));
            }
            assertEquals(200, client.status());
            assertEquals("hello", new String(client.body, StandardCharsets.UTF_8));
        }
    }
}

package junctionhead.net;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.OutputStream;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.Random;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

/** Bodies and answers that are passed on as they come: past 64 KiB, up to 32 MB. */
@Timeout(60)
class LongBodiesTest {
    private static final String POST =
            "POST /api/k1 HTTP/1.1\r\nHost: x\r\nReq-Id: r1\r\nReq-Kind: book\r\n"
                    + "Req-Deadline-Ms: 20000\r\n";
    private static final String OK = "HTTP/1.1 200 OK\r\n";

    private final NodeTest.Scripted module = new NodeTest.Scripted();
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

    private static byte[] bytes(int length) {
        byte[] bytes = new byte[length];
        new Random(length).nextBytes(bytes);
        return bytes;
    }

    private static void chunk(OutputStream to, byte[] bytes, int from, int length)
            throws IOException {
        to.write((Integer.toHexString(length) + "\r\n").getBytes(StandardCharsets.ISO_8859_1));
        to.write(bytes, from, length);
        to.write("\r\n".getBytes(StandardCharsets.ISO_8859_1));
    }

    private static byte[] chunked(byte[] bytes, int size) throws IOException {
        ByteArrayOutputStream out = new ByteArrayOutputStream();
        for (int i = 0; i < bytes.length; i += size) {
            chunk(out, bytes, i, Math.min(size, bytes.length - i));
        }
        out.write("0\r\nTrailer: x\r\n\r\n".getBytes(StandardCharsets.ISO_8859_1));
        return out.toByteArray();
    }

    /** The body of the next answer, framed in either way; fails where it is not whole. */
    private static byte[] body(NodeTest.Client client) throws IOException {
        String head = FakeUpstream.head(client.in);
        assertTrue(head.startsWith(OK), head);
        if (head.toLowerCase().contains("transfer-encoding: chunked")) {
            return FakeUpstream.chunks(client.in);
        }
        int length =
                Integer.parseInt(head.toLowerCase().split("content-length: ")[1].split("\r\n")[0]);
        byte[] body = client.in.readNBytes(length);
        if (body.length < length) {
            throw new IOException("cut off");
        }
        return body;
    }

    @ParameterizedTest
    @CsvSource({"65536, false", "65537, false", "65537, true", "3000000, false", "3000000, true"})
    void requestsOfAnyLengthAndFramingReachTheUpstreamUnchanged(int length, boolean chunks)
            throws Exception {
        byte[] sent = bytes(length);
        try (NodeTest.Client client = new NodeTest.Client(at)) {
            OutputStream out = client.socket.getOutputStream();
            for (int i = 0; i < 2; i++) {
                // The connection goes on behind it
                client.send(
                        POST
                                + (chunks
                                        ? "Transfer-Encoding: chunked"
                                        : "Content-Length: " + length)
                                + "\r\n\r\n");
                out.write(chunks ? chunked(sent, 1000) : sent);
                FakeUpstream.Got got = upstream.next();
                assertArrayEquals(sent, got.body());
                assertEquals(1, got.connection());
                got.answer(200, "", "ok");
                assertEquals(200, client.status());
            }
        }
    }

    @ParameterizedTest
    @CsvSource({
        "65537, length",
        "65537, chunked",
        "65537, close",
        "5, close",
        "3000000, length",
        "3000000, chunked",
        "3000000, close"
    })
    void answersOfAnyLengthAndFramingReachTheClientUnchanged(int length, String framing)
            throws Exception {
        byte[] sent = bytes(length);
        try (NodeTest.Client client = new NodeTest.Client(at)) {
            for (int i = 0; i < 2; i++) {
                client.send(NodeTest.SAFE);
                FakeUpstream.Got got = upstream.next();
                if (framing.equals("chunked")) {
                    got.raw(OK + "Transfer-Encoding: chunked\r\n\r\n");
                    got.raw(chunked(sent, 1000));
                } else {
                    got.raw(
                            OK
                                    + (framing.equals("close")
                                            ? ""
                                            : "Content-Length: " + length + "\r\n")
                                    + "\r\n");
                    got.raw(sent);
                }
                if (framing.equals("close")) {
                    got.socket().close();
                }
                assertArrayEquals(sent, body(client));
                assertEquals("OK closed", module.next());
            }
        }
    }

    /** The first bytes count: they must not wait for the rest. */
    @ParameterizedTest
    @ValueSource(strings = {"Content-Length: 100000", "Transfer-Encoding: chunked"})
    void aLongAnswersBeginReachesTheClientBeforeItsEndIsThere(String framing) throws Exception {
        byte[] sent = bytes(100_000);
        boolean chunks = framing.startsWith("T");
        try (NodeTest.Client client = new NodeTest.Client(at)) {
            client.send(NodeTest.SAFE);
            FakeUpstream.Got got = upstream.next();
            got.raw(OK + framing + "\r\n\r\n");
            ByteArrayOutputStream first = new ByteArrayOutputStream();
            chunk(first, sent, 0, 100);
            got.raw(chunks ? first.toByteArray() : new byte[] {sent[0]});
            assertTrue(FakeUpstream.head(client.in).startsWith(OK));
            if (chunks) {
                assertEquals("64", new String(client.in.readNBytes(2), StandardCharsets.US_ASCII));
            } else {
                assertEquals(sent[0], (byte) client.in.read());
            }
            assertEquals("OK closed", module.next());
        }
        assertTrue(upstream.isEmpty());
    }

    @ParameterizedTest
    @CsvSource({
        "Content-Length: 100000, false",
        "Content-Length: 100000, true",
        "Transfer-Encoding: chunked, false",
        "X: close-delimited, true"
    })
    void anAnswerThatBreaksOffIsSeenToBeCutAndTheModuleHearsOfIt(String framing, boolean reset)
            throws Exception {
        try (NodeTest.Client client = new NodeTest.Client(at)) {
            client.send(NodeTest.SAFE);
            FakeUpstream.Got got = upstream.next();
            got.raw(OK + framing + "\r\n\r\n");
            if (framing.startsWith("T")) {
                got.raw(chunked(bytes(80_000), 80_000 + 1).length + "");
                got.reset();
                assertEquals("RESET", module.next());
                // Nothing had been passed on
                return;
            }
            got.raw(bytes(80_000));
            assertEquals("OK closed", module.next());
            if (reset) {
                got.reset();
            } else {
                got.socket().close();
            }
            assertThrows(IOException.class, () -> body(client));
            assertEquals("broke off s1", module.next());
        }
    }

    @Test
    void aClientThatLeavesAmidALongAnswerEndsItsAttemptWithoutBlame() throws Exception {
        try (NodeTest.Client client = new NodeTest.Client(at)) {
            client.send(NodeTest.SAFE);
            FakeUpstream.Got got = upstream.next();
            got.raw(OK + "Content-Length: 30000000\r\n\r\n");
            got.raw(bytes(100_000));
            assertEquals("OK closed", module.next());
            client.socket.close();
            assertTrue(got.closedByPeer());
        }
        assertNull(module.told.poll(100, TimeUnit.MILLISECONDS));
    }

    /**
     * Upstream and client stay connected: the module's answer comes while the client is still
     * sending.
     */
    @Test
    void aRequestWhoseUpstreamBreaksOffIsAnsweredAtOnceAndNotSentAgain() throws Exception {
        try (NodeTest.Client client = new NodeTest.Client(at)) {
            client.send(POST + "Content-Length: 30000000\r\n\r\n");
            client.socket.getOutputStream().write(bytes(100_000));
            assertEquals("uploading", module.next());
            while (upstream.connections() == 0) {
                Thread.onSpinWait();
            }
            upstream.dropAll();
            assertEquals("CONNECT_FAILED", module.next());
            assertEquals(502, client.status());
            // Nobody minds
            client.socket.getOutputStream().write(bytes(100_000));
            assertNull(client.answer());
        }
        assertEquals(1, upstream.connections());
    }

    @Test
    void anEarlyRefusalOfALongRequestIsTold() throws Exception {
        try (NodeTest.Client client = new NodeTest.Client(at)) {
            module.server = null;
            client.send(POST + "Content-Length: 30000000\r\n\r\n");
            client.socket.getOutputStream().write(bytes(100_000));
            assertEquals("uploading", module.next());
            String request = module.taken;
            node.loop().submit(() -> module.actions.refuse(request, 0)).get();
            assertEquals(503, client.status());
            assertNull(client.answer());
        }
        assertEquals(0, upstream.connections());
    }

    @Test
    void aClientThatLeavesAmidItsRequestNeverRunsIt() throws Exception {
        try (NodeTest.Client client = new NodeTest.Client(at)) {
            client.send(POST + "Content-Length: 30000000\r\n\r\n");
            client.socket.getOutputStream().write(bytes(100_000));
            assertEquals("uploading", module.next());
        }
        assertEquals("gone", module.next());
        assertEquals("NOT_SENT closed", module.next());
        assertTrue(upstream.isEmpty());
    }

    /** More than the limit for a request to be whole, and more than its deadline. */
    @Test
    void aBodyThatComesSlowlyIsWaitedForAndOneThatStandsStillIsNot() throws Exception {
        byte[] sent = bytes(300_000);
        try (NodeTest.Client still = new NodeTest.Client(at);
                NodeTest.Client slow = new NodeTest.Client(at)) {
            String post = POST.replace("20000", "1000");
            still.send(post + "Content-Length: 300000\r\n\r\n");
            still.socket.getOutputStream().write(sent, 0, 100_000);
            slow.send(post + "Content-Length: 300000\r\n\r\n");
            for (int i = 0; i < 30; i++) {
                slow.socket.getOutputStream().write(sent, i * 10_000, 10_000);
                TimeUnit.MILLISECONDS.sleep(100);
            }
            FakeUpstream.Got got = upstream.next();
            assertArrayEquals(sent, got.body());
            got.answer(200, "", "ok");
            assertEquals(200, slow.status());
            assertNull(still.answer());
        }
    }

    /** Neither side's 32 MB sit in memory: what is not taken in stays with the upstream. */
    @Test
    void aClientThatTakesNothingInHoldsItsUpstreamBack() throws Exception {
        byte[] part = bytes(1_000_000);
        try (NodeTest.Client client = new NodeTest.Client(at)) {
            client.send(NodeTest.SAFE);
            FakeUpstream.Got got = upstream.next();
            got.raw(OK + "Content-Length: 32000000\r\n\r\n");
            Thread writer =
                    new Thread(
                            () -> {
                                try {
                                    for (int i = 0; i < 32; i++) {
                                        got.raw(part);
                                    }
                                } catch (IOException e) {
                                    Thread.currentThread().interrupt();
                                }
                            });
            writer.start();
            assertEquals("OK closed", module.next());
            writer.join(500);
            assertTrue(writer.isAlive());
            byte[] body = body(client);
            assertEquals(32_000_000, body.length);
            assertFalse(writer.isInterrupted());
        }
    }
}

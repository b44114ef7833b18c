package loadbalancer.server;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.OutputStream;
import java.nio.charset.StandardCharsets;
import java.util.Locale;
import java.util.Random;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

/** Streamed request and response bodies: over 64 KiB, up to 32 MB. */
class BodyStreamingTest extends UpstreamBackedTestSupport {
    private static final String POST_HEAD =
            "POST /api/k1 HTTP/1.1\r\nHost: x\r\nReq-Id: r1\r\nReq-Kind: book\r\n"
                    + "Req-Deadline-Ms: 20000\r\n";
    private static final String OK_STATUS_LINE = "HTTP/1.1 200 OK\r\n";

    private final ScriptedPolicy policy = new ScriptedPolicy();

    @BeforeEach
    void start() throws IOException, InterruptedException {
        startReady(policy, 1024, line -> {});
        assertEquals("CACHED [s1=UP]", policy.nextEvent());
    }

    private static byte[] randomBytes(int length) {
        byte[] bytes = new byte[length];
        new Random(length).nextBytes(bytes);
        return bytes;
    }

    private static void writeChunk(OutputStream output, byte[] bytes, int offset, int length)
            throws IOException {
        output.write((Integer.toHexString(length) + "\r\n").getBytes(StandardCharsets.ISO_8859_1));
        output.write(bytes, offset, length);
        output.write("\r\n".getBytes(StandardCharsets.ISO_8859_1));
    }

    private static byte[] encodeChunked(byte[] bytes, int chunkSize) throws IOException {
        ByteArrayOutputStream output = new ByteArrayOutputStream();
        for (int i = 0; i < bytes.length; i += chunkSize) {
            writeChunk(output, bytes, i, Math.min(chunkSize, bytes.length - i));
        }
        output.write("0\r\nTrailer: x\r\n\r\n".getBytes(StandardCharsets.ISO_8859_1));
        return output.toByteArray();
    }

    /** The body of the next response, framed in either way; fails if it is incomplete. */
    private static byte[] readBody(HttpTestClient client) throws IOException {
        String head = FakeHttpServer.readHead(client.input);
        assertTrue(head.startsWith(OK_STATUS_LINE), head);
        if (head.toLowerCase(Locale.ROOT).contains("transfer-encoding: chunked")) {
            return FakeHttpServer.readChunked(client.input);
        }
        int length =
                Integer.parseInt(
                        head.toLowerCase(Locale.ROOT)
                                .split("content-length: ")[1]
                                .split("\r\n")[0]);
        byte[] body = client.input.readNBytes(length);
        if (body.length < length) {
            throw new IOException("cut off");
        }
        return body;
    }

    @ParameterizedTest
    @CsvSource({"65536, false", "65537, false", "65537, true", "3000000, false", "3000000, true"})
    void requestBodiesArriveUnchanged(int length, boolean useChunks) throws Exception {
        byte[] payload = randomBytes(length);
        try (HttpTestClient client = new HttpTestClient(address)) {
            OutputStream output = client.socket.getOutputStream();
            for (int i = 0; i < 2; i++) {
                // The connection goes on behind it
                client.send(
                        POST_HEAD
                                + (useChunks
                                        ? "Transfer-Encoding: chunked"
                                        : "Content-Length: " + length)
                                + "\r\n\r\n");
                output.write(useChunks ? encodeChunked(payload, 1000) : payload);
                FakeHttpServer.ReceivedRequest receivedRequest = upstream.nextRequest();
                assertArrayEquals(payload, receivedRequest.body());
                assertEquals(1, receivedRequest.connectionNumber());
                receivedRequest.respond(200, "", "ok");
                assertEquals(200, client.readStatus());
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
    void responseBodiesArriveUnchanged(int length, String framing) throws Exception {
        byte[] payload = randomBytes(length);
        try (HttpTestClient client = new HttpTestClient(address)) {
            for (int i = 0; i < 2; i++) {
                client.send(BalancerServerFixtures.IDEMPOTENT_REQUEST);
                FakeHttpServer.ReceivedRequest receivedRequest = upstream.nextRequest();
                if (framing.equals("chunked")) {
                    receivedRequest.sendRaw(OK_STATUS_LINE + "Transfer-Encoding: chunked\r\n\r\n");
                    receivedRequest.sendRaw(encodeChunked(payload, 1000));
                } else {
                    receivedRequest.sendRaw(
                            OK_STATUS_LINE
                                    + (framing.equals("close")
                                            ? ""
                                            : "Content-Length: " + length + "\r\n")
                                    + "\r\n");
                    receivedRequest.sendRaw(payload);
                }
                if (framing.equals("close")) {
                    receivedRequest.socket().close();
                }
                assertArrayEquals(payload, readBody(client));
                assertEquals("OK closed", policy.nextEvent());
            }
        }
    }

    /** The first bytes are forwarded before the others have arrived. */
    @ParameterizedTest
    @ValueSource(strings = {"Content-Length: 100000", "Transfer-Encoding: chunked"})
    void responseIsStreamedBeforeItsEnd(String framing) throws Exception {
        byte[] payload = randomBytes(100_000);
        boolean useChunks = framing.startsWith("T");
        try (HttpTestClient client = new HttpTestClient(address)) {
            client.send(BalancerServerFixtures.IDEMPOTENT_REQUEST);
            FakeHttpServer.ReceivedRequest receivedRequest = upstream.nextRequest();
            receivedRequest.sendRaw(OK_STATUS_LINE + framing + "\r\n\r\n");
            ByteArrayOutputStream firstChunk = new ByteArrayOutputStream();
            writeChunk(firstChunk, payload, 0, 100);
            receivedRequest.sendRaw(useChunks ? firstChunk.toByteArray() : new byte[] {payload[0]});
            assertTrue(FakeHttpServer.readHead(client.input).startsWith(OK_STATUS_LINE));
            if (useChunks) {
                assertEquals(
                        "64", new String(client.input.readNBytes(2), StandardCharsets.US_ASCII));
            } else {
                assertEquals(payload[0], (byte) client.input.read());
            }
            assertEquals("OK closed", policy.nextEvent());
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
    void abortedResponseIsVisibleAndReported(String framing, boolean reset) throws Exception {
        try (HttpTestClient client = new HttpTestClient(address)) {
            client.send(BalancerServerFixtures.IDEMPOTENT_REQUEST);
            FakeHttpServer.ReceivedRequest receivedRequest = upstream.nextRequest();
            receivedRequest.sendRaw(OK_STATUS_LINE + framing + "\r\n\r\n");
            if (framing.startsWith("T")) {
                receivedRequest.sendRaw(encodeChunked(randomBytes(80_000), 80_000 + 1).length + "");
                receivedRequest.reset();
                assertEquals("RESET", policy.nextEvent());
                // Nothing had been passed on
                return;
            }
            receivedRequest.sendRaw(randomBytes(80_000));
            assertEquals("OK closed", policy.nextEvent());
            if (reset) {
                receivedRequest.reset();
            } else {
                receivedRequest.socket().close();
            }
            assertThrows(IOException.class, () -> readBody(client));
            assertEquals("broke off s1", policy.nextEvent());
        }
    }

    @Test
    void disconnectDuringResponseIsNotBlamed() throws Exception {
        try (HttpTestClient client = new HttpTestClient(address)) {
            client.send(BalancerServerFixtures.IDEMPOTENT_REQUEST);
            FakeHttpServer.ReceivedRequest receivedRequest = upstream.nextRequest();
            receivedRequest.sendRaw(OK_STATUS_LINE + "Content-Length: 30000000\r\n\r\n");
            receivedRequest.sendRaw(randomBytes(100_000));
            assertEquals("OK closed", policy.nextEvent());
            client.socket.close();
            assertTrue(receivedRequest.isClosedByPeer());
        }
        assertNull(policy.events.poll(100, TimeUnit.MILLISECONDS));
    }

    /**
     * Upstream and client stay connected: the policy's response comes while the client is still
     * sending.
     */
    @Test
    void abortedUploadIsAnsweredAndNotRetried() throws Exception {
        try (HttpTestClient client = new HttpTestClient(address)) {
            client.send(POST_HEAD + "Content-Length: 30000000\r\n\r\n");
            client.socket.getOutputStream().write(randomBytes(100_000));
            assertEquals("uploading", policy.nextEvent());
            while (upstream.connectionCount() == 0) {
                Thread.onSpinWait();
            }
            upstream.closeAllConnections();
            assertEquals("CONNECT_FAILED", policy.nextEvent());
            assertEquals(502, client.readStatus());
            // Expected: the balancer may close first.
            client.socket.getOutputStream().write(randomBytes(100_000));
            assertNull(client.readResponse());
        }
        assertEquals(1, upstream.connectionCount());
    }

    @Test
    void earlyRejectionOfUploadIsSent() throws Exception {
        try (HttpTestClient client = new HttpTestClient(address)) {
            policy.endpointId = null;
            client.send(POST_HEAD + "Content-Length: 30000000\r\n\r\n");
            client.socket.getOutputStream().write(randomBytes(100_000));
            assertEquals("uploading", policy.nextEvent());
            String requestId = policy.lastRequestId;
            balancer.loop().submit(() -> policy.capturedActions.reject(requestId, 0)).get();
            assertEquals(503, client.readStatus());
            assertNull(client.readResponse());
        }
        assertEquals(0, upstream.connectionCount());
    }

    @Test
    void disconnectDuringUploadNeverExecutes() throws Exception {
        try (HttpTestClient client = new HttpTestClient(address)) {
            client.send(POST_HEAD + "Content-Length: 30000000\r\n\r\n");
            client.socket.getOutputStream().write(randomBytes(100_000));
            assertEquals("uploading", policy.nextEvent());
        }
        assertEquals("gone", policy.nextEvent());
        assertEquals("NOT_SENT closed", policy.nextEvent());
        assertTrue(upstream.isEmpty());
    }

    /** Takes longer than the request timeout, and longer than the deadline. */
    @Test
    void slowUploadSucceedsAndStalledOneEnds() throws Exception {
        byte[] payload = randomBytes(300_000);
        try (HttpTestClient stalledClient = new HttpTestClient(address);
                HttpTestClient slowClient = new HttpTestClient(address)) {
            String postHead = POST_HEAD.replace("20000", "1000");
            stalledClient.send(postHead + "Content-Length: 300000\r\n\r\n");
            stalledClient.socket.getOutputStream().write(payload, 0, 100_000);
            slowClient.send(postHead + "Content-Length: 300000\r\n\r\n");
            for (int i = 0; i < 30; i++) {
                slowClient.socket.getOutputStream().write(payload, i * 10_000, 10_000);
                TimeUnit.MILLISECONDS.sleep(100);
            }
            FakeHttpServer.ReceivedRequest receivedRequest = upstream.nextRequest();
            assertArrayEquals(payload, receivedRequest.body());
            receivedRequest.respond(200, "", "ok");
            assertEquals(200, slowClient.readStatus());
            assertNull(stalledClient.readResponse());
        }
    }

    /** Neither side's 32 MB are buffered: what the client does not read stays at the upstream. */
    @Test
    void slowReaderAppliesBackpressure() throws Exception {
        byte[] block = randomBytes(1_000_000);
        try (HttpTestClient client = new HttpTestClient(address)) {
            client.send(BalancerServerFixtures.IDEMPOTENT_REQUEST);
            FakeHttpServer.ReceivedRequest receivedRequest = upstream.nextRequest();
            receivedRequest.sendRaw(OK_STATUS_LINE + "Content-Length: 32000000\r\n\r\n");
            Thread writer =
                    new Thread(
                            () -> {
                                try {
                                    for (int i = 0; i < 32; i++) {
                                        receivedRequest.sendRaw(block);
                                    }
                                } catch (IOException e) {
                                    Thread.currentThread().interrupt();
                                }
                            });
            writer.start();
            assertEquals("OK closed", policy.nextEvent());
            writer.join(500);
            assertTrue(writer.isAlive());
            byte[] body = readBody(client);
            assertEquals(32_000_000, body.length);
            assertFalse(writer.isInterrupted());
        }
    }
}

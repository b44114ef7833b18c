package loadbalancer.server;

import static loadbalancer.TestAwait.await;
import static loadbalancer.server.FakeHttpServer.CHUNKED_HEAD;
import static loadbalancer.server.FakeHttpServer.OK_STATUS_LINE;
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
import org.junit.jupiter.params.provider.EnumSource;

/** Streamed request and response bodies: over 64 KiB, up to 32 MB. */
class BodyStreamingTest extends UpstreamBackedTestSupport {
    private static final String POST_HEAD = BalancerServerFixtures.NON_IDEMPOTENT_HEAD;
    private static final int MEGABYTE = 1_000_000;
    private static final int LARGEST_BODY_MEGABYTES = 32;
    private static final int CHUNK_BYTES = 1_000;
    // In which a wrong event would come.
    private static final long QUIET_MS = 100;
    // In which the writer of a large body fills all buffers on the way to the client.
    private static final long BUFFERS_FILL_MS = 500;
    private static final int SLOW_UPLOAD_PIECES = 30;
    private static final long SLOW_UPLOAD_INTERVAL_MS = 100;

    @BeforeEach
    void start() throws IOException, InterruptedException {
        startReady(DEFAULT_MAX_SOCKETS);
    }

    /** How the end of a body is told. */
    private enum Framing {
        CONTENT_LENGTH,
        CHUNKED,
        CONNECTION_CLOSE;

        /** The header of a message with a body of this length; empty where none is needed. */
        String header(int length) {
            return switch (this) {
                case CONTENT_LENGTH -> "Content-Length: " + length + "\r\n";
                case CHUNKED -> "Transfer-Encoding: chunked\r\n";
                case CONNECTION_CLOSE -> "";
            };
        }

        /** A body as it is on the wire. */
        byte[] encode(byte[] body) throws IOException {
            return this == CHUNKED ? encodeChunked(body, CHUNK_BYTES) : body;
        }
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
            throw new IOException(
                    "the body ended after " + body.length + " of " + length + " bytes");
        }
        return body;
    }

    /** A body of each framing, below and above the size that is streamed, on a kept connection. */
    @ParameterizedTest(name = "{0} bytes, {1}")
    @CsvSource({
        "65536, CONTENT_LENGTH",
        "65537, CONTENT_LENGTH",
        "65537, CHUNKED",
        "3000000, CONTENT_LENGTH",
        "3000000, CHUNKED"
    })
    void requestBodiesArriveUnchanged(int length, Framing framing) throws Exception {
        byte[] payload = randomBytes(length);
        try (HttpTestClient client = new HttpTestClient(address)) {
            // The second request shows that the connection is usable after the first body.
            for (int i = 0; i < 2; i++) {
                client.send(POST_HEAD + framing.header(length) + "\r\n");
                client.send(framing.encode(payload));
                FakeHttpServer.ReceivedRequest receivedRequest = upstream.nextRequest();
                assertArrayEquals(payload, receivedRequest.body());
                assertEquals(1, receivedRequest.connectionNumber());
                receivedRequest.respond(200, "", "ok");
                assertEquals(200, client.readStatus());
            }
        }
    }

    /** A body of each framing, on a kept connection of the client's. */
    @ParameterizedTest(name = "{0} bytes, {1}")
    @CsvSource({
        "65537, CONTENT_LENGTH",
        "65537, CHUNKED",
        "65537, CONNECTION_CLOSE",
        "5, CONNECTION_CLOSE",
        "3000000, CONTENT_LENGTH",
        "3000000, CHUNKED",
        "3000000, CONNECTION_CLOSE"
    })
    void responseBodiesArriveUnchanged(int length, Framing framing) throws Exception {
        byte[] payload = randomBytes(length);
        try (HttpTestClient client = new HttpTestClient(address)) {
            for (int i = 0; i < 2; i++) {
                client.send(BalancerServerFixtures.IDEMPOTENT_REQUEST);
                FakeHttpServer.ReceivedRequest receivedRequest = upstream.nextRequest();
                receivedRequest.sendRaw(OK_STATUS_LINE + framing.header(length) + "\r\n");
                receivedRequest.sendRaw(framing.encode(payload));
                if (framing == Framing.CONNECTION_CLOSE) {
                    receivedRequest.socket().close();
                }
                assertArrayEquals(payload, readBody(client));
                assertEquals("OK closed", policy.nextEvent());
            }
        }
    }

    /** The first bytes are forwarded before the others have arrived. */
    @ParameterizedTest
    @EnumSource(names = {"CONTENT_LENGTH", "CHUNKED"})
    void responseIsStreamedBeforeItsEnd(Framing framing) throws Exception {
        byte[] payload = randomBytes(100_000);
        boolean useChunks = framing == Framing.CHUNKED;
        try (HttpTestClient client = new HttpTestClient(address)) {
            client.send(BalancerServerFixtures.IDEMPOTENT_REQUEST);
            FakeHttpServer.ReceivedRequest receivedRequest = upstream.nextRequest();
            receivedRequest.sendRaw(OK_STATUS_LINE + framing.header(payload.length) + "\r\n");
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
        assertTrue(upstream.isEmpty(), "the upstream received a further request");
    }

    /** The upstream breaks off its response before anything of the body could be forwarded. */
    @Test
    void responseAbortedBeforeItsBodyFailsTheAttempt() throws Exception {
        try (HttpTestClient client = new HttpTestClient(address)) {
            client.send(BalancerServerFixtures.IDEMPOTENT_REQUEST);
            FakeHttpServer.ReceivedRequest receivedRequest = upstream.nextRequest();
            receivedRequest.sendRaw(CHUNKED_HEAD);
            // The first digits of a chunk's size.
            receivedRequest.sendRaw("80026");
            receivedRequest.reset();
            assertEquals("RESET", policy.nextEvent());
        }
    }

    /** The upstream breaks off a response of which the client has the beginning. */
    @ParameterizedTest(name = "{0}, reset={1}")
    @CsvSource({"CONTENT_LENGTH, false", "CONTENT_LENGTH, true", "CONNECTION_CLOSE, true"})
    void abortedResponseIsVisibleAndReported(Framing framing, boolean reset) throws Exception {
        try (HttpTestClient client = new HttpTestClient(address)) {
            client.send(BalancerServerFixtures.IDEMPOTENT_REQUEST);
            FakeHttpServer.ReceivedRequest receivedRequest = upstream.nextRequest();
            receivedRequest.sendRaw(OK_STATUS_LINE + framing.header(100_000) + "\r\n");
            receivedRequest.sendRaw(randomBytes(80_000));
            assertEquals("OK closed", policy.nextEvent());
            if (reset) {
                receivedRequest.reset();
            } else {
                receivedRequest.socket().close();
            }
            assertThrows(IOException.class, () -> readBody(client));
            assertEquals("response aborted s1", policy.nextEvent());
        }
    }

    /** A client that disconnects amid a response is no fault of the upstream's. */
    @Test
    void disconnectDuringResponseIsNotBlamed() throws Exception {
        try (HttpTestClient client = new HttpTestClient(address)) {
            client.send(BalancerServerFixtures.IDEMPOTENT_REQUEST);
            FakeHttpServer.ReceivedRequest receivedRequest = upstream.nextRequest();
            receivedRequest.sendRaw(OK_STATUS_LINE + "Content-Length: 30000000\r\n\r\n");
            receivedRequest.sendRaw(randomBytes(100_000));
            assertEquals("OK closed", policy.nextEvent());
            client.socket.close();
            assertTrue(receivedRequest.isClosedByPeer(), "the balancer closes the connection");
        }
        assertNull(policy.events.poll(QUIET_MS, TimeUnit.MILLISECONDS), "no further event");
    }

    /** The upstream closes its connection while the client is still sending. */
    @Test
    void abortedUploadIsAnsweredAndNotRetried() throws Exception {
        try (HttpTestClient client = new HttpTestClient(address)) {
            client.send(POST_HEAD + "Content-Length: 30000000\r\n\r\n");
            client.socket.getOutputStream().write(randomBytes(100_000));
            assertEquals("uploading", policy.nextEvent());
            await("the balancer connects to the upstream")
                    .until(() -> upstream.connectionCount() > 0);
            upstream.closeAllConnections();
            assertEquals("CONNECT_FAILED", policy.nextEvent());
            assertEquals(502, client.readStatus());
            // The client goes on sending, and its connection still ends without a reset.
            client.socket.getOutputStream().write(randomBytes(100_000));
            assertNull(client.readResponse());
        }
        assertEquals(1, upstream.connectionCount());
    }

    /** Upstream and client stay connected; the policy rejects while the client is still sending. */
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

    /**
     * An upload that takes longer than the timeout for a request's head and than its deadline
     * succeeds while it proceeds; one that stalls ends.
     */
    @Test
    void slowUploadSucceedsAndStalledOneEnds() throws Exception {
        byte[] payload = randomBytes(300_000);
        try (HttpTestClient stalledClient = new HttpTestClient(address);
                HttpTestClient slowClient = new HttpTestClient(address)) {
            String postHead = POST_HEAD.replace("20000", "1000");
            stalledClient.send(postHead + "Content-Length: 300000\r\n\r\n");
            stalledClient.socket.getOutputStream().write(payload, 0, 100_000);
            slowClient.send(postHead + "Content-Length: 300000\r\n\r\n");
            int pieceLength = payload.length / SLOW_UPLOAD_PIECES;
            for (int i = 0; i < SLOW_UPLOAD_PIECES; i++) {
                slowClient.socket.getOutputStream().write(payload, i * pieceLength, pieceLength);
                TimeUnit.MILLISECONDS.sleep(SLOW_UPLOAD_INTERVAL_MS);
            }
            FakeHttpServer.ReceivedRequest receivedRequest = upstream.nextRequest();
            assertArrayEquals(payload, receivedRequest.body());
            receivedRequest.respond(200, "", "ok");
            assertEquals(200, slowClient.readStatus());
            assertNull(stalledClient.readResponse());
        }
    }

    /** The balancer does not buffer 32 MB: what the client does not read stays at the upstream. */
    @Test
    void slowReaderAppliesBackpressure() throws Exception {
        byte[] block = randomBytes(MEGABYTE);
        try (HttpTestClient client = new HttpTestClient(address)) {
            client.send(BalancerServerFixtures.IDEMPOTENT_REQUEST);
            FakeHttpServer.ReceivedRequest receivedRequest = upstream.nextRequest();
            receivedRequest.sendRaw(
                    OK_STATUS_LINE
                            + "Content-Length: "
                            + LARGEST_BODY_MEGABYTES * MEGABYTE
                            + "\r\n\r\n");
            Thread writer =
                    new Thread(
                            () -> {
                                try {
                                    for (int i = 0; i < LARGEST_BODY_MEGABYTES; i++) {
                                        receivedRequest.sendRaw(block);
                                    }
                                } catch (IOException e) {
                                    Thread.currentThread().interrupt();
                                }
                            });
            writer.start();
            assertEquals("OK closed", policy.nextEvent());
            writer.join(BUFFERS_FILL_MS);
            assertTrue(
                    writer.isAlive(),
                    "the upstream wrote all of the body to a client that reads nothing");
            byte[] body = readBody(client);
            assertEquals(LARGEST_BODY_MEGABYTES * MEGABYTE, body.length);
            assertFalse(writer.isInterrupted(), "the upstream could not write all of the body");
        }
    }
}

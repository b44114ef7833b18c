package loadbalancer.server;

import static loadbalancer.TestAwait.await;
import static loadbalancer.server.BalancerServerFixtures.nonIdempotentHead;
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

/** Tests streaming of request and response bodies larger than 64 KiB, up to 32 MB. */
class BodyStreamingTest extends UpstreamBackedTestSupport {
    private static final String POST_HEAD = BalancerServerFixtures.NON_IDEMPOTENT_HEAD;
    private static final int MEGABYTE = 1_000_000;
    private static final int LARGEST_BODY_MEGABYTES = 32;
    private static final int CHUNK_BYTES = 1_000;
    // Time in which an unexpected event would have arrived.
    private static final long NO_EVENT_WAIT_MS = 100;
    // Time in which the writer of a large body fills all buffers on the way to the client.
    private static final long BUFFER_FILL_WAIT_MS = 500;
    private static final int SLOW_UPLOAD_PIECES = 30;
    private static final long SLOW_UPLOAD_INTERVAL_MS = 100;

    @BeforeEach
    void start() throws IOException, InterruptedException {
        startReady(DEFAULT_MAX_SOCKETS);
    }

    /** Defines how the end of a body is indicated. */
    private enum Framing {
        CONTENT_LENGTH,
        CHUNKED,
        CONNECTION_CLOSE;

        /**
         * Returns the header line that frames a body of {@code length} bytes; empty if none is
         * needed.
         */
        String header(int length) {
            return switch (this) {
                case CONTENT_LENGTH -> "Content-Length: " + length + "\r\n";
                case CHUNKED -> "Transfer-Encoding: chunked\r\n";
                case CONNECTION_CLOSE -> "";
            };
        }

        /** Returns the body as it is sent on the wire. */
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

    /**
     * Reads the next response, chunked or with a content length, and returns its body.
     *
     * @throws IOException if the body is incomplete
     */
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

    /** Lengths are below and above the limit for streaming; the client reuses its connection. */
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
                client.send(nonIdempotentHead("r" + i) + framing.header(length) + "\r\n");
                client.send(framing.encode(payload));
                FakeHttpServer.ReceivedRequest receivedRequest = upstream.nextRequest();
                assertArrayEquals(payload, receivedRequest.body());
                assertEquals(1, receivedRequest.connectionNumber());
                receivedRequest.respond(200, "", "ok");
                assertEquals(200, client.readStatus());
            }
        }
    }

    /** The client reuses its connection, also if the upstream closes its own to end the body. */
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

    /** The balancer forwards the first bytes of a body before the rest has arrived. */
    @ParameterizedTest
    @EnumSource(names = {"CONTENT_LENGTH", "CHUNKED"})
    void responseIsStreamedBeforeItsEnd(Framing framing) throws Exception {
        byte[] payload = randomBytes(100_000);
        boolean chunked = framing == Framing.CHUNKED;
        try (HttpTestClient client = new HttpTestClient(address)) {
            client.send(BalancerServerFixtures.IDEMPOTENT_REQUEST);
            FakeHttpServer.ReceivedRequest receivedRequest = upstream.nextRequest();
            receivedRequest.sendRaw(OK_STATUS_LINE + framing.header(payload.length) + "\r\n");
            ByteArrayOutputStream firstChunk = new ByteArrayOutputStream();
            writeChunk(firstChunk, payload, 0, 100);
            receivedRequest.sendRaw(chunked ? firstChunk.toByteArray() : new byte[] {payload[0]});
            assertTrue(FakeHttpServer.readHead(client.input).startsWith(OK_STATUS_LINE));
            if (chunked) {
                assertEquals(
                        "64", new String(client.input.readNBytes(2), StandardCharsets.US_ASCII));
            } else {
                assertEquals(payload[0], (byte) client.input.read());
            }
            assertEquals("OK closed", policy.nextEvent());
        }
        assertTrue(upstream.hasNoQueuedRequests(), "the upstream received a further request");
    }

    /** The upstream resets its connection before any of the body could be forwarded. */
    @Test
    void responseAbortedBeforeItsBodyFailsTheAttempt() throws Exception {
        try (HttpTestClient client = new HttpTestClient(address)) {
            client.send(BalancerServerFixtures.IDEMPOTENT_REQUEST);
            FakeHttpServer.ReceivedRequest receivedRequest = upstream.nextRequest();
            receivedRequest.sendRaw(CHUNKED_HEAD);
            // These are the first digits of a chunk size.
            receivedRequest.sendRaw("80026");
            receivedRequest.reset();
            assertEquals("RESET", policy.nextEvent());
        }
    }

    /**
     * The upstream aborts a response after part of it was forwarded. The client must see that the
     * body is incomplete, and the policy must be told of the aborted response.
     */
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

    /** The policy must not be told of an aborted response if the client disconnects during it. */
    @Test
    void clientDisconnectIsNotReportedAsAbortedResponse() throws Exception {
        try (HttpTestClient client = new HttpTestClient(address)) {
            client.send(BalancerServerFixtures.IDEMPOTENT_REQUEST);
            FakeHttpServer.ReceivedRequest receivedRequest = upstream.nextRequest();
            receivedRequest.sendRaw(OK_STATUS_LINE + "Content-Length: 30000000\r\n\r\n");
            receivedRequest.sendRaw(randomBytes(100_000));
            assertEquals("OK closed", policy.nextEvent());
            client.socket.close();
            assertTrue(receivedRequest.awaitClosedByPeer(), "the balancer closes the connection");
        }
        assertNull(policy.events.poll(NO_EVENT_WAIT_MS, TimeUnit.MILLISECONDS), "no further event");
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
            // The client continues to send, and its connection still ends without a reset.
            client.socket.getOutputStream().write(randomBytes(100_000));
            assertNull(client.readResponse());
        }
        assertEquals(1, upstream.connectionCount());
    }

    /** The policy rejects a request while its client is still sending the body. */
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
    void uploadOfDisconnectedClientIsNotExecuted() throws Exception {
        try (HttpTestClient client = new HttpTestClient(address)) {
            client.send(POST_HEAD + "Content-Length: 30000000\r\n\r\n");
            client.socket.getOutputStream().write(randomBytes(100_000));
            assertEquals("uploading", policy.nextEvent());
        }
        assertEquals("gone", policy.nextEvent());
        assertEquals("NOT_SENT closed", policy.nextEvent());
        assertTrue(upstream.hasNoQueuedRequests());
    }

    /**
     * An upload may take longer than the timeout for a request's head and than the request's
     * deadline as long as it makes progress. A stalled upload is ended.
     */
    @Test
    void slowUploadSucceedsAndStalledOneEnds() throws Exception {
        byte[] payload = randomBytes(300_000);
        try (HttpTestClient stalledClient = new HttpTestClient(address);
                HttpTestClient slowClient = new HttpTestClient(address)) {
            String postHead = POST_HEAD.replace("20000", "1000");
            stalledClient.send(postHead + "Content-Length: 300000\r\n\r\n");
            stalledClient.socket.getOutputStream().write(payload, 0, 100_000);
            slowClient.send(
                    postHead.replace("Req-Id: r1", "Req-Id: slow")
                            + "Content-Length: 300000\r\n\r\n");
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

    /**
     * The balancer must not buffer a body of 32 MB: it stops reading from the upstream while the
     * client does not read.
     */
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
            writer.join(BUFFER_FILL_WAIT_MS);
            assertTrue(
                    writer.isAlive(),
                    "the upstream wrote all of the body to a client that reads nothing");
            byte[] body = readBody(client);
            assertEquals(LARGEST_BODY_MEGABYTES * MEGABYTE, body.length);
            assertFalse(writer.isInterrupted(), "the upstream could not write all of the body");
        }
    }
}

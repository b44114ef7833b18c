package loadbalancer.server;

import static loadbalancer.server.BalancerServerFixtures.READY_REQUEST;
import static loadbalancer.server.BalancerServerFixtures.nonIdempotentHead;
import static loadbalancer.server.BalancerServerFixtures.requestWithId;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.Socket;
import java.net.SocketException;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

/** Tests clients that disconnect at each stage of a request. */
class ClientDisconnectTest extends BalancerServerTestSupport {
    // Exceeds the time in which an attempt may still start after its client has disconnected.
    private static final long DISCONNECT_PAUSE_MS = 150;
    // Time in which a client that sends a long body fills the socket buffers on the way.
    private static final long BUFFER_FILL_WAIT_MS = 2_000;
    private static final int LONG_BODY_BYTES = 1_500_000;
    // The connection of a client whose incomplete body is no longer read is closed at the request's
    // deadline, after 20 s.
    private static final Duration FLOOD_RELEASE_TIMEOUT = Duration.ofSeconds(20 + 10);
    private static final int FLOODING_CLIENTS = 12;
    private static final int FLOOD_BYTES = 1 << 20;

    /** The clients send requests and disconnect while the event loop is stalled. */
    @ParameterizedTest
    @CsvSource(
            useHeadersInDisplayName = true,
            textBlock =
                    """
                clients, reset, keep-alive
                1,       false, false
                1,       true,  false
                1,       false, true
                1,       true,  true
                300,     false, false
                300,     true,  false
                """)
    void requestOfDisconnectedClientIsNotForwarded(
            int clientCount, boolean reset, boolean keepAlive) throws Exception {
        start();
        List<HttpTestClient> disconnectedClients = new ArrayList<>();
        if (keepAlive) {
            disconnectedClients.add(new HttpTestClient(address).send(requestWithId("r0")));
            awaitRequest();
            serveNext(disconnectedClients.get(0), "r0");
            assertEquals("OK closed", policy.nextEvent());
        }
        EventLoopStall stall = new EventLoopStall(balancer.loop());
        for (int i = 0; i < clientCount; i++) {
            if (!keepAlive) {
                disconnectedClients.add(new HttpTestClient(address));
            }
            disconnectedClients.get(i).send(requestWithId("disconnected" + i));
            disconnect(disconnectedClients.get(i), reset);
        }
        stall.release();
        assertNextRequestIsServed();
        awaitRequest();
        assertTrue(policy.acceptedRequests.isEmpty(), policy.acceptedRequests.toString());
        assertEquals("OK closed", policy.nextEvent());
    }

    private static void disconnect(HttpTestClient client, boolean reset) throws IOException {
        if (reset) {
            client.reset();
        } else {
            client.close();
        }
    }

    /** The policy starts an attempt after the request's client has disconnected. */
    @Test
    void pendingRequestOfDisconnectedClientIsDropped() throws Exception {
        start();
        policy.endpointId = null;
        HttpTestClient disconnectedClient =
                new HttpTestClient(address).send(requestWithId("disconnected"));
        awaitRequest();
        String pendingRequestId = policy.lastRequestId;
        disconnectedClient.close();
        assertEquals("gone", policy.nextEvent());
        new EventLoopStall(
                        balancer.loop(),
                        () -> policy.capturedActions.send(pendingRequestId, "s1", 0))
                .release();
        policy.endpointId = "s1";
        assertNextRequestIsServed();
    }

    /**
     * The clients disconnect while the event loop is stalled. The loop is asked to start their
     * attempts before it has read the disconnects.
     */
    @ParameterizedTest
    @CsvSource(
            useHeadersInDisplayName = true,
            textBlock =
                    """
                clients, reset
                1,       false
                1,       true
                300,     false
                300,     true
                """)
    void attemptAfterUnreadDisconnectIsNotSent(int clientCount, boolean reset) throws Exception {
        start();
        try (HttpTestClient firstClient = new HttpTestClient(address).send(requestWithId("r0"))) {
            // This request leaves an idle upstream connection, so that attempts need not connect.
            serveNext(firstClient, "r0");
            awaitRequest();
            assertEquals("OK closed", policy.nextEvent());
        }
        policy.endpointId = null;
        List<HttpTestClient> disconnectedClients = new ArrayList<>();
        List<String> pendingRequestIds = new ArrayList<>();
        for (int i = 0; i < clientCount; i++) {
            disconnectedClients.add(
                    new HttpTestClient(address).send(requestWithId("disconnected" + i)));
            awaitRequest();
            pendingRequestIds.add(policy.lastRequestId);
        }
        EventLoopStall stall =
                new EventLoopStall(
                        balancer.loop(),
                        () ->
                                pendingRequestIds.forEach(
                                        requestId ->
                                                policy.capturedActions.send(requestId, "s1", 0)));
        for (HttpTestClient client : disconnectedClients) {
            disconnect(client, reset);
        }
        pauseAfterDisconnect();
        stall.release();
        for (int i = 0; i < clientCount; i++) {
            assertEquals("gone", policy.nextEvent());
            assertEquals("NOT_SENT closed", policy.nextEvent());
        }
        policy.endpointId = "s1";
        assertNextRequestIsServed();
        assertEquals(1, upstream.connectionCount(), "connections to the upstream");
    }

    private static void pauseAfterDisconnect() throws InterruptedException {
        TimeUnit.MILLISECONDS.sleep(DISCONNECT_PAUSE_MS);
    }

    /**
     * The upstream rejects the attempt, then the client disconnects. The loop reads the rejection
     * first, and the policy retries; the retry must not be sent.
     */
    @Test
    void retryAfterDisconnectIsNotSent() throws Exception {
        start();
        policy.retriesRejected = true;
        HttpTestClient disconnectedClient =
                new HttpTestClient(address).send(requestWithId("disconnected"));
        awaitRequest();
        FakeHttpServer.ReceivedRequest receivedRequest = upstream.nextRequest();
        EventLoopStall stall = new EventLoopStall(balancer.loop());
        receivedRequest.respond(503, "Srv-Declined: 1\r\n", "");
        // The rejection arrives first, so the loop reads it first.
        pauseAfterDisconnect();
        disconnectedClient.close();
        pauseAfterDisconnect();
        stall.release();
        assertEquals("retry", policy.nextEvent());
        assertEquals("gone", policy.nextEvent());
        assertEquals("NOT_SENT closed", policy.nextEvent());
        assertNextRequestIsServed();
    }

    /**
     * Sends a request whose attempt connects to {@code backlogListener}, and returns its client.
     * The connect completes only once the listener accepts.
     */
    private HttpTestClient startConnectingAttempt(
            FullBacklogListener backlogListener, boolean cancelsOnDisconnect) throws Exception {
        start(backlogListener.address());
        policy.cancelsOnDisconnect = cancelsOnDisconnect;
        HttpTestClient client = new HttpTestClient(address).send(requestWithId("disconnected"));
        awaitRequest();
        return client;
    }

    /**
     * While the loop is stalled, the upstream connection is established and then the client
     * disconnects.
     */
    @ParameterizedTest(name = "cancelsOnDisconnect={0}")
    @ValueSource(booleans = {false, true})
    void disconnectInIterationOfConnectSendsNothing(boolean cancelsOnDisconnect) throws Exception {
        try (FullBacklogListener backlogListener = new FullBacklogListener()) {
            HttpTestClient disconnectedClient =
                    startConnectingAttempt(backlogListener, cancelsOnDisconnect);
            // The connect has begun after these iterations of the loop.
            for (int i = 0; i < 3; i++) {
                balancer.loop().submit(() -> {}).get();
            }
            EventLoopStall stall = new EventLoopStall(balancer.loop());
            Socket accepted = backlogListener.acceptNext();
            pauseAfterDisconnect();
            disconnectedClient.close();
            pauseAfterDisconnect();
            stall.release();
            assertEquals("gone", policy.nextEvent());
            assertEquals("NOT_SENT closed", policy.nextEvent());
            assertNextRequestArrivesOn(accepted);
        }
    }

    /**
     * The upstream connection is established after the disconnect. The attempt must not be sent on
     * it even if the policy does not cancel the attempt.
     */
    @ParameterizedTest(name = "cancelsOnDisconnect={0}")
    @ValueSource(booleans = {false, true})
    void disconnectWhileConnectingSendsNothing(boolean cancelsOnDisconnect) throws Exception {
        try (FullBacklogListener backlogListener = new FullBacklogListener()) {
            HttpTestClient disconnectedClient =
                    startConnectingAttempt(backlogListener, cancelsOnDisconnect);
            disconnectedClient.close();
            assertEquals("gone", policy.nextEvent());
            Socket accepted = backlogListener.acceptNext();
            assertEquals("NOT_SENT closed", policy.nextEvent());
            assertNextRequestArrivesOn(accepted);
        }
    }

    /**
     * A response is written to a client whose reset the loop has not read yet. The failed write
     * must close the client's connection.
     */
    @Test
    void unreadResetDuringResponseClosesConnection() throws Exception {
        start();
        policy.endpointId = null;
        HttpTestClient disconnectedClient =
                new HttpTestClient(address).send(requestWithId("disconnected"));
        awaitRequest();
        EventLoopStall stall =
                new EventLoopStall(
                        balancer.loop(),
                        () -> policy.capturedActions.reject(policy.lastRequestId, 0));
        disconnectedClient.reset();
        stall.release();
        assertEquals(
                "0 client connections (0 unproven, 0 idle, 0 half-closed)", awaitClientCount(0));
    }

    @Test
    void pipelinedRequestOfDisconnectedClientIsDropped() throws Exception {
        start();
        HttpTestClient disconnectedClient =
                new HttpTestClient(address)
                        .send(requestWithId("r1") + requestWithId("disconnected"));
        FakeHttpServer.ReceivedRequest firstRequest = upstream.nextRequest();
        disconnectedClient.close();
        assertEquals("gone", policy.nextEvent());
        assertEquals("CANCELLED closed", policy.nextEvent());
        assertTrue(firstRequest.awaitClosedByPeer(), "the first attempt's connection is closed");
        assertNextRequestIsServed();
    }

    /**
     * The body is longer than what the balancer reads while the attempt connects, so the end of the
     * client's stream is behind unread bytes. The disconnect must still be detected.
     */
    @Test
    void disconnectIsSeenWhileReadingIsPaused() throws Exception {
        try (FullBacklogListener backlogListener = new FullBacklogListener()) {
            start(backlogListener.address());
            HttpTestClient disconnectedClient =
                    new HttpTestClient(address)
                            .send(
                                    nonIdempotentHead("disconnected")
                                            + "Content-Length: 200000\r\n\r\n")
                            .send(new byte[180_000]);
            assertEquals("uploading", policy.nextEvent());
            disconnectedClient.close();
            assertEquals("gone", policy.nextEvent());
        }
    }

    /**
     * The client sends its complete body and disconnects. The body is longer than what is read
     * while the attempt connects, so the attempt starts before the disconnect is read. The upstream
     * must not get the last byte, so that it never executes the request.
     */
    @ParameterizedTest(name = "chunked={0}")
    @ValueSource(booleans = {false, true})
    void longBodyOfDisconnectedClientStaysIncomplete(boolean chunked) throws Exception {
        try (FullBacklogListener backlogListener = new FullBacklogListener()) {
            start(backlogListener.address());
            policy.cancelsOnDisconnect = false;
            Thread sender = sendLongBodyAndDisconnect(new HttpTestClient(address), chunked);
            assertEquals("uploading", policy.nextEvent());
            sender.join(BUFFER_FILL_WAIT_MS);
            pauseAfterDisconnect();
            pauseAfterDisconnect();
            Socket accepted = backlogListener.acceptNext();
            assertRequestArrivesOn(accepted, "disconnected");
            assertFalse(
                    isBodyComplete(accepted.getInputStream(), chunked),
                    "the upstream received the complete body");
        }
    }

    /**
     * The client disconnects while a long body waits behind another request, and so its close is
     * behind more than is read of the body.
     */
    @Test
    void longBodyBehindAnotherRequestOfDisconnectedClientIsNotForwarded() throws Exception {
        start();
        HttpTestClient client = new HttpTestClient(address);
        client.send(nonIdempotentHead("first") + "Content-Length: 0\r\n\r\n");
        FakeHttpServer.ReceivedRequest first = upstream.nextRequest();
        Thread sender = sendLongBodyAndDisconnect(client, false);
        sender.join(BUFFER_FILL_WAIT_MS);
        pauseAfterDisconnect();
        first.respond(200, "", "first");
        pauseAfterDisconnect();
        assertEquals(1, policy.acceptedRequests.size(), "the long request was submitted");
    }

    private static Thread sendLongBodyAndDisconnect(HttpTestClient client, boolean chunked) {
        Thread sender =
                new Thread(
                        () -> {
                            try {
                                client.send(nonIdempotentHead("disconnected"));
                                writeLongBody(client.socket.getOutputStream(), chunked);
                                client.close();
                            } catch (IOException e) {
                                Thread.currentThread().interrupt();
                            }
                        });
        sender.start();
        return sender;
    }

    private static void writeLongBody(OutputStream output, boolean chunked) throws IOException {
        String framing =
                chunked
                        ? "Transfer-Encoding: chunked\r\n\r\n"
                                + Integer.toHexString(LONG_BODY_BYTES)
                                + "\r\n"
                        : "Content-Length: " + LONG_BODY_BYTES + "\r\n\r\n";
        output.write(framing.getBytes(StandardCharsets.US_ASCII));
        output.write(new byte[LONG_BODY_BYTES]);
        if (chunked) {
            output.write("\r\n0\r\n\r\n".getBytes(StandardCharsets.US_ASCII));
        }
    }

    /**
     * Reads until the last byte of the body. Returns false if the connection ends before, with or
     * without a reset.
     */
    private static boolean isBodyComplete(InputStream body, boolean chunked) throws IOException {
        try {
            if (!chunked) {
                return body.readNBytes(LONG_BODY_BYTES).length == LONG_BODY_BYTES;
            }
            FakeHttpServer.readChunked(body);
            return true;
        } catch (SocketException | NumberFormatException e) {
            // The connection was reset, or ended within the size of a chunk.
            return false;
        } catch (IOException e) {
            assertTrue(e.getMessage().contains("ended amid"), e.toString());
            return false;
        }
    }

    /**
     * Clients send an endless request line, many pipelined requests or an incomplete body, and
     * disconnect. The balancer must still serve others, and must release all state of these
     * clients.
     */
    @ParameterizedTest(name = "{0}")
    @ValueSource(strings = {"line", "requests", "body"})
    void floodingClientsLeaveNoStateAfterDisconnect(String floodKind) throws Exception {
        start();
        String flood =
                switch (floodKind) {
                    case "line" -> "GET /" + "x".repeat(FLOOD_BYTES);
                    case "requests" -> requestWithId("flood").repeat(2_000);
                    default ->
                            nonIdempotentHead("flood")
                                    + "Content-Length: 30000000\r\n\r\n"
                                    + "x".repeat(FLOOD_BYTES);
                };
        // Without an endpoint the requests stay pending, and what has been read is buffered.
        policy.endpointId = null;
        for (int i = 0; i < FLOODING_CLIENTS; i++) {
            try (HttpTestClient disconnectedClient = new HttpTestClient(address)) {
                disconnectedClient.send(flood);
            } catch (IOException e) {
                // The balancer rejected the request before all of it was sent.
                assertEquals("line", floodKind, e.toString());
            }
        }
        try (HttpTestClient otherClient = new HttpTestClient(address)) {
            assertEquals(200, otherClient.send(READY_REQUEST).readStatus());
        }
        awaitClientCount(0, FLOOD_RELEASE_TIMEOUT);
        assertEquals(
                0,
                balancer.loop().submit(() -> balancer.pendingRequestCount()).get(),
                "pending requests");
        policy.endpointId = "s1";
        assertNextRequestIsServed();
    }
}

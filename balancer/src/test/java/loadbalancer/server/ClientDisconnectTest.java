package loadbalancer.server;

import static loadbalancer.server.BalancerServerFixtures.READY_REQUEST;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.Socket;
import java.net.SocketException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

/** Clients that disconnect, at each stage of their requests. */
class ClientDisconnectTest extends BalancerServerTestSupport {
    @ParameterizedTest
    @CsvSource({
        "1,false,false",
        "1,true,false",
        "1,false,true",
        "1,true,true",
        "300,false,false",
        "300,true,false"
    })
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
            disconnectedClients.get(i).send(requestWithId("gone" + i));
            if (reset) {
                disconnectedClients.get(i).socket.setSoLinger(true, 0);
            }
            disconnectedClients.get(i).close();
        }
        stall.release();
        try (HttpTestClient nextClient = new HttpTestClient(address).send(requestWithId("r2"))) {
            serveNext(nextClient, "r2");
        }
        awaitRequest();
        assertTrue(policy.acceptedRequests.isEmpty(), policy.acceptedRequests.toString());
        assertEquals("OK closed", policy.nextEvent());
    }

    @Test
    void pendingRequestOfDisconnectedClientIsDropped() throws Exception {
        start();
        policy.endpointId = null;
        HttpTestClient disconnectedClient = new HttpTestClient(address).send(requestWithId("gone"));
        awaitRequest();
        String pendingRequestId = policy.lastRequestId;
        disconnectedClient.close();
        assertEquals("gone", policy.nextEvent());
        new EventLoopStall(
                        balancer.loop(),
                        () -> policy.capturedActions.send(pendingRequestId, "s1", 0))
                .release();
        policy.endpointId = "s1";
        try (HttpTestClient nextClient = new HttpTestClient(address).send(requestWithId("r2"))) {
            serveNext(nextClient, "r2");
        }
    }

    /**
     * The event loop is stalled as they disconnect, and runs their attempts before it reads their
     * closes.
     */
    @ParameterizedTest
    @CsvSource({"1,false", "1,true", "300,false", "300,true"})
    void attemptAfterUnreadDisconnectIsNotSent(int clientCount, boolean reset) throws Exception {
        start();
        try (HttpTestClient firstClient = new HttpTestClient(address).send(requestWithId("r0"))) {
            // Leaves an idle connection, so that attempts need not connect.
            serveNext(firstClient, "r0");
            awaitRequest();
            assertEquals("OK closed", policy.nextEvent());
        }
        policy.endpointId = null;
        List<HttpTestClient> disconnectedClients = new ArrayList<>();
        List<String> pendingRequestIds = new ArrayList<>();
        for (int i = 0; i < clientCount; i++) {
            disconnectedClients.add(new HttpTestClient(address).send(requestWithId("gone" + i)));
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
            client.socket.setSoLinger(reset, 0);
            client.close();
        }
        spinBriefly();
        stall.release();
        for (int i = 0; i < clientCount; i++) {
            assertEquals("gone", policy.nextEvent());
            assertEquals("NOT_SENT closed", policy.nextEvent());
        }
        policy.endpointId = "s1";
        try (HttpTestClient nextClient = new HttpTestClient(address).send(requestWithId("r2"))) {
            serveNext(nextClient, "r2");
        }
        assertEquals(1, upstream.connectionCount());
    }

    /**
     * The attempt is rejected, and the client disconnects; the loop reads the rejection first, and
     * the policy retries.
     */
    @Test
    void noRetryAfterDisconnectBetweenAttempts() throws Exception {
        start();
        policy.retriesRejected = true;
        HttpTestClient disconnectedClient = new HttpTestClient(address).send(requestWithId("gone"));
        awaitRequest();
        FakeHttpServer.ReceivedRequest receivedRequest = upstream.nextRequest();
        EventLoopStall stall = new EventLoopStall(balancer.loop());
        receivedRequest.respond(503, "Srv-Declined: 1\r\n", "");
        // The rejection is the first that the loop reads.
        spinBriefly();
        disconnectedClient.close();
        spinBriefly();
        stall.release();
        assertEquals("again", policy.nextEvent());
        assertEquals("gone", policy.nextEvent());
        assertEquals("NOT_SENT closed", policy.nextEvent());
        try (HttpTestClient nextClient = new HttpTestClient(address).send(requestWithId("r2"))) {
            serveNext(nextClient, "r2");
        }
    }

    /** The connection is established, then the client disconnects, while the loop is stalled. */
    @ParameterizedTest
    @ValueSource(booleans = {false, true})
    void disconnectDuringConnectEventSendsNothing(boolean cancelsOnDisconnect) throws Exception {
        try (FullBacklogListener backlogListener = new FullBacklogListener()) {
            start(backlogListener.address());
            policy.cancelsOnDisconnect = cancelsOnDisconnect;
            HttpTestClient disconnectedClient =
                    new HttpTestClient(address).send(requestWithId("gone"));
            awaitRequest();
            for (int i = 0; i < 3; i++) {
                // It has begun to connect
                balancer.loop().submit(() -> {}).get();
            }
            EventLoopStall stall = new EventLoopStall(balancer.loop());
            Socket accepted = backlogListener.acceptNext();
            spinBriefly();
            disconnectedClient.close();
            spinBriefly();
            stall.release();
            assertEquals("gone", policy.nextEvent());
            assertEquals("NOT_SENT closed", policy.nextEvent());
            try (HttpTestClient nextClient = new HttpTestClient(address)) {
                nextClient.send(requestWithId("r2"));
                assertTrue(
                        FakeHttpServer.readHead(accepted.getInputStream()).contains("Req-Id: r2"));
            }
        }
    }

    // Longer than an attempt may start after its client's disconnect.
    private static void spinBriefly() {
        long deadlineNanos = System.nanoTime() + 150_000_000;
        while (System.nanoTime() < deadlineNanos) {
            Thread.onSpinWait();
        }
    }

    /** Where nothing may be cancelled, too: a connection that comes up later is not used for it. */
    @ParameterizedTest
    @ValueSource(booleans = {false, true})
    void disconnectWhileConnectingSendsNothing(boolean cancelsOnDisconnect) throws Exception {
        try (FullBacklogListener backlogListener = new FullBacklogListener()) {
            start(backlogListener.address());
            policy.cancelsOnDisconnect = cancelsOnDisconnect;
            HttpTestClient disconnectedClient =
                    new HttpTestClient(address).send(requestWithId("gone"));
            awaitRequest();
            disconnectedClient.close();
            assertEquals("gone", policy.nextEvent());
            Socket accepted = backlogListener.acceptNext();
            assertEquals("NOT_SENT closed", policy.nextEvent());
            try (HttpTestClient nextClient = new HttpTestClient(address)) {
                nextClient.send(requestWithId("r2"));
                assertTrue(
                        FakeHttpServer.readHead(accepted.getInputStream()).contains("Req-Id: r2"));
            }
        }
    }

    /**
     * The answer meets a reset that the loop has not read yet: its connection is closed by the
     * write.
     */
    @Test
    void disconnectDuringResponseFreesConnection() throws Exception {
        start();
        policy.endpointId = null;
        HttpTestClient disconnectedClient = new HttpTestClient(address).send(requestWithId("gone"));
        awaitRequest();
        EventLoopStall stall =
                new EventLoopStall(
                        balancer.loop(),
                        () -> policy.capturedActions.reject(policy.lastRequestId, 0));
        disconnectedClient.socket.setSoLinger(true, 0);
        disconnectedClient.close();
        stall.release();
        String clientSummary = "";
        while (!clientSummary.startsWith("0 clients'")) {
            clientSummary = balancer.loop().submit(() -> balancer.frontend().toString()).get();
        }
        assertEquals("0 clients' (0 new, 0 at rest, 0 shut)", clientSummary);
    }

    @Test
    void pipelinedRequestOfDisconnectedClientIsDropped() throws Exception {
        start();
        HttpTestClient disconnectedClient =
                new HttpTestClient(address).send(requestWithId("r1") + requestWithId("gone"));
        FakeHttpServer.ReceivedRequest firstRequest = upstream.nextRequest();
        disconnectedClient.close();
        assertEquals("gone", policy.nextEvent());
        assertEquals("CANCELLED closed", policy.nextEvent());
        assertTrue(firstRequest.isClosedByPeer());
        try (HttpTestClient nextClient = new HttpTestClient(address).send(requestWithId("r2"))) {
            serveNext(nextClient, "r2");
        }
    }

    /**
     * Its body waits for a connection, and more of it than is read meanwhile: its end stands behind
     * that.
     */
    @Test
    void disconnectIsSeenWhileReadingIsPaused() throws Exception {
        try (FullBacklogListener backlogListener = new FullBacklogListener()) {
            start(backlogListener.address());
            HttpTestClient disconnectedClient =
                    new HttpTestClient(address)
                            .send(
                                    "POST /api/k1 HTTP/1.1\r\nHost: x\r\nReq-Id: gone\r\n"
                                            + "Req-Kind: book\r\nReq-Deadline-Ms: 20000\r\n"
                                            + "Content-Length: 200000\r\n\r\n");
            disconnectedClient.socket.getOutputStream().write(new byte[180_000]);
            assertEquals("uploading", policy.nextEvent());
            disconnectedClient.close();
            assertEquals("gone", policy.nextEvent());
        }
    }

    /**
     * All of its body is on its way, and its end behind more than is read while its connection is
     * made: the attempt that begins then never gets its last byte, and so never was one.
     */
    @ParameterizedTest
    @ValueSource(booleans = {false, true})
    void longBodyOfDisconnectedClientStaysIncomplete(boolean chunked) throws Exception {
        int length = 1_500_000;
        try (FullBacklogListener backlogListener = new FullBacklogListener()) {
            start(backlogListener.address());
            policy.cancelsOnDisconnect = false;
            HttpTestClient disconnectedClient =
                    new HttpTestClient(address)
                            .send(
                                    "POST /api/k1 HTTP/1.1\r\nHost: x\r\nReq-Id: gone\r\n"
                                            + "Req-Kind: book\r\nReq-Deadline-Ms: 20000\r\n"
                                            + (chunked
                                                    ? "Transfer-Encoding: chunked\r\n\r\n"
                                                    : "Content-Length: " + length + "\r\n\r\n"));
            Thread sender =
                    new Thread(
                            () -> {
                                try {
                                    OutputStream output =
                                            disconnectedClient.socket.getOutputStream();
                                    output.write(
                                            chunked
                                                    ? (Integer.toHexString(length) + "\r\n")
                                                            .getBytes(StandardCharsets.US_ASCII)
                                                    : new byte[0]);
                                    output.write(new byte[length]);
                                    output.write(
                                            chunked
                                                    ? "\r\n0\r\n\r\n"
                                                            .getBytes(StandardCharsets.US_ASCII)
                                                    : new byte[0]);
                                    disconnectedClient.close();
                                } catch (IOException e) {
                                    Thread.currentThread().interrupt();
                                }
                            });
            sender.start();
            assertEquals("uploading", policy.nextEvent());
            // The socket buffers are full.
            sender.join(2_000);
            spinBriefly();
            spinBriefly();
            Socket accepted = backlogListener.acceptNext();
            assertTrue(FakeHttpServer.readHead(accepted.getInputStream()).contains("Req-Id: gone"));
            assertFalse(isBodyComplete(accepted.getInputStream(), chunked ? -1 : length));
        }
    }

    // Reads until its last byte has come, or the connection has ended before.
    private static boolean isBodyComplete(InputStream body, long length) throws IOException {
        try {
            if (length >= 0) {
                return body.readNBytes((int) length).length == length;
            }
            FakeHttpServer.readChunked(body);
            return true;
        } catch (SocketException | NumberFormatException e) {
            // It was reset, or ended amid a chunk
            return false;
        } catch (IOException e) {
            assertTrue(e.getMessage().contains("amid"), e.toString());
            return false;
        }
    }

    /**
     * Clients that send a lot and disconnect: an endless line, pipelined requests, an incomplete
     * body.
     */
    @ParameterizedTest
    @ValueSource(strings = {"line", "requests", "body"})
    void abandonedFloodsLeaveNothingBehind(String floodKind) throws Exception {
        start();
        String flood =
                switch (floodKind) {
                    case "line" -> "GET /" + "x".repeat(1 << 20);
                    case "requests" -> requestWithId("flood").repeat(2_000);
                    default ->
                            "POST /api/k1 HTTP/1.1\r\nHost: x\r\nReq-Id: flood\r\nReq-Kind: book\r\n"
                                    + "Req-Deadline-Ms: 20000\r\nContent-Length: 30000000\r\n\r\n"
                                    + "x".repeat(1 << 20);
                };
        // What has been read of them is buffered.
        policy.endpointId = null;
        for (int i = 0; i < 12; i++) {
            HttpTestClient disconnectedClient = new HttpTestClient(address);
            try {
                disconnectedClient.send(flood);
            } catch (IOException e) {
                // Rejected before all of it was sent.
                assertEquals("line", floodKind);
            }
            disconnectedClient.close();
        }
        try (HttpTestClient properClient = new HttpTestClient(address)) {
            // Amid them
            assertEquals(200, properClient.send(READY_REQUEST).readStatus());
        }
        String clientSummary = "";
        while (!clientSummary.startsWith("0 clients'")) {
            // Or the test's own time is over
            clientSummary = balancer.loop().submit(() -> balancer.frontend().toString()).get();
        }
        assertEquals(0, balancer.loop().submit(() -> balancer.pendingRequestCount()).get());
        policy.endpointId = "s1";
        try (HttpTestClient properClient =
                new HttpTestClient(address).send(requestWithId("proper"))) {
            serveNext(properClient, "proper");
        }
    }
}

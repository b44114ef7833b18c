package loadbalancer.server;

import static loadbalancer.TestAwait.await;
import static loadbalancer.server.BalancerServerFixtures.requestWithId;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.ConnectException;
import java.net.Socket;
import java.net.SocketException;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;

/** Tests requests and responses in progress while a balancer stops and closes its connections. */
class GracefulShutdownTest extends BalancerServerTestSupport {
    private static final int BACKLOGGED_CLIENTS = 40;
    private static final int LAST_RESPONSE_BYTES = 64 * 1024;
    private static final long DEADLINE_MS = 900;
    private static final long MAX_RESPONSE_NANOS = TimeUnit.MILLISECONDS.toNanos(950);
    private static final long MAX_STOP_MS = 20_000;

    private void awaitListenerClosed() {
        await("the balancer accepts no more connections").until(this::isConnectionRefused);
    }

    private boolean isConnectionRefused() throws IOException {
        try (Socket socket = new Socket(address.getAddress(), address.getPort())) {
            assertTrue(socket.isConnected());
            return false;
        } catch (ConnectException e) {
            return true;
        } catch (SocketException e) {
            // The listener closed during this connect; the next attempt is refused.
            return false;
        }
    }

    /**
     * Bytes that follow the last request are not forwarded, but must be read: closing with unread
     * input would reset the connection.
     */
    @Test
    void lateBytesDoNotResetTheLastResponse() throws Exception {
        start();
        policy.endpointId = null;
        BalancerServer stoppedBalancer = balancer;
        HttpTestClient client = new HttpTestClient(address).send(requestWithId("r1"));
        awaitRequest();
        Thread stopThread = stopInBackground();
        awaitNotReady();
        EventLoopStall stall =
                new EventLoopStall(
                        stoppedBalancer.loop(),
                        () -> policy.capturedActions.reject(policy.lastRequestId, 0));
        client.send(requestWithId("late"));
        stall.release();
        assertEquals(503, client.readStatus());
        // The connection must be closed without a reset.
        assertNull(client.readResponse());
        client.close();
        stopThread.join();
        assertTrue(policy.acceptedRequests.isEmpty());
    }

    /** The balancer stops between the first and the last bytes of a request. */
    @Test
    void startedRequestIsAnsweredDuringStop() throws Exception {
        start();
        try (HttpTestClient client = new HttpTestClient(address)) {
            client.send(requestWithId("r1").substring(0, 40));
            Thread stopThread = stopInBackground();
            awaitListenerClosed();
            client.send(requestWithId("r1").substring(40));
            serveNext(client, "r1");
            assertNull(client.readResponse());
            stopThread.join();
        }
    }

    /**
     * Connections that the operating system has accepted, but not the process, when the process
     * closes its listening socket must be answered.
     */
    @Test
    void backloggedConnectionsAreAnswered() throws Exception {
        start();
        EventLoopStall stall =
                new EventLoopStall(balancer.loop(), () -> balancer.frontend().close(() -> {}));
        try (HttpTestClientGroup group = new HttpTestClientGroup(address)) {
            for (int i = 0; i < BACKLOGGED_CLIENTS; i++) {
                group.connect().send(requestWithId("r" + i));
            }
            stall.release();
            for (int i = 0; i < BACKLOGGED_CLIENTS; i++) {
                upstream.nextRequest().respond(200, "", "ok");
            }
            for (HttpTestClient client : group.clients()) {
                assertEquals(200, client.readStatus());
            }
        }
    }

    /**
     * The client never closes its side, so the balancer must close the connection after a timeout.
     */
    @Test
    void stopDoesNotWaitForStuckClients() throws Exception {
        start();
        try (HttpTestClient client = new HttpTestClient(address)) {
            client.send(requestWithId("r1"));
            serveNext(client, "r1");
            Thread stopThread = stopInBackground();
            stopThread.join(MAX_STOP_MS);
            assertFalse(
                    stopThread.isAlive(),
                    "the stop waits for a client that never closes its connection");
            InputStream input = new BufferedInputStream(client.socket.getInputStream());
            assertEquals(-1, input.read());
        }
    }

    /**
     * The response is larger than the socket buffers, so its remainder waits in the process until
     * the client reads.
     */
    @Test
    void slowReaderGetsTheCompleteLastResponse() throws Exception {
        start();
        Thread stopThread;
        try (Socket slowReader = new Socket()) {
            slowReader.setReceiveBufferSize(1024);
            slowReader.connect(address);
            slowReader
                    .getOutputStream()
                    .write(requestWithId("r1").getBytes(StandardCharsets.ISO_8859_1));
            byte[] body = new byte[LAST_RESPONSE_BYTES];
            upstream.nextRequest().respond(200, "", body);
            assertEquals("OK closed", policy.nextEvent());
            stopThread = stopInBackground();
            awaitListenerClosed();
            InputStream input = new BufferedInputStream(slowReader.getInputStream());
            assertTrue(FakeHttpServer.readHead(input).startsWith("HTTP/1.1 200"));
            assertEquals(body.length, input.readAllBytes().length);
        }
        stopThread.join();
    }

    /**
     * The upstream never responds; a request that arrives during the stop must be answered by its
     * deadline.
     */
    @Test
    void deadlinesHoldDuringDrain() throws Exception {
        start();
        Thread stopThread = stopInBackground();
        awaitNotReady();
        try (HttpTestClient lateClient = new HttpTestClient(address)) {
            long sentAtNanos = System.nanoTime();
            lateClient.send(requestWithId("r1").replace("20000", Long.toString(DEADLINE_MS)));
            upstream.nextRequest();
            assertEquals(502, lateClient.readStatus());
            long elapsedNanos = System.nanoTime() - sentAtNanos;
            assertTrue(
                    elapsedNanos < MAX_RESPONSE_NANOS,
                    "answered after " + elapsedNanos / 1_000_000 + " ms");
        }
        stopThread.join();
    }
}

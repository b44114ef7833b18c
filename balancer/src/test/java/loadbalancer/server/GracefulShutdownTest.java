package loadbalancer.server;

import static loadbalancer.server.BalancerServerFixtures.READY_REQUEST;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.ConnectException;
import java.net.Socket;
import java.net.SocketException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;

/** Requests and responses under way as a balancer stops and closes its connections. */
class GracefulShutdownTest extends BalancerServerTestSupport {
    private Thread stopInBackground() {
        Thread stopThread = new Thread(balancer::stop);
        balancer = null;
        stopThread.start();
        return stopThread;
    }

    // Until the readiness check fails.
    private void awaitStopping() throws IOException {
        int readyStatus = 200;
        while (readyStatus == 200) {
            try (HttpTestClient readinessClient = new HttpTestClient(address)) {
                readyStatus = readinessClient.send(READY_REQUEST).readStatus();
            }
        }
    }

    // Until the balancer accepts no more connections.
    private void awaitListenerClosed() throws IOException {
        while (true) {
            try (Socket socket = new Socket(address.getAddress(), address.getPort())) {
                assertTrue(socket.isConnected());
            } catch (ConnectException e) {
                return;
            } catch (SocketException e) {
                // Connected in the very instant of the close: the next attempt shows it.
            }
        }
    }

    /**
     * A close with unread input would reset the connection; what follows the last request is not
     * forwarded.
     */
    @Test
    void lateBytesDoNotResetTheLastResponse() throws Exception {
        start();
        policy.endpointId = null;
        BalancerServer stoppedBalancer = balancer;
        HttpTestClient client = new HttpTestClient(address).send(requestWithId("r1"));
        awaitRequest();
        Thread stopThread = stopInBackground();
        awaitStopping();
        EventLoopStall stall =
                new EventLoopStall(
                        stoppedBalancer.loop(),
                        () -> policy.capturedActions.reject(policy.lastRequestId, 0));
        client.send(requestWithId("late"));
        stall.release();
        assertEquals(503, client.readStatus());
        // A close, no reset.
        assertNull(client.readResponse());
        client.close();
        stopThread.join();
        assertTrue(policy.acceptedRequests.isEmpty());
    }

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

    /** The operating system has accepted them, the process not yet. */
    @Test
    void backloggedConnectionsAreAnswered() throws Exception {
        start();
        List<HttpTestClient> clients = new ArrayList<>();
        EventLoopStall stall =
                new EventLoopStall(balancer.loop(), () -> balancer.frontend().close(() -> {}));
        for (int i = 0; i < 40; i++) {
            clients.add(new HttpTestClient(address).send(requestWithId("r" + i)));
        }
        stall.release();
        for (int i = 0; i < clients.size(); i++) {
            upstream.nextRequest().respond(200, "", "ok");
        }
        for (HttpTestClient client : clients) {
            assertEquals(200, client.readStatus());
            client.close();
        }
    }

    /** The client never closes, so the connection is closed after its bound. */
    @Test
    void stopDoesNotWaitForStuckClients() throws Exception {
        start();
        try (HttpTestClient client = new HttpTestClient(address)) {
            client.send(requestWithId("r1"));
            serveNext(client, "r1");
            Thread stopThread = stopInBackground();
            stopThread.join(20_000);
            assertTrue(!stopThread.isAlive());
            InputStream input = new BufferedInputStream(client.socket.getInputStream());
            assertEquals(-1, input.read());
        }
    }

    /** More than the socket buffers take at once: the remainder waits in the process. */
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
            byte[] body = new byte[64 * 1024];
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

    /** The upstream hangs; a request that comes then is answered by its deadline all the same. */
    @Test
    void deadlinesHoldDuringDrain() throws Exception {
        start();
        Thread stopThread = stopInBackground();
        awaitStopping();
        try (HttpTestClient lateClient = new HttpTestClient(address)) {
            long sentAtNanos = System.nanoTime();
            lateClient.send(requestWithId("r1").replace("20000", "900"));
            upstream.nextRequest();
            assertEquals(502, lateClient.readStatus());
            assertTrue(System.nanoTime() - sentAtNanos < 950_000_000);
        }
        stopThread.join();
    }
}

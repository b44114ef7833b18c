package loadbalancer.server;

import static loadbalancer.server.BalancerServerFixtures.IDEMPOTENT_REQUEST;
import static loadbalancer.server.BalancerServerFixtures.READY_REQUEST;
import static loadbalancer.server.BalancerServerFixtures.chunk;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/** Connections to upstreams, and what a change of the endpoint list does to them. */
class EndpointConnectionsTest extends DiscoveryBackedTestSupport {
    private final BlockingQueue<Socket> accepted = new LinkedBlockingQueue<>();

    @Test
    void idleConnectionsAreClosedInTime() throws IOException, InterruptedException {
        start(Map.of("IdleClose", 400_000), 1024);
        try (HttpTestClient client = new HttpTestClient(address)) {
            client.send(IDEMPOTENT_REQUEST);
            FakeHttpServer.ReceivedRequest receivedRequest = upstream.nextRequest();
            receivedRequest.respond(200, "", "ok");
            assertEquals(200, client.readStatus());
            assertTrue(isClosedSoon(receivedRequest));
        }
    }

    // The upstream's own reader consumes the end of the stream; writes fail once the peer has
    // closed.
    private static boolean isClosedSoon(FakeHttpServer.ReceivedRequest receivedRequest)
            throws InterruptedException {
        long deadlineNanos = System.nanoTime() + TimeUnit.SECONDS.toNanos(20);
        while (System.nanoTime() < deadlineNanos) {
            try {
                receivedRequest.sendRaw("\r\n");
            } catch (IOException e) {
                return true;
            }
            TimeUnit.MILLISECONDS.sleep(20);
        }
        return false;
    }

    @Test
    void endpointListIsWatchedAndSplitLinesRead() throws IOException, InterruptedException {
        start();
        runOnLoop(() -> policy.capturedActions.watchEndpoints(true));
        FakeHttpServer.ReceivedRequest watch = discoveryServer.nextRequest();
        assertEquals("GET /api/targets?watch=1&from=41 HTTP/1.1", watch.requestLine());
        String firstList = listJson(43, true, "in_service");
        watch.sendRaw("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n");
        watch.sendRaw(chunk(firstList.substring(0, 30)));
        watch.sendRaw(chunk(firstList.substring(30)));
        assertEquals("COMPLETE [s1=UP]", policy.nextEvent());
        // Nothing has changed
        watch.sendRaw(chunk("\n"));
        watch.sendRaw(chunk(listJson(44, false, "terminating")));
        assertEquals("DELTA [s1=DRAINING]", policy.nextEvent());
        watch.sendRaw(chunk("{not json\n"));
        assertEquals("FAILED []", policy.nextEvent());
        runOnLoop(() -> policy.capturedActions.watchEndpoints(true));
        assertEquals(
                "GET /api/targets?watch=1&from=44 HTTP/1.1",
                discoveryServer.nextRequest().requestLine());
        runOnLoop(() -> policy.capturedActions.fetchEndpointList());
        FakeHttpServer.ReceivedRequest fetch = discoveryServer.nextRequest();
        assertEquals("GET /api/targets HTTP/1.1", fetch.requestLine());
        fetch.respond(200, "", listJson(45, true, "in_service").strip());
        assertEquals("COMPLETE [s1=UP]", policy.nextEvent());
        runOnLoop(() -> policy.capturedActions.fetchEndpointList());
        discoveryServer.nextRequest().respond(503, "", "");
        assertEquals("FAILED []", policy.nextEvent());
    }

    @Test
    @Timeout(60)
    void removedEndpointGetsNoRequests() throws IOException, InterruptedException {
        start(Map.of(), 1024);
        runOnLoop(() -> policy.capturedActions.fetchEndpointList());
        discoveryServer.nextRequest().respond(200, "", "{\"rev\":50,\"all\":true,\"targets\":[]}");
        assertEquals("COMPLETE []", policy.nextEvent());
        // Until the grace period is over; this test's policy goes on sending.
        try (HttpTestClient client = new HttpTestClient(address)) {
            String event = "OK closed";
            while (event.startsWith("OK")) {
                client.send(IDEMPOTENT_REQUEST);
                event = policy.events.poll(10, TimeUnit.MILLISECONDS);
                while (event == null) {
                    if (!upstream.isEmpty()) {
                        upstream.nextRequest().respond(200, "", "ok");
                    }
                    event = policy.events.poll(10, TimeUnit.MILLISECONDS);
                }
                client.readStatus();
            }
            assertEquals("NOT_SENT", event);
        }
    }

    /**
     * Connections are established only once the test accepts, as the listener's backlog is full.
     */
    @Test
    @Timeout(60)
    void connectingAttemptIsNotSentAfterDrainGrace() throws IOException, InterruptedException {
        List<Socket> backlogSockets = new ArrayList<>();
        List<HttpTestClient> clients = new ArrayList<>();
        try (ServerSocket fullListener = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
            while (fillBacklog(backlogSockets, fullListener.getLocalPort())) {
                assertTrue(backlogSockets.size() < 50, "the queue never fills");
            }
            endpointAddress = "127.0.0.1:" + fullListener.getLocalPort();
            start(Map.of("DialTimeout", 30_000_000), 1024);
            clients.add(new HttpTestClient(address).send(IDEMPOTENT_REQUEST));
            assertEquals("0 k1 700 true", policy.acceptedRequests.poll(20, TimeUnit.SECONDS));
            runOnLoop(() -> policy.capturedActions.fetchEndpointList());
            discoveryServer
                    .nextRequest()
                    .respond(200, "", "{\"rev\":50,\"all\":true,\"targets\":[]}");
            assertEquals("COMPLETE []", policy.nextEvent());
            String event = null;
            while (event == null) {
                // Until new attempts show that the grace period is over.
                clients.add(new HttpTestClient(address).send(IDEMPOTENT_REQUEST));
                event = policy.events.poll(100, TimeUnit.MILLISECONDS);
            }
            assertEquals("NOT_SENT", event);
            Thread acceptor =
                    new Thread(
                            () -> {
                                try {
                                    while (true) {
                                        accepted.add(fullListener.accept());
                                    }
                                } catch (IOException e) {
                                    Thread.currentThread().interrupt();
                                }
                            });
            acceptor.start();
            for (int i = 1; i < clients.size(); i++) {
                assertEquals("NOT_SENT", policy.nextEvent());
            }
            Socket acceptedSocket;
            int acceptedCount = 0;
            for (int i = 0; i < backlogSockets.size(); i++) {
                acceptedSocket = accepted.poll(20, TimeUnit.SECONDS);
                acceptedCount += acceptedSocket == null ? 0 : 1;
            }
            assertEquals(backlogSockets.size(), acceptedCount);
            acceptedSocket = accepted.poll(20, TimeUnit.SECONDS);
            acceptedSocket.setSoTimeout(20_000);
            assertEquals(-1, acceptedSocket.getInputStream().read(), "nothing was written");
        } finally {
            for (Socket backlogSocket : backlogSockets) {
                backlogSocket.close();
            }
            for (HttpTestClient client : clients) {
                client.close();
            }
        }
    }

    private static boolean fillBacklog(List<Socket> backlogSockets, int port) throws IOException {
        Socket socket = new Socket();
        try {
            socket.connect(new InetSocketAddress(InetAddress.getLoopbackAddress(), port), 300);
            backlogSockets.add(socket);
            return true;
        } catch (SocketTimeoutException e) {
            socket.close();
            return false;
        }
    }

    @Test
    void healthChecksReportLoad() throws IOException, InterruptedException {
        start();
        runOnLoop(() -> policy.capturedActions.checkHealth("s1"));
        FakeHttpServer.ReceivedRequest receivedRequest = upstream.nextRequest();
        assertEquals("GET /-/load HTTP/1.1", receivedRequest.requestLine());
        assertNull(receivedRequest.header("Req-Id"));
        receivedRequest.respond(200, "", "TEXT inflight=3");
        assertEquals("probed OK 3.0", policy.nextEvent());
    }

    @Test
    void idleConnectionsAreClosedToFreeDescriptors() throws IOException, InterruptedException {
        // A reserve of two, two for use
        start(Map.of(), 4);
        try (HttpTestClient client = new HttpTestClient(address)) {
            client.send(IDEMPOTENT_REQUEST);
            FakeHttpServer.ReceivedRequest receivedRequest = upstream.nextRequest();
            receivedRequest.respond(200, "", "ok");
            assertEquals(200, client.readStatus());
            try (HttpTestClient secondClient = new HttpTestClient(address)) {
                assertTrue(isClosedSoon(receivedRequest));
                assertEquals(200, secondClient.send(READY_REQUEST).readStatus());
            }
        }
    }
}

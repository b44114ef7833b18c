package loadbalancer.server;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.channels.ServerSocketChannel;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Locale;
import java.util.concurrent.CopyOnWriteArrayList;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/**
 * What operators do with a balancer that serves: read its figures, empty it, start its successor.
 */
class DrainAndTakeoverTest extends UpstreamBackedTestSupport {
    private static final String READY_REQUEST =
            "GET /-/ready HTTP/1.1\r\nHost: backend.local\r\n\r\n";

    private final ScriptedPolicy policy = new ScriptedPolicy();
    private final List<String> logLines = new CopyOnWriteArrayList<>();

    @Override
    @BeforeEach
    void open() throws IOException {
        super.open();
        balancer =
                BalancerServerFixtures.readyBalancer(
                        upstream, policy, BalancerServerFixtures.settings(), 1024, logLines::add);
    }

    private static String call(BalancerServer balancer, String line) throws IOException {
        try (Socket socket =
                new Socket(
                        balancer.adminAddress().getAddress(), balancer.adminAddress().getPort())) {
            socket.setSoTimeout(20_000);
            socket.getOutputStream().write((line + "\n").getBytes(StandardCharsets.UTF_8));
            return new String(socket.getInputStream().readAllBytes(), StandardCharsets.UTF_8);
        }
    }

    private static void awaitReady(BalancerServer balancer, boolean ready) throws IOException {
        while (call(balancer, "ready").startsWith("200") != ready) {
            Thread.onSpinWait();
        }
    }

    private void awaitMetric(String metric) throws IOException {
        while (!call(balancer, "show-stat").contains(metric + "\n")) {
            Thread.onSpinWait();
        }
    }

    private static int readyStatus(InetSocketAddress address) throws IOException {
        try (HttpTestClient client = new HttpTestClient(address)) {
            return client.send(READY_REQUEST).readStatus();
        }
    }

    @Test
    void requestsAreCountedOnce() throws Exception {
        address = balancer.start();
        awaitReady(balancer, true);
        awaitMetric("app.cluster_size:1|g");
        try (HttpTestClient client = new HttpTestClient(address)) {
            client.send(BalancerServerFixtures.IDEMPOTENT_REQUEST);
            FakeHttpServer.ReceivedRequest receivedRequest = upstream.nextRequest();
            awaitMetric("app.current:1|g");
            awaitMetric("app.sends:1|c");
            receivedRequest.respond(200, "", "x");
            assertEquals(200, client.readStatus());
            client.send(BalancerServerFixtures.IDEMPOTENT_REQUEST);
            upstream.nextRequest().respond(500, "", "x");
            assertEquals(502, client.readStatus());
            policy.endpointId = null;
            client.send(BalancerServerFixtures.IDEMPOTENT_REQUEST);
            awaitMetric("app.current:1|g");
        }
        awaitMetric("app.current:0|g");
        String metrics = call(balancer, "show-stat");
        assertTrue(metrics.contains("app.transactions.read.answered:1|c\n"), metrics);
        assertTrue(metrics.contains("app.transactions.read.errored:1|c\n"), metrics);
        assertTrue(metrics.contains("app.transactions.read.deferred:0|c\n"), metrics);
        assertTrue(metrics.contains("app.sends:2|c\n"), metrics);
    }

    @Test
    void drainingBalancerClosesIdleConnections() throws Exception {
        address = balancer.start();
        awaitReady(balancer, true);
        try (HttpTestClient idleClient = new HttpTestClient(address);
                HttpTestClient busyClient = new HttpTestClient(address);
                HttpTestClient silentClient = new HttpTestClient(address)) {
            assertEquals(200, idleClient.send(READY_REQUEST).readStatus());
            busyClient.send(BalancerServerFixtures.IDEMPOTENT_REQUEST);
            FakeHttpServer.ReceivedRequest receivedRequest = upstream.nextRequest();
            assertTrue(call(balancer, "drain").startsWith("200 "));
            awaitReady(balancer, false);
            assertEquals(503, readyStatus(address));
            assertNull(idleClient.readResponse());
            assertNull(silentClient.readResponse());
            receivedRequest.respond(200, "", "x");
            String head = busyClient.readResponse();
            assertTrue(
                    head.startsWith("HTTP/1.1 200")
                            && head.toLowerCase(Locale.ROOT).contains("connection: close"));
            assertNull(busyClient.readResponse());
            try (HttpTestClient lateClient = new HttpTestClient(address)) {
                lateClient.send(BalancerServerFixtures.IDEMPOTENT_REQUEST);
                upstream.nextRequest().respond(200, "", "y");
                assertEquals(200, lateClient.readStatus());
                assertNull(lateClient.readResponse());
            }
        }
        assertTrue(call(balancer, "drain").startsWith("200 "));
        assertTrue(call(balancer, "resume").startsWith("200 "));
        awaitReady(balancer, true);
        try (HttpTestClient client = new HttpTestClient(address)) {
            assertEquals(200, client.send(READY_REQUEST).readStatus());
            assertEquals(200, client.send(READY_REQUEST).readStatus());
        }
    }

    /** Both share the listening socket; closed by one, it would be closed for both. */
    @Test
    void successorTakesOverListeningSocket() throws Exception {
        try (ServerSocketChannel sharedSocket = ServerSocketChannel.open()) {
            sharedSocket.bind(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0), 64);
            address = (InetSocketAddress) sharedSocket.getLocalAddress();
            balancer.start(sharedSocket);
            awaitReady(balancer, true);
            ScriptedPolicy secondPolicy = new ScriptedPolicy();
            secondPolicy.endpointId = null;
            BalancerServer successor =
                    BalancerServerFixtures.readyBalancer(
                            upstream,
                            secondPolicy,
                            BalancerServerFixtures.settings(),
                            1024,
                            logLines::add);
            try (HttpTestClient pendingClient = new HttpTestClient(address);
                    HttpTestClient idleClient = new HttpTestClient(address)) {
                assertEquals(200, idleClient.send(READY_REQUEST).readStatus());
                pendingClient.send(BalancerServerFixtures.IDEMPOTENT_REQUEST);
                FakeHttpServer.ReceivedRequest receivedRequest = upstream.nextRequest();
                successor.start(sharedSocket);
                awaitReady(successor, true);
                Thread stopThread = new Thread(balancer::stop);
                stopThread.start();
                awaitReady(balancer, false);
                // The old one has closed what it closes
                assertNull(idleClient.readResponse());
                for (int i = 0; i < 20; i++) {
                    // The old one accepts nothing any more
                    assertEquals(200, readyStatus(address));
                }
                assertTrue(sharedSocket.isOpen());
                receivedRequest.respond(200, "", "x");
                assertTrue(
                        pendingClient
                                .readResponse()
                                .toLowerCase(Locale.ROOT)
                                .contains("connection: close"));
                stopThread.join();
                balancer = null;
            } finally {
                successor.stop();
            }
        }
    }

    @Test
    void unreadyBalancerAcceptsNothing() throws Exception {
        try (ServerSocketChannel sharedSocket = ServerSocketChannel.open()) {
            sharedSocket.bind(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0), 64);
            BalancerServer unreadyBalancer =
                    BalancerServerFixtures.unreadyBalancer(
                            BalancerServerFixtures.settings(), policy, logLines::add);
            address = (InetSocketAddress) sharedSocket.getLocalAddress();
            try (HttpTestClient waitingClient = new HttpTestClient(address)) {
                unreadyBalancer.start(sharedSocket);
                waitingClient.send(READY_REQUEST);
                unreadyBalancer.loop().submit(() -> {}).get();
                assertTrue(call(unreadyBalancer, "ready").startsWith("400 "));
                sharedSocket.configureBlocking(false);
                assertNotNull(sharedSocket.accept(), "still in the queue, for whoever is ready");
            } finally {
                unreadyBalancer.stop();
            }
        }
    }
}

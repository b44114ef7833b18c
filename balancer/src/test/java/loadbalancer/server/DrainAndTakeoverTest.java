package loadbalancer.server;

import static loadbalancer.TestAwait.await;
import static loadbalancer.server.BalancerServerFixtures.READY_REQUEST;
import static loadbalancer.server.BalancerServerFixtures.readinessStatus;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.nio.channels.ServerSocketChannel;
import java.util.List;
import java.util.Locale;
import java.util.concurrent.CopyOnWriteArrayList;
import loadbalancer.admin.AdminTestClient;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/**
 * Tests operators' actions on a serving balancer: reading its metrics, draining it and starting its
 * successor.
 */
class DrainAndTakeoverTest extends UpstreamBackedTestSupport {
    private static final int SHARED_SOCKET_BACKLOG = 64;
    private static final int READINESS_CHECKS = 20;

    private final List<String> logLines = new CopyOnWriteArrayList<>();

    @Override
    @BeforeEach
    void open() throws IOException {
        super.open();
        balancer =
                BalancerServerFixtures.readyBalancer(
                        upstream,
                        policy,
                        BalancerServerFixtures.settings(),
                        DEFAULT_MAX_SOCKETS,
                        logLines::add);
    }

    private static String call(BalancerServer balancer, String command) throws IOException {
        return AdminTestClient.call(balancer.adminAddress(), command + "\n");
    }

    private static void awaitReady(BalancerServer balancer, boolean ready) {
        await("the administration endpoint reports ready=" + ready)
                .until(() -> call(balancer, "ready").startsWith("200") == ready);
    }

    private void awaitMetric(String metric) {
        await("the metric " + metric)
                .until(() -> call(balancer, "show-stat").contains(metric + "\n"));
    }

    private static ServerSocketChannel openSharedSocket() throws IOException {
        ServerSocketChannel sharedSocket = ServerSocketChannel.open();
        sharedSocket.bind(
                new InetSocketAddress(InetAddress.getLoopbackAddress(), 0), SHARED_SOCKET_BACKLOG);
        return sharedSocket;
    }

    /**
     * One request is served, one fails, and one is pending until its client disconnects; each must
     * be counted once.
     */
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

    /** A draining balancer must keep serving, one request per connection, until it is resumed. */
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
            assertEquals(503, readinessStatus(address));
            assertNull(idleClient.readResponse(), "the idle connection is closed");
            assertNull(silentClient.readResponse(), "the silent connection is closed");
            receivedRequest.respond(200, "", "x");
            String head = busyClient.readResponse();
            assertTrue(
                    head.startsWith("HTTP/1.1 200")
                            && head.toLowerCase(Locale.ROOT).contains("connection: close"),
                    head);
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

    /**
     * Predecessor and successor share the listening socket; if one closed it, it would be closed
     * for both.
     */
    @Test
    void successorTakesOverListeningSocket() throws Exception {
        try (ServerSocketChannel sharedSocket = openSharedSocket()) {
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
                            DEFAULT_MAX_SOCKETS,
                            logLines::add);
            try (HttpTestClient pendingClient = new HttpTestClient(address);
                    HttpTestClient idleClient = new HttpTestClient(address)) {
                assertEquals(200, idleClient.send(READY_REQUEST).readStatus());
                pendingClient.send(BalancerServerFixtures.IDEMPOTENT_REQUEST);
                FakeHttpServer.ReceivedRequest receivedRequest = upstream.nextRequest();
                successor.start(sharedSocket);
                awaitReady(successor, true);
                BalancerServer predecessor = balancer;
                Thread stopThread = stopInBackground();
                awaitReady(predecessor, false);
                assertNull(idleClient.readResponse(), "the idle connection is closed");
                // The predecessor no longer accepts connections.
                for (int i = 0; i < READINESS_CHECKS; i++) {
                    assertEquals(200, readinessStatus(address));
                }
                assertTrue(sharedSocket.isOpen(), "the shared socket stays open");
                receivedRequest.respond(200, "", "x");
                String head = pendingClient.readResponse();
                assertTrue(head.toLowerCase(Locale.ROOT).contains("connection: close"), head);
                stopThread.join();
            } finally {
                successor.stop();
            }
        }
    }

    /** Connections must stay in the backlog of the shared socket until a balancer is ready. */
    @Test
    void unreadyBalancerAcceptsNothing() throws Exception {
        try (ServerSocketChannel sharedSocket = openSharedSocket()) {
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
                assertNotNull(sharedSocket.accept(), "the connection is still in the backlog");
            } finally {
                unreadyBalancer.stop();
            }
        }
    }
}

package loadbalancer.server;

import static loadbalancer.server.BalancerServerFixtures.IDEMPOTENT_REQUEST;
import static loadbalancer.server.BalancerServerFixtures.READY_REQUEST;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.fasterxml.jackson.jr.ob.JSON;
import java.io.IOException;
import java.net.ConnectException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.util.Locale;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import loadbalancer.config.BalancerConfig;
import loadbalancer.config.InvalidConfigException;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Start, warm-up, graceful stop and the configuration of a balancer over loopback sockets. */
public class BalancerServerTest extends DiscoveryBackedTestSupport {
    /** As {@link BalancerServerFixtures#settings}, for tests of other packages. */
    public static Map<String, Object> settings() {
        return BalancerServerFixtures.settings();
    }

    /**
     * The starting thread is interrupted before bind returns to it; clients can connect all the
     * same.
     */
    @Test
    void connectionDuringStartIsAnswered() throws Exception {
        int port;
        try (ServerSocket unusedSocket = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
            port = unusedSocket.getLocalPort();
        }
        balancer =
                new BalancerServer(
                        config(1024, settings(), port),
                        (settings, seed) -> policy,
                        false,
                        line -> {});
        Thread.currentThread().interrupt();
        assertThrows(IOException.class, balancer::start);
        assertTrue(Thread.interrupted());
        InetSocketAddress listenAddress =
                new InetSocketAddress(InetAddress.getLoopbackAddress(), port);
        try (HttpTestClient client = connectWithRetry(listenAddress)) {
            assertEquals(503, client.send(READY_REQUEST).readStatus());
        }
    }

    // There is no event for a completed bind here.
    private static HttpTestClient connectWithRetry(InetSocketAddress listenAddress)
            throws IOException {
        long deadlineNanos = System.nanoTime() + TimeUnit.SECONDS.toNanos(20);
        while (true) {
            try {
                return new HttpTestClient(listenAddress);
            } catch (ConnectException e) {
                if (System.nanoTime() - deadlineNanos > 0) {
                    throw e;
                }
            }
        }
    }

    @Test
    void warmUpReachesNeitherPolicyNorUpstream() throws IOException, InterruptedException {
        warmUpEnabled = true;
        start();
        try (HttpTestClient client = new HttpTestClient(address)) {
            int status = 503;
            while (status == 503) {
                status = client.send(READY_REQUEST).readStatus();
            }
            assertEquals(200, status);
            assertEquals(
                    404, client.send("GET /-/rehearsed HTTP/1.1\r\nHost: x\r\n\r\n").readStatus());
            assertEquals(
                    404,
                    client.send(IDEMPOTENT_REQUEST.replace("/api/k1?x=%20y", "/-/rehearsal"))
                            .readStatus());
            assertTrue(policy.acceptedRequests.isEmpty());
            assertEquals(0, upstream.connectionCount());
            client.send(IDEMPOTENT_REQUEST);
            upstream.nextRequest().respond(200, "", "ok");
            assertEquals(200, client.readStatus());
        }
    }

    @Test
    void gracefulStopAnswersPendingRequests() throws IOException, InterruptedException {
        start();
        HttpTestClient idleClient = new HttpTestClient(address);
        assertEquals(200, idleClient.send(READY_REQUEST).readStatus());
        HttpTestClient pendingClient = new HttpTestClient(address).send(IDEMPOTENT_REQUEST);
        FakeHttpServer.ReceivedRequest receivedRequest = upstream.nextRequest();
        Thread stopThread = new Thread(balancer::stop);
        stopThread.start();
        int readyStatus = 200;
        while (readyStatus == 200) {
            try (HttpTestClient lateClient = new HttpTestClient(address)) {
                readyStatus = lateClient.send(READY_REQUEST).readStatus();
            }
        }
        assertEquals(503, readyStatus);
        // Closed while idle
        assertNull(idleClient.readResponse());
        receivedRequest.respond(200, "", "late but whole");
        String head = pendingClient.readResponse();
        assertTrue(head.startsWith("HTTP/1.1 200"), head);
        assertTrue(head.toLowerCase(Locale.ROOT).contains("connection: close"), head);
        assertNull(pendingClient.readResponse());
        stopThread.join();
        balancer = null;
    }

    @ParameterizedTest
    @CsvSource(
            delimiter = '|',
            value = {
                "{} | ROUTER_LISTEN is not set, and the configuration has no listen",
                "{\"listen\":\"127.0.0.1:0\",\"discovery\":\"localhost:1\"} "
                        + "| discovery: not an address: 'localhost'",
                "{\"listen\":\"127.0.0.1:0\",\"discovery\":\"127.0.0.1:1\"} "
                        + "| the configuration has no settings",
                "{\"listen\":\"127.0.0.1:0\",\"discovery\":\"127.0.0.1:1\",\"settings\":{\"Quantum\":1}} "
                        + "| settings: ",
            })
    void invalidConfigurationIsNamed(String json, String expectedMessage) throws IOException {
        try {
            BalancerConfig.parse(Map.of("ROUTER_NAME", "n1"), JSON.std.mapFrom(json));
        } catch (InvalidConfigException e) {
            assertTrue(e.getMessage().startsWith(expectedMessage), e.getMessage());
            return;
        }
        throw new AssertionError("taken");
    }
}

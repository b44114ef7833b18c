package loadbalancer.server;

import static loadbalancer.TestAwait.await;
import static loadbalancer.server.BalancerServerFixtures.IDEMPOTENT_REQUEST;
import static loadbalancer.server.BalancerServerFixtures.READY_REQUEST;
import static loadbalancer.server.BalancerServerFixtures.readinessStatus;
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
import java.util.Objects;
import loadbalancer.config.BalancerConfig;
import loadbalancer.config.InvalidConfigException;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Tests start, warm-up, graceful stop and configuration of a balancer over loopback sockets. */
public class BalancerServerTest extends DiscoveryBackedTestSupport {
    /** Returns {@link BalancerServerFixtures#settings}, for tests of other packages. */
    public static Map<String, Object> settings() {
        return BalancerServerFixtures.settings();
    }

    /**
     * The starting thread is interrupted before the bind returns to it. The balancer must accept
     * and answer clients nevertheless.
     */
    @Test
    void connectionDuringStartIsAnswered() throws Exception {
        InetSocketAddress listenAddress = findFreeAddress();
        balancer =
                new BalancerServer(
                        config(DEFAULT_MAX_SOCKETS, settings(), listenAddress.getPort()),
                        (settings, seed) -> policy,
                        false,
                        line -> {});
        Thread.currentThread().interrupt();
        assertThrows(IOException.class, balancer::start);
        assertTrue(Thread.interrupted());
        // No event signals that the bind is complete, so the test polls.
        int status =
                await("the balancer accepts connections")
                        .ignoreException(ConnectException.class)
                        .until(() -> readinessStatus(listenAddress), Objects::nonNull);
        assertEquals(503, status);
    }

    private static InetSocketAddress findFreeAddress() throws IOException {
        try (ServerSocket unusedSocket = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
            return (InetSocketAddress) unusedSocket.getLocalSocketAddress();
        }
    }

    /**
     * The requests of the warm-up must stay within the process, and no client can send such
     * requests.
     */
    @Test
    void warmUpReachesNeitherPolicyNorUpstream() throws IOException, InterruptedException {
        warmUpEnabled = true;
        start();
        try (HttpTestClient client = new HttpTestClient(address)) {
            int status =
                    await("the readiness check of the warmed-up balancer is no longer 503")
                            .until(
                                    () -> client.send(READY_REQUEST).readStatus(),
                                    readiness -> readiness != 503);
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
        try (HttpTestClient idleClient = new HttpTestClient(address);
                HttpTestClient pendingClient = new HttpTestClient(address)) {
            assertEquals(200, idleClient.send(READY_REQUEST).readStatus());
            pendingClient.send(IDEMPOTENT_REQUEST);
            FakeHttpServer.ReceivedRequest receivedRequest = upstream.nextRequest();
            Thread stopThread = stopInBackground();
            awaitNotReady();
            assertNull(idleClient.readResponse(), "the idle connection is closed");
            receivedRequest.respond(200, "", "late but complete");
            String head = pendingClient.readResponse();
            assertTrue(head.startsWith("HTTP/1.1 200"), head);
            assertTrue(head.toLowerCase(Locale.ROOT).contains("connection: close"), head);
            assertNull(pendingClient.readResponse(), "the connection is closed after the response");
            stopThread.join();
        }
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
        Map<String, Object> raw = JSON.std.mapFrom(json);
        Map<String, String> environment = Map.of("ROUTER_NAME", "n1");
        InvalidConfigException exception =
                assertThrows(
                        InvalidConfigException.class,
                        () -> BalancerConfig.parse(environment, raw),
                        "the invalid configuration was accepted");
        assertTrue(exception.getMessage().startsWith(expectedMessage), exception.getMessage());
    }
}

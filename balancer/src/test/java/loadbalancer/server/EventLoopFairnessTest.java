package loadbalancer.server;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import loadbalancer.routing.RoutingEngine;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

/**
 * Tests that a peer that sends small messages at full speed takes no more than its turns of the
 * event loop: other clients get their responses in time. Uses the real routing policy.
 */
@Timeout(60)
class EventLoopFairnessTest {
    private static final int REQUESTS = 40;
    private static final long REQUEST_INTERVAL_MS = 25;
    private static final long MAX_LATENCY_MS = 500;
    private static final int REPEATS_PER_WRITE = 2_000;

    /** What the peer sends: once, and then repeatedly. */
    private enum Flood {
        CHUNKS_OF_ONE_BYTE(
                BalancerServerFixtures.nonIdempotentHead("flood")
                        + "Transfer-Encoding: chunked\r\n\r\n",
                "1\r\nx\r\n"),
        READINESS_CHECKS("", BalancerServerFixtures.READY_REQUEST),
        UNSOUND_REQUESTS("", "GET /x HTTP/1.1\r\nReq-Id: u\r\n\r\n"),
        EMPTY_LINES("", "\r\n");

        private final String start;
        private final String repeated;

        Flood(String start, String repeated) {
            this.start = start;
            this.repeated = repeated;
        }
    }

    private AutomaticUpstream upstream;
    private BalancerServer balancer;
    private InetSocketAddress address;
    private volatile boolean ended;

    @BeforeEach
    void start() throws IOException {
        upstream = new AutomaticUpstream();
        balancer =
                new BalancerServer(
                        BalancerServerFixtures.config(
                                Map.of(
                                        "settings",
                                        BalancerServerFixtures.settings(),
                                        "known",
                                        BalancerServerFixtures.initialEndpointList(
                                                "s1", upstream.address()))),
                        RoutingEngine::new,
                        false,
                        line -> {});
        address = balancer.start();
    }

    @AfterEach
    void stop() throws IOException {
        ended = true;
        balancer.stop();
        upstream.close();
    }

    // Connects again whenever the balancer closes the connection.
    private void send(Flood flood) {
        String repeated = flood.repeated.repeat(REPEATS_PER_WRITE);
        while (!ended) {
            try (HttpTestClient peer = new HttpTestClient(address)) {
                peer.send(flood.start);
                while (!ended) {
                    peer.send(repeated);
                }
            } catch (IOException e) {
                // The balancer has closed the connection, as it may.
            }
        }
    }

    @ParameterizedTest
    @EnumSource
    void otherClientsAreServedInTimeBesideAFlood(Flood flood) throws Exception {
        Thread sender = new Thread(() -> send(flood));
        sender.setDaemon(true);
        sender.start();
        for (int i = 0; i < REQUESTS; i++) {
            TimeUnit.MILLISECONDS.sleep(REQUEST_INTERVAL_MS);
            long startNanos = System.nanoTime();
            try (HttpTestClient client = new HttpTestClient(address)) {
                client.send(BalancerServerFixtures.requestWithId("beside" + i));
                assertEquals(200, client.readStatus());
            }
            long elapsedMs = TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - startNanos);
            assertTrue(elapsedMs < MAX_LATENCY_MS, "request " + i + " took " + elapsedMs + " ms");
        }
    }
}

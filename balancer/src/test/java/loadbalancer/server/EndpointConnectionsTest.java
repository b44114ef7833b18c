package loadbalancer.server;

import static loadbalancer.TestAwait.await;
import static loadbalancer.server.BalancerServerFixtures.IDEMPOTENT_REQUEST;
import static loadbalancer.server.BalancerServerFixtures.READY_REQUEST;
import static loadbalancer.server.BalancerServerFixtures.chunk;
import static loadbalancer.server.FakeHttpServer.CHUNKED_HEAD;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.net.Socket;
import java.time.Duration;
import java.util.Map;
import java.util.Objects;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;

/** Tests connections to upstreams, and the effect of endpoint list changes on them. */
class EndpointConnectionsTest extends DiscoveryBackedTestSupport {
    private static final String EMPTY_LIST = "{\"rev\":50,\"all\":true,\"targets\":[]}";

    @Test
    void idleConnectionsAreClosedAfterIdleTimeout() throws IOException, InterruptedException {
        start(Map.of("IdleClose", 400_000), 1024);
        try (HttpTestClient client = new HttpTestClient(address)) {
            client.send(IDEMPOTENT_REQUEST);
            FakeHttpServer.ReceivedRequest receivedRequest = upstream.nextRequest();
            receivedRequest.respond(200, "", "ok");
            assertEquals(200, client.readStatus());
            assertTrue(awaitClosedByBalancer(receivedRequest));
        }
    }

    /**
     * Writes until the balancer has closed the connection and a write fails; returns false if none
     * fails within 20 s. A read cannot detect the close, because the upstream's reader thread
     * consumes the end of the stream.
     */
    private static boolean awaitClosedByBalancer(FakeHttpServer.ReceivedRequest receivedRequest)
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
    void endpointListIsWatchedAndFetched() throws IOException, InterruptedException {
        start();
        runOnLoop(() -> policy.capturedActions.watchEndpoints(true));
        FakeHttpServer.ReceivedRequest watch = discoveryServer.nextRequest();
        assertEquals("GET /api/targets?watch=1&from=41 HTTP/1.1", watch.requestLine());
        // This list arrives in two chunks.
        String firstList = listJson(43, true, "in_service");
        watch.sendRaw(CHUNKED_HEAD);
        watch.sendRaw(chunk(firstList.substring(0, 30)));
        watch.sendRaw(chunk(firstList.substring(30)));
        assertEquals("COMPLETE [s1=UP]", policy.nextEvent());
        // An empty line reports that nothing has changed.
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

    /** Answers the next poll of discovery with an empty list. */
    private void removeAllEndpoints() throws IOException, InterruptedException {
        runOnLoop(() -> policy.capturedActions.fetchEndpointList());
        discoveryServer.nextRequest().respond(200, "", EMPTY_LIST);
        assertEquals("COMPLETE []", policy.nextEvent());
    }

    /**
     * The policy continues to use an endpoint that was removed from the list. Its attempts are sent
     * until the drain grace period ends, and none afterwards.
     */
    @Test
    void removedEndpointGetsNoRequestsAfterDrainGrace() throws IOException, InterruptedException {
        start();
        removeAllEndpoints();
        try (HttpTestClient client = new HttpTestClient(address)) {
            String event =
                    await("an attempt after the grace period")
                            .until(
                                    () -> sendAndAwaitOutcome(client),
                                    outcome -> !outcome.startsWith("OK"));
            assertEquals("NOT_SENT", event);
        }
    }

    /** Sends a request and returns the event that the policy records at the end of its attempt. */
    private String sendAndAwaitOutcome(HttpTestClient client) throws Exception {
        client.send(IDEMPOTENT_REQUEST);
        String event =
                await("the outcome of an attempt")
                        .until(
                                () -> {
                                    if (!upstream.hasNoQueuedRequests()) {
                                        upstream.nextRequest().respond(200, "", "ok");
                                    }
                                    return policy.events.poll();
                                },
                                Objects::nonNull);
        client.readStatus();
        return event;
    }

    /**
     * Attempts to a removed endpoint wait for connections that are established only when the test
     * accepts them, after the drain grace period.
     */
    @Test
    void connectingAttemptIsNotSentAfterDrainGrace() throws IOException, InterruptedException {
        try (FullBacklogListener listener = new FullBacklogListener()) {
            endpointAddress = listener.address();
            start(Map.of("DialTimeout", 30_000_000), DEFAULT_MAX_SOCKETS);
            try (HttpTestClientGroup clients = new HttpTestClientGroup(address)) {
                clients.connect().send(IDEMPOTENT_REQUEST);
                assertEquals("0 k1 700 true", policy.nextAcceptedRequest());
                removeAllEndpoints();
                // A new attempt that fails at once shows that the grace period is over.
                String event =
                        await("an attempt after the grace period")
                                .pollInterval(Duration.ofMillis(100))
                                .until(
                                        () -> {
                                            clients.connect().send(IDEMPOTENT_REQUEST);
                                            return policy.events.poll();
                                        },
                                        Objects::nonNull);
                assertEquals("NOT_SENT", event);
                assertAttemptsNotSent(listener, clients.clients().size() - 1);
            }
        }
    }

    /**
     * Accepts all connections. Asserts that {@code connectingAttempts} attempts are not sent and
     * that the balancer writes nothing to its first connection.
     */
    private void assertAttemptsNotSent(FullBacklogListener listener, int connectingAttempts)
            throws IOException, InterruptedException {
        int backlogSize = listener.backlogSize();
        BlockingQueue<Socket> accepted = listener.acceptInBackground();
        for (int i = 0; i < connectingAttempts; i++) {
            assertEquals("NOT_SENT", policy.nextEvent());
        }
        for (int i = 0; i < backlogSize; i++) {
            assertNotNull(accepted.poll(20, TimeUnit.SECONDS), "a connection of the backlog");
        }
        Socket upstreamSocket = accepted.poll(20, TimeUnit.SECONDS);
        assertNotNull(upstreamSocket, "a connection of the balancer's");
        assertEquals(-1, upstreamSocket.getInputStream().read(), "nothing was written");
    }

    @Test
    void healthChecksReportLoad() throws IOException, InterruptedException {
        start();
        runOnLoop(() -> policy.capturedActions.checkHealth("s1"));
        FakeHttpServer.ReceivedRequest receivedRequest = upstream.nextRequest();
        assertEquals("GET /-/load HTTP/1.1", receivedRequest.requestLine());
        assertNull(receivedRequest.header("Req-Id"));
        receivedRequest.respond(200, "", "TEXT inflight=3");
        assertEquals("health check OK 3.0", policy.nextEvent());
    }

    /** An idle connection to the upstream holds the descriptor that a second client needs. */
    @Test
    void idleConnectionsAreClosedToFreeDescriptors() throws IOException, InterruptedException {
        // Two of the four descriptors are reserved.
        start(Map.of(), 4);
        try (HttpTestClient client = new HttpTestClient(address)) {
            client.send(IDEMPOTENT_REQUEST);
            FakeHttpServer.ReceivedRequest receivedRequest = upstream.nextRequest();
            receivedRequest.respond(200, "", "ok");
            assertEquals(200, client.readStatus());
            try (HttpTestClient secondClient = new HttpTestClient(address)) {
                assertTrue(awaitClosedByBalancer(receivedRequest));
                assertEquals(200, secondClient.send(READY_REQUEST).readStatus());
            }
        }
    }
}

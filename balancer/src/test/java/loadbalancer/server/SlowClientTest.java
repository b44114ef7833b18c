package loadbalancer.server;

import static loadbalancer.TestAwait.await;
import static loadbalancer.server.BalancerServerFixtures.IDEMPOTENT_REQUEST;
import static loadbalancer.server.BalancerServerFixtures.READY_REQUEST;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.time.Duration;
import java.util.List;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * Tests that clients which send nothing, or never complete a request, are disconnected and do not
 * block other clients.
 */
class SlowClientTest extends UpstreamBackedTestSupport {
    private static final String POST_HEAD = BalancerServerFixtures.NON_IDEMPOTENT_HEAD;
    private static final int FEW_SOCKETS = 40;
    private static final Duration TRICKLE_INTERVAL = Duration.ofMillis(50);
    // Exceeds the time after which a silent new connection may be evicted at the socket limit.
    private static final long SILENT_MS = 80;
    private static final int SLOW_REQUEST_PIECES = 20;
    private static final long SLOW_REQUEST_INTERVAL_MS = 40;

    /** A connection that sent nothing is closed; one that was served a request is kept. */
    @Test
    void silentConnectionIsClosedAndIdleClientKept() throws Exception {
        startReady(DEFAULT_MAX_SOCKETS);
        try (HttpTestClient client = new HttpTestClient(address)) {
            assertEquals(200, client.send(READY_REQUEST).readStatus());
            for (int i = 0; i < 2; i++) {
                try (HttpTestClient silentClient = new HttpTestClient(address)) {
                    assertNull(silentClient.readResponse());
                }
            }
            assertEquals(200, client.send(READY_REQUEST).readStatus());
        }
    }

    @ParameterizedTest
    @ValueSource(
            strings = {
                "G",
                "GET /-/ready HTTP/1.1\r\nHost: x",
                POST_HEAD + "Content-Length: 5\r\n\r\n1234",
                POST_HEAD + "Transfer-Encoding: chunked\r\n\r\n",
                POST_HEAD + "Transfer-Encoding: chunked\r\n\r\n5\r\n123",
                POST_HEAD + "Transfer-Encoding: chunked\r\n\r\n5\r\n12345\r\n0\r\n",
                POST_HEAD + "Expect: 100-continue\r\nTransfer-Encoding: chunked\r\n\r\n",
            })
    void unfinishedRequestTimesOut(String partialRequest) throws Exception {
        startReady(DEFAULT_MAX_SOCKETS);
        try (HttpTestClient firstClient = new HttpTestClient(address);
                HttpTestClient secondClient = new HttpTestClient(address)) {
            firstClient.send(partialRequest);
            // The second client sends the same in one write after a complete request.
            assertEquals(200, secondClient.send(READY_REQUEST + partialRequest).readStatus());
            for (HttpTestClient client : List.of(firstClient, secondClient)) {
                String head = client.readResponseAfterContinue();
                assertTrue(head.startsWith("HTTP/1.1 408"), head);
                assertNull(client.readResponse());
            }
        }
        assertTrue(policy.acceptedRequests.isEmpty());
    }

    /** A client sends an endless request byte by byte. */
    @Test
    void endlessRequestTimesOut() throws Exception {
        startReady(DEFAULT_MAX_SOCKETS);
        try (HttpTestClient client = new HttpTestClient(address)) {
            client.send("GET /-/ready HTTP/1.1\r\nX: ");
            await("a response to the trickling request")
                    .pollInterval(TRICKLE_INTERVAL)
                    .until(
                            () -> {
                                client.send("x");
                                return client.input.available() > 0;
                            });
            assertEquals(408, client.readStatus());
        }
    }

    @Test
    void requestInProgressIsNotTimedOut() throws Exception {
        startReady(DEFAULT_MAX_SOCKETS);
        try (HttpTestClient client = new HttpTestClient(address);
                HttpTestClient silentClient = new HttpTestClient(address)) {
            client.send(IDEMPOTENT_REQUEST);
            FakeHttpServer.ReceivedRequest receivedRequest = upstream.nextRequest();
            assertNull(silentClient.readResponse(), "a silent client is disconnected meanwhile");
            receivedRequest.respond(200, "", "ok");
            assertEquals(200, client.readStatus());
        }
    }

    /**
     * Idle clients hold most sockets when other clients' requests need upstream connections. Idle
     * clients must be evicted, whether they only checked readiness or were served requests.
     */
    @ParameterizedTest(name = "realRequests={0}")
    @ValueSource(booleans = {false, true})
    void idleClientsDoNotBlockUpstreamConnections(boolean realRequests) throws Exception {
        startReady(FEW_SOCKETS);
        try (HttpTestClientGroup idleClients = new HttpTestClientGroup(address);
                HttpTestClientGroup activeClients = new HttpTestClientGroup(address)) {
            for (int i = 0; i < 30; i++) {
                HttpTestClient idleClient = idleClients.connect();
                idleClient.send(realRequests ? IDEMPOTENT_REQUEST : READY_REQUEST);
                if (realRequests) {
                    upstream.nextRequest().respond(200, "Connection: close\r\n", "ok");
                }
                assertEquals(200, idleClient.readStatus());
            }
            // These requests are in flight at once, and each needs its own upstream connection.
            for (int i = 0; i < 8; i++) {
                activeClients.connect().send(IDEMPOTENT_REQUEST);
            }
            for (int i = 0; i < activeClients.clients().size(); i++) {
                upstream.nextRequest().respond(200, "", "ok");
            }
            for (HttpTestClient activeClient : activeClients.clients()) {
                assertEquals(200, activeClient.readStatus());
            }
        }
    }

    /** A client is served even though there are more silent connections than sockets. */
    @Test
    void silentConnectionsDoNotBlockClients() throws Exception {
        startReady(FEW_SOCKETS);
        try (HttpTestClientGroup silentClients = new HttpTestClientGroup(address)) {
            silentClients.connect(FEW_SOCKETS + 20);
            try (HttpTestClient client = new HttpTestClient(address)) {
                client.send(IDEMPOTENT_REQUEST);
                upstream.nextRequest().respond(200, "", "ok");
                assertEquals(200, client.readStatus());
            }
        }
    }

    /**
     * While the loop is stalled, requests arrive on accepted connections, and more new connections
     * arrive than the socket limit allows. The loop accepts before it reads, but must not evict the
     * connections that have sent requests.
     */
    @Test
    void connectionsWithUnreadRequestsAreNotEvicted() throws Exception {
        startReady(FEW_SOCKETS);
        try (HttpTestClientGroup acceptedClients = new HttpTestClientGroup(address);
                HttpTestClientGroup laterClients = new HttpTestClientGroup(address)) {
            acceptedClients.connect(12);
            awaitClientCount(12);
            EventLoopStall stall = new EventLoopStall(balancer.loop());
            laterClients.connect(8);
            for (HttpTestClient client : acceptedClients.clients()) {
                client.send(READY_REQUEST);
            }
            TimeUnit.MILLISECONDS.sleep(SILENT_MS);
            stall.release();
            for (HttpTestClient client : acceptedClients.clients()) {
                assertEquals(200, client.readStatus());
            }
        }
    }

    /**
     * A client that sends its request slowly must not be evicted in favor of clients that make less
     * progress because they are silent or stop within a request.
     */
    @Test
    void slowClientIsNotEvictedBeforeStalledOnes() throws Exception {
        startReady(FEW_SOCKETS);
        try (HttpTestClient slowClient = new HttpTestClient(address);
                HttpTestClientGroup stalledClients = new HttpTestClientGroup(address)) {
            int requestLength = IDEMPOTENT_REQUEST.length();
            int pieceLength = requestLength / SLOW_REQUEST_PIECES + 1;
            for (int i = 0; i < SLOW_REQUEST_PIECES; i++) {
                int end = Math.min(requestLength, (i + 1) * pieceLength);
                slowClient.send(IDEMPOTENT_REQUEST.substring(i * pieceLength, end));
                stalledClients.connect();
                stalledClients.connect().send("GET /");
                stalledClients.connect().send(READY_REQUEST);
                TimeUnit.MILLISECONDS.sleep(SLOW_REQUEST_INTERVAL_MS);
            }
            upstream.nextRequest().respond(200, "", "ok");
            assertEquals(200, slowClient.readStatus());
        }
    }
}

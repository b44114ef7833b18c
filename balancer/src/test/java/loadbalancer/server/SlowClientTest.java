package loadbalancer.server;

import static loadbalancer.server.BalancerServerFixtures.READY_REQUEST;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Clients that connect and send nothing, or never complete a request, are disconnected soon. */
class SlowClientTest extends UpstreamBackedTestSupport {
    private static final String POST_HEAD =
            "POST /api/k1 HTTP/1.1\r\nHost: x\r\nReq-Id: r\r\nReq-Kind: book\r\n"
                    + "Req-Deadline-Ms: 20000\r\n";

    private final ScriptedPolicy policy = new ScriptedPolicy();

    private void start(int maxSockets) throws IOException {
        startReady(policy, maxSockets, line -> {});
    }

    @Test
    void silentConnectionIsClosedAndIdleClientKept() throws IOException {
        start(1024);
        try (HttpTestClient client = new HttpTestClient(address)) {
            assertEquals(200, client.send(READY_REQUEST).readStatus());
            for (int i = 0; i < 2; i++) {
                // Longer than a new connection may be silent.
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
    void unfinishedRequestTimesOut(String partialRequest) throws IOException {
        start(1024);
        try (HttpTestClient firstClient = new HttpTestClient(address);
                HttpTestClient secondClient = new HttpTestClient(address)) {
            firstClient.send(partialRequest);
            // In one piece with a complete request.
            assertEquals(200, secondClient.send(READY_REQUEST + partialRequest).readStatus());
            for (HttpTestClient client : List.of(firstClient, secondClient)) {
                String head = client.readResponseAfterContinue();
                assertTrue(head.startsWith("HTTP/1.1 408"), head);
                assertNull(client.readResponse());
            }
        }
        assertTrue(policy.acceptedRequests.isEmpty());
    }

    @Test
    void tricklingRequestTimesOut() throws Exception {
        start(1024);
        try (HttpTestClient client = new HttpTestClient(address)) {
            client.send("GET /-/ready HTTP/1.1\r\nX: ");
            while (client.input.available() == 0) {
                client.send("x");
                TimeUnit.MILLISECONDS.sleep(50);
            }
            assertEquals(408, client.readStatus());
        }
    }

    @Test
    void requestInProgressIsNotTimedOut() throws Exception {
        start(1024);
        try (HttpTestClient client = new HttpTestClient(address);
                HttpTestClient silentClient = new HttpTestClient(address)) {
            client.send(BalancerServerFixtures.IDEMPOTENT_REQUEST);
            FakeHttpServer.ReceivedRequest receivedRequest = upstream.nextRequest();
            // Its time is over
            assertNull(silentClient.readResponse());
            receivedRequest.respond(200, "", "ok");
            assertEquals(200, client.readStatus());
        }
    }

    /** Unproven connections are evicted first, then idle ones of proper clients. */
    @ParameterizedTest
    @ValueSource(booleans = {false, true})
    void idleClientsDoNotBlockUpstreamConnections(boolean realRequests) throws Exception {
        start(40);
        List<HttpTestClient> openClients = new ArrayList<>();
        try {
            for (int i = 0; i < 30; i++) {
                HttpTestClient idleClient = new HttpTestClient(address);
                openClients.add(idleClient);
                idleClient.send(
                        realRequests ? BalancerServerFixtures.IDEMPOTENT_REQUEST : READY_REQUEST);
                if (realRequests) {
                    FakeHttpServer.ReceivedRequest receivedRequest = upstream.nextRequest();
                    receivedRequest.respond(200, "Connection: close\r\n", "ok");
                }
                assertEquals(200, idleClient.readStatus());
            }
            List<HttpTestClient> clients = new ArrayList<>();
            for (int i = 0; i < 8; i++) {
                // All at once, each with a connection to the upstream
                openClients.add(
                        new HttpTestClient(address)
                                .send(BalancerServerFixtures.IDEMPOTENT_REQUEST));
                clients.add(openClients.get(openClients.size() - 1));
            }
            for (int i = 0; i < clients.size(); i++) {
                upstream.nextRequest().respond(200, "", "ok");
            }
            for (HttpTestClient client : clients) {
                assertEquals(200, client.readStatus());
            }
        } finally {
            for (HttpTestClient idleClient : openClients) {
                idleClient.close();
            }
        }
    }

    /** More of them than there are descriptors: clients come to their turn all the same. */
    @Test
    void silentConnectionsDoNotBlockClients() throws Exception {
        start(40);
        List<HttpTestClient> silentClients = new ArrayList<>();
        try {
            for (int i = 0; i < 60; i++) {
                silentClients.add(new HttpTestClient(address));
            }
            try (HttpTestClient client = new HttpTestClient(address)) {
                client.send(BalancerServerFixtures.IDEMPOTENT_REQUEST);
                upstream.nextRequest().respond(200, "", "ok");
                assertEquals(200, client.readStatus());
            }
        } finally {
            for (HttpTestClient silentClient : silentClients) {
                silentClient.close();
            }
        }
    }

    /**
     * Their requests have arrived, but the stalled loop first accepts the connections that need
     * room.
     */
    @Test
    void unreadNewConnectionsAreKept() throws Exception {
        start(40);
        List<HttpTestClient> clients = new ArrayList<>();
        try {
            for (int i = 0; i < 12; i++) {
                clients.add(new HttpTestClient(address));
            }
            while (!balancer.loop()
                    .submit(() -> balancer.frontend().toString())
                    .get()
                    .startsWith("12 clients'")) {
                Thread.onSpinWait();
            }
            EventLoopStall stall = new EventLoopStall(balancer.loop());
            for (int i = 0; i < 8; i++) {
                clients.add(new HttpTestClient(address));
            }
            for (HttpTestClient client : clients.subList(0, 12)) {
                client.send(READY_REQUEST);
            }
            // Longer than a new connection may be silent.
            TimeUnit.MILLISECONDS.sleep(80);
            stall.release();
            for (HttpTestClient client : clients.subList(0, 12)) {
                assertEquals(200, client.readStatus());
            }
        } finally {
            for (HttpTestClient client : clients) {
                client.close();
            }
        }
    }

    /**
     * It is not evicted for others that make less progress: neither for silent ones nor for those
     * that begin and stop.
     */
    @Test
    void slowClientOutlastsStalledOnes() throws Exception {
        start(40);
        List<HttpTestClient> stalledClients = new ArrayList<>();
        try (HttpTestClient slowClient = new HttpTestClient(address)) {
            int pieces = 20;
            int length = BalancerServerFixtures.IDEMPOTENT_REQUEST.length() / pieces + 1;
            for (int i = 0; i < pieces; i++) {
                int end =
                        Math.min(
                                BalancerServerFixtures.IDEMPOTENT_REQUEST.length(),
                                (i + 1) * length);
                slowClient.send(
                        BalancerServerFixtures.IDEMPOTENT_REQUEST.substring(i * length, end));
                for (int j = 0; j < 3; j++) {
                    stalledClients.add(new HttpTestClient(address));
                    stalledClients
                            .get(stalledClients.size() - 1)
                            .send(j == 0 ? "" : j == 1 ? "GET /" : READY_REQUEST);
                }
                // The pace of the slow one, over a half-second in all
                TimeUnit.MILLISECONDS.sleep(40);
            }
            upstream.nextRequest().respond(200, "", "ok");
            assertEquals(200, slowClient.readStatus());
        } finally {
            for (HttpTestClient stalledClient : stalledClients) {
                stalledClient.close();
            }
        }
    }
}

package junctionhead.net;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import junctionhead.net.NodeTest.Client;
import junctionhead.net.NodeTest.Scripted;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * Peers that connect and send nothing, or never end what they begin, lose their connections soon.
 */
@Timeout(60)
class SlowPeersTest {
    private static final String READY = "GET /-/ready HTTP/1.1\r\nHost: x\r\n\r\n";
    private static final String POST =
            "POST /api/k1 HTTP/1.1\r\nHost: x\r\nReq-Id: r\r\nReq-Kind: book\r\n"
                    + "Req-Deadline-Ms: 20000\r\n";

    private final Scripted module = new Scripted();
    private FakeUpstream upstream;
    private Node node;
    private InetSocketAddress at;

    @BeforeEach
    void open() throws IOException {
        upstream = new FakeUpstream();
    }

    private void start(int sockets) throws IOException {
        node = Nodes.node(upstream, module, NodeTest.settings(), sockets, line -> {});
        at = node.start();
    }

    @AfterEach
    void close() throws IOException {
        node.stop();
        upstream.close();
    }

    @Test
    void aPeerThatSendsNothingLosesItsConnectionAndAClientAtRestKeepsIts() throws IOException {
        start(1024);
        try (Client client = new Client(at)) {
            assertEquals(200, client.send(READY).status());
            for (int i = 0; i < 2; i++) {
                // For longer than a newcomer may be silent
                try (Client silent = new Client(at)) {
                    assertNull(silent.answer());
                }
            }
            assertEquals(200, client.send(READY).status());
        }
    }

    @ParameterizedTest
    @ValueSource(
            strings = {
                "G",
                "GET /-/ready HTTP/1.1\r\nHost: x",
                POST + "Content-Length: 5\r\n\r\n1234",
                POST + "Transfer-Encoding: chunked\r\n\r\n",
                POST + "Transfer-Encoding: chunked\r\n\r\n5\r\n123",
                POST + "Transfer-Encoding: chunked\r\n\r\n5\r\n12345\r\n0\r\n",
                POST + "Expect: 100-continue\r\nTransfer-Encoding: chunked\r\n\r\n",
            })
    void anUnfinishedRequestGetsAnErrorAndReachesNobody(String begun) throws IOException {
        start(1024);
        try (Client first = new Client(at);
                Client later = new Client(at)) {
            first.send(begun);
            // In one piece with a whole one
            assertEquals(200, later.send(READY + begun).status());
            for (Client client : List.of(first, later)) {
                String head = client.skipContinue();
                assertTrue(head.startsWith("HTTP/1.1 408"), head);
                assertNull(client.answer());
            }
        }
        assertTrue(module.requests.isEmpty());
    }

    @Test
    void aRequestThatTricklesInGetsAnErrorInTheEnd() throws Exception {
        start(1024);
        try (Client client = new Client(at)) {
            client.send("GET /-/ready HTTP/1.1\r\nX: ");
            while (client.in.available() == 0) {
                client.send("x");
                TimeUnit.MILLISECONDS.sleep(50);
            }
            assertEquals(408, client.status());
        }
    }

    @Test
    void aRequestThatIsBeingServedIsWaitedFor() throws Exception {
        start(1024);
        try (Client client = new Client(at);
                Client silent = new Client(at)) {
            client.send(NodeTest.SAFE);
            FakeUpstream.Got got = upstream.next();
            // Its time is over
            assertNull(silent.answer());
            got.answer(200, "", "ok");
            assertEquals(200, client.status());
        }
    }

    /** They have proved nothing, and those of proper clients who rest come next. */
    @ParameterizedTest
    @ValueSource(booleans = {false, true})
    void peersThatAskSomethingAndStayDoNotKeepServersOut(boolean proper) throws Exception {
        start(40);
        List<Client> staying = new ArrayList<>();
        try {
            for (int i = 0; i < 30; i++) {
                Client peer = new Client(at);
                staying.add(peer);
                peer.send(proper ? NodeTest.SAFE : READY);
                if (proper) {
                    FakeUpstream.Got got = upstream.next();
                    got.answer(200, "Connection: close\r\n", "ok");
                }
                assertEquals(200, peer.status());
            }
            List<Client> clients = new ArrayList<>();
            for (int i = 0; i < 8; i++) {
                // All at once, each with a connection to the upstream
                staying.add(new Client(at).send(NodeTest.SAFE));
                clients.add(staying.get(staying.size() - 1));
            }
            for (int i = 0; i < clients.size(); i++) {
                upstream.next().answer(200, "", "ok");
            }
            for (Client client : clients) {
                assertEquals(200, client.status());
            }
        } finally {
            for (Client peer : staying) {
                peer.close();
            }
        }
    }

    /** More of them than there are descriptors: clients come to their turn all the same. */
    @Test
    void silentPeersDoNotKeepClientsOut() throws Exception {
        start(40);
        List<Client> silent = new ArrayList<>();
        try {
            for (int i = 0; i < 60; i++) {
                silent.add(new Client(at));
            }
            try (Client client = new Client(at)) {
                client.send(NodeTest.SAFE);
                upstream.next().answer(200, "", "ok");
                assertEquals(200, client.status());
            }
        } finally {
            for (Client peer : silent) {
                peer.close();
            }
        }
    }

    /**
     * They have sent what they ask for; the loop stood still, and comes first to who wants their
     * places.
     */
    @Test
    void newcomersWhoseBytesWaitToBeReadKeepTheirPlaces() throws Exception {
        start(40);
        List<Client> clients = new ArrayList<>();
        try {
            for (int i = 0; i < 12; i++) {
                clients.add(new Client(at));
            }
            while (!node.loop()
                    .submit(() -> node.clients().toString())
                    .get()
                    .startsWith("12 clients'")) {
                Thread.onSpinWait();
            }
            Stall stall = new Stall(node.loop());
            for (int i = 0; i < 8; i++) {
                clients.add(new Client(at));
            }
            for (Client client : clients.subList(0, 12)) {
                client.send(READY);
            }
            // For longer than a newcomer may be silent
            TimeUnit.MILLISECONDS.sleep(80);
            stall.release();
            for (Client client : clients.subList(0, 12)) {
                assertEquals(200, client.status());
            }
        } finally {
            for (Client client : clients) {
                client.close();
            }
        }
    }

    /**
     * Its place goes to nobody who does less: neither to the silent nor to those that begin and
     * stop.
     */
    @Test
    void aSlowClientKeepsItsPlaceAmongPeersThatStandStill() throws Exception {
        start(40);
        List<Client> still = new ArrayList<>();
        try (Client slow = new Client(at)) {
            int pieces = 20;
            int length = NodeTest.SAFE.length() / pieces + 1;
            for (int i = 0; i < pieces; i++) {
                int end = Math.min(NodeTest.SAFE.length(), (i + 1) * length);
                slow.send(NodeTest.SAFE.substring(i * length, end));
                for (int j = 0; j < 3; j++) {
                    still.add(new Client(at));
                    still.get(still.size() - 1).send(j == 0 ? "" : j == 1 ? "GET /" : READY);
                }
                // The pace of the slow one, over a half-second in all
                TimeUnit.MILLISECONDS.sleep(40);
            }
            upstream.next().answer(200, "", "ok");
            assertEquals(200, slow.status());
        } finally {
            for (Client peer : still) {
                peer.close();
            }
        }
    }
}

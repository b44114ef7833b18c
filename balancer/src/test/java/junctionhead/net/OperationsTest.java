package junctionhead.net;

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
import java.util.concurrent.CopyOnWriteArrayList;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/**
 * What operators do with a balancer that serves: read its figures, empty it, start its successor.
 */
@Timeout(60)
class OperationsTest {
    private static final String READY = "GET /-/ready HTTP/1.1\r\nHost: backend.local\r\n\r\n";

    private final NodeTest.Scripted module = new NodeTest.Scripted();
    private final List<String> log = new CopyOnWriteArrayList<>();
    private FakeUpstream upstream;
    private Node node;
    private InetSocketAddress at;

    @BeforeEach
    void open() throws IOException {
        upstream = new FakeUpstream();
        node = Nodes.node(upstream, module, NodeTest.settings(), 1024, log::add);
    }

    @AfterEach
    void close() throws IOException {
        if (node != null) {
            node.stop();
        }
        upstream.close();
    }

    private static String call(Node to, String line) throws IOException {
        try (Socket socket = new Socket(to.door().getAddress(), to.door().getPort())) {
            socket.setSoTimeout(20_000);
            socket.getOutputStream().write((line + "\n").getBytes(StandardCharsets.UTF_8));
            return new String(socket.getInputStream().readAllBytes(), StandardCharsets.UTF_8);
        }
    }

    private static void awaitReady(Node node, boolean ready) throws IOException {
        while (call(node, "ready").startsWith("200") != ready) {
            Thread.onSpinWait();
        }
    }

    private void awaitFigure(String figure) throws IOException {
        while (!call(node, "show-stat").contains(figure + "\n")) {
            Thread.onSpinWait();
        }
    }

    private static int ready(InetSocketAddress at) throws IOException {
        try (NodeTest.Client client = new NodeTest.Client(at)) {
            return client.send(READY).status();
        }
    }

    @Test
    void eachRequestsEndIsCountedOnceWhereItIsDecided() throws Exception {
        at = node.start();
        awaitReady(node, true);
        awaitFigure("app.cluster_size:1|g");
        try (NodeTest.Client client = new NodeTest.Client(at)) {
            client.send(NodeTest.SAFE);
            FakeUpstream.Got got = upstream.next();
            awaitFigure("app.current:1|g");
            awaitFigure("app.sends:1|c");
            got.answer(200, "", "x");
            assertEquals(200, client.status());
            client.send(NodeTest.SAFE);
            upstream.next().answer(500, "", "x");
            assertEquals(502, client.status());
            module.server = null;
            client.send(NodeTest.SAFE);
            awaitFigure("app.current:1|g");
        }
        awaitFigure("app.current:0|g");
        String figures = call(node, "show-stat");
        assertTrue(figures.contains("app.transactions.read.answered:1|c\n"), figures);
        assertTrue(figures.contains("app.transactions.read.errored:1|c\n"), figures);
        assertTrue(figures.contains("app.transactions.read.deferred:0|c\n"), figures);
        assertTrue(figures.contains("app.sends:2|c\n"), figures);
    }

    @Test
    void aDrainedBalancerServesWhatComesAndHoldsNoConnectionAtRest() throws Exception {
        at = node.start();
        awaitReady(node, true);
        try (NodeTest.Client resting = new NodeTest.Client(at);
                NodeTest.Client busy = new NodeTest.Client(at);
                NodeTest.Client silent = new NodeTest.Client(at)) {
            assertEquals(200, resting.send(READY).status());
            busy.send(NodeTest.SAFE);
            FakeUpstream.Got got = upstream.next();
            assertTrue(call(node, "drain").startsWith("200 "));
            awaitReady(node, false);
            assertEquals(503, ready(at));
            assertNull(resting.answer());
            assertNull(silent.answer());
            got.answer(200, "", "x");
            String head = busy.answer();
            assertTrue(
                    head.startsWith("HTTP/1.1 200")
                            && head.toLowerCase().contains("connection: close"));
            assertNull(busy.answer());
            try (NodeTest.Client late = new NodeTest.Client(at)) {
                late.send(NodeTest.SAFE);
                upstream.next().answer(200, "", "y");
                assertEquals(200, late.status());
                assertNull(late.answer());
            }
        }
        assertTrue(call(node, "drain").startsWith("200 "));
        assertTrue(call(node, "resume").startsWith("200 "));
        awaitReady(node, true);
        try (NodeTest.Client client = new NodeTest.Client(at)) {
            assertEquals(200, client.send(READY).status());
            assertEquals(200, client.send(READY).status());
        }
    }

    /** Both hold the same listening socket; closed by one, it would be gone for both. */
    @Test
    void aSuccessorTakesOverTheListeningSocketAndNoConnectionIsTurnedAway() throws Exception {
        try (ServerSocketChannel shared = ServerSocketChannel.open()) {
            shared.bind(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0), 64);
            at = (InetSocketAddress) shared.getLocalAddress();
            node.start(shared);
            awaitReady(node, true);
            NodeTest.Scripted second = new NodeTest.Scripted();
            second.server = null;
            Node successor = Nodes.node(upstream, second, NodeTest.settings(), 1024, log::add);
            try (NodeTest.Client held = new NodeTest.Client(at);
                    NodeTest.Client resting = new NodeTest.Client(at)) {
                assertEquals(200, resting.send(READY).status());
                held.send(NodeTest.SAFE);
                FakeUpstream.Got got = upstream.next();
                successor.start(shared);
                awaitReady(successor, true);
                Thread stop = new Thread(node::stop);
                stop.start();
                awaitReady(node, false);
                // The old one has closed what it closes
                assertNull(resting.answer());
                for (int i = 0; i < 20; i++) {
                    // The old one accepts nothing any more
                    assertEquals(200, ready(at));
                }
                assertTrue(shared.isOpen());
                got.answer(200, "", "x");
                assertTrue(held.answer().toLowerCase().contains("connection: close"));
                stop.join();
                node = null;
            } finally {
                successor.stop();
            }
        }
    }

    @Test
    void nothingIsAcceptedFromASharedSocketBeforeThisOneIsReady() throws Exception {
        try (ServerSocketChannel shared = ServerSocketChannel.open()) {
            shared.bind(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0), 64);
            Node unready = Nodes.unready(NodeTest.settings(), module, log::add);
            at = (InetSocketAddress) shared.getLocalAddress();
            try (NodeTest.Client waiting = new NodeTest.Client(at)) {
                unready.start(shared);
                waiting.send(READY);
                unready.loop().submit(() -> {}).get();
                assertTrue(call(unready, "ready").startsWith("400 "));
                shared.configureBlocking(false);
                assertNotNull(shared.accept(), "still in the queue, for whoever is ready");
            } finally {
                unready.stop();
            }
        }
    }
}

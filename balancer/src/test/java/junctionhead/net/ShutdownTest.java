package junctionhead.net;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.ConnectException;
import java.net.Socket;
import java.net.SocketException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import junctionhead.net.NodeTest.Client;
import org.junit.jupiter.api.Test;

/** What arrives, or has not left yet, as a balancer stops and closes its connections. */
class ShutdownTest extends Crossing {
    private Thread stop() {
        Thread stop = new Thread(node::stop);
        node = null;
        stop.start();
        return stop;
    }

    // Until the balancer says that it stops.
    private void awaitStopping() throws IOException {
        int ready = 200;
        while (ready == 200) {
            try (Client asks = new Client(at)) {
                ready = asks.send("GET /-/ready HTTP/1.1\r\nHost: x\r\n\r\n").status();
            }
        }
    }

    // Until the balancer takes no more connections.
    private void awaitClosed() throws IOException {
        while (true) {
            try (Socket socket = new Socket(at.getAddress(), at.getPort())) {
                assertTrue(socket.isConnected());
            } catch (ConnectException e) {
                return;
            } catch (SocketException e) {
                // It came in the very instant of the close
                continue;
            }
        }
    }

    /**
     * A close over unread bytes would reset the connection; what comes behind the end is not sent
     * on.
     */
    @Test
    void bytesThatArriveAsTheLastAnswerIsWrittenTakeNothingWithThem() throws Exception {
        start();
        module.server = null;
        Node stopped = node;
        Client client = new Client(at).send(request("r1"));
        taken();
        Thread stop = stop();
        awaitStopping();
        Stall stall = new Stall(stopped.loop(), () -> module.actions.refuse(module.taken, 0));
        client.send(request("late"));
        stall.release();
        assertEquals(503, client.status());
        // An end, no reset
        assertNull(client.answer());
        client.close();
        stop.join();
        assertTrue(module.requests.isEmpty());
    }

    @Test
    void whoseRequestHasBegunWhenTheBalancerStopsIsAnswered() throws Exception {
        start();
        try (Client client = new Client(at)) {
            client.send(request("r1").substring(0, 40));
            Thread stop = stop();
            awaitClosed();
            client.send(request("r1").substring(40));
            serves(client, "r1");
            assertNull(client.answer());
            stop.join();
        }
    }

    /** They have been accepted by the machine, if not yet by the process. */
    @Test
    void whoWaitsToBeAcceptedWhenTheListenerClosesIsAnswered() throws Exception {
        start();
        List<Client> clients = new ArrayList<>();
        Stall stall = new Stall(node.loop(), () -> node.clients().close(() -> {}));
        for (int i = 0; i < 40; i++) {
            clients.add(new Client(at).send(request("r" + i)));
        }
        stall.release();
        for (int i = 0; i < clients.size(); i++) {
            upstream.next().answer(200, "", "ok");
        }
        for (Client client : clients) {
            assertEquals(200, client.status());
            client.close();
        }
    }

    /** Nobody reads what it gets, so that its end is awaited for no longer than its bound. */
    @Test
    void aStopWaitsForNoClientThatNeverEndsItsConnection() throws Exception {
        start();
        try (Client client = new Client(at)) {
            client.send(request("r1"));
            serves(client, "r1");
            Thread stop = stop();
            stop.join(20_000);
            assertTrue(!stop.isAlive());
            InputStream in = new BufferedInputStream(client.socket.getInputStream());
            assertEquals(-1, in.read());
        }
    }

    /** More of it than the system takes at once: the rest waits in the process. */
    @Test
    void theLastAnswerReachesASlowReaderBeforeTheProcessEnds() throws Exception {
        start();
        Thread stop;
        try (Socket slow = new Socket()) {
            slow.setReceiveBufferSize(1024);
            slow.connect(at);
            slow.getOutputStream().write(request("r1").getBytes(StandardCharsets.ISO_8859_1));
            byte[] body = new byte[64 * 1024];
            upstream.next().answer(200, "", body);
            assertEquals("OK closed", module.next());
            stop = stop();
            awaitClosed();
            InputStream in = new BufferedInputStream(slow.getInputStream());
            assertTrue(FakeUpstream.head(in).startsWith("HTTP/1.1 200"));
            assertEquals(body.length, in.readAllBytes().length);
        }
        stop.join();
    }

    /** Its upstream hangs; who comes just then is owed an answer in time all the same. */
    @Test
    void deadlinesHoldToTheEndOfADrain() throws Exception {
        start();
        Thread stop = stop();
        awaitStopping();
        try (Client late = new Client(at)) {
            long sent = System.nanoTime();
            late.send(request("r1").replace("20000", "900"));
            upstream.next();
            assertEquals(502, late.status());
            assertTrue(System.nanoTime() - sent < 950_000_000);
        }
        stop.join();
    }
}

package junctionhead.net;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.Socket;
import java.net.SocketException;
import java.util.ArrayList;
import java.util.List;
import junctionhead.net.NodeTest.Client;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

/** Clients that leave, wherever their requests are just then. */
class LeavingTest extends Crossing {
    @ParameterizedTest
    @CsvSource({
        "1,false,false",
        "1,true,false",
        "1,false,true",
        "1,true,true",
        "300,false,false",
        "300,true,false"
    })
    void whoLeftBehindItsRequestWhileTheLoopStoodStillIsSentNothingFor(
            int many, boolean reset, boolean kept) throws Exception {
        start();
        List<Client> gone = new ArrayList<>();
        if (kept) {
            gone.add(new Client(at).send(request("r0")));
            taken();
            serves(gone.get(0), "r0");
            assertEquals("OK closed", module.next());
        }
        Stall stall = new Stall(node.loop());
        for (int i = 0; i < many; i++) {
            if (!kept) {
                gone.add(new Client(at));
            }
            gone.get(i).send(request("gone" + i));
            if (reset) {
                gone.get(i).socket.setSoLinger(true, 0);
            }
            gone.get(i).close();
        }
        stall.release();
        try (Client next = new Client(at).send(request("r2"))) {
            serves(next, "r2");
        }
        taken();
        assertTrue(module.requests.isEmpty(), module.requests.toString());
        assertEquals("OK closed", module.next());
    }

    @Test
    void whoLeavesWhileHeldIsToldAndNothingIsSentForIt() throws Exception {
        start();
        module.server = null;
        Client gone = new Client(at).send(request("gone"));
        taken();
        String held = module.taken;
        gone.close();
        assertEquals("gone", module.next());
        new Stall(node.loop(), () -> module.actions.send(held, "s1", 0)).release();
        module.server = "s1";
        try (Client next = new Client(at).send(request("r2"))) {
            serves(next, "r2");
        }
    }

    /**
     * The loop stands still as they leave, and comes to their attempts before it comes to their
     * ends.
     */
    @ParameterizedTest
    @CsvSource({"1,false", "1,true", "300,false", "300,true"})
    void whoseAttemptsBeginBeforeTheLoopHasReadThatTheyLeftAreSentNothingFor(
            int many, boolean reset) throws Exception {
        start();
        try (Client first = new Client(at).send(request("r0"))) {
            // A connection rests: nothing is waited for
            serves(first, "r0");
            taken();
            assertEquals("OK closed", module.next());
        }
        module.server = null;
        List<Client> gone = new ArrayList<>();
        List<String> held = new ArrayList<>();
        for (int i = 0; i < many; i++) {
            gone.add(new Client(at).send(request("gone" + i)));
            taken();
            held.add(module.taken);
        }
        Stall stall =
                new Stall(node.loop(), () -> held.forEach(r -> module.actions.send(r, "s1", 0)));
        for (Client client : gone) {
            client.socket.setSoLinger(reset, 0);
            client.close();
        }
        aWhile();
        stall.release();
        for (int i = 0; i < many; i++) {
            assertEquals("gone", module.next());
            assertEquals("NOT_SENT closed", module.next());
        }
        module.server = "s1";
        try (Client next = new Client(at).send(request("r2"))) {
            serves(next, "r2");
        }
        assertEquals(1, upstream.connections());
    }

    /**
     * It is turned away, and leaves; the loop reads the answer first and has another attempt made.
     */
    @Test
    void whoLeavesBetweenTwoAttemptsIsSentNothingMoreFor() throws Exception {
        start();
        module.triesAgain = true;
        Client gone = new Client(at).send(request("gone"));
        taken();
        FakeUpstream.Got got = upstream.next();
        Stall stall = new Stall(node.loop());
        got.answer(503, "Srv-Declined: 1\r\n", "");
        // The answer is the first that the loop finds
        aWhile();
        gone.close();
        aWhile();
        stall.release();
        assertEquals("again", module.next());
        assertEquals("gone", module.next());
        assertEquals("NOT_SENT closed", module.next());
        try (Client next = new Client(at).send(request("r2"))) {
            serves(next, "r2");
        }
    }

    /** The connection comes up and the client leaves while the loop stands still, in this order. */
    @ParameterizedTest
    @ValueSource(booleans = {false, true})
    void whoLeavesInTheTurnInWhichItsConnectionComesUpIsSentNothingFor(boolean cancels)
            throws Exception {
        try (ClosedDoor door = new ClosedDoor()) {
            start(door.address());
            module.cancels = cancels;
            Client gone = new Client(at).send(request("gone"));
            taken();
            for (int i = 0; i < 3; i++) {
                // It has begun to connect
                node.loop().submit(() -> {}).get();
            }
            Stall stall = new Stall(node.loop());
            Socket opened = door.open();
            aWhile();
            gone.close();
            aWhile();
            stall.release();
            assertEquals("gone", module.next());
            assertEquals("NOT_SENT closed", module.next());
            try (Client next = new Client(at)) {
                next.send(request("r2"));
                assertTrue(FakeUpstream.head(opened.getInputStream()).contains("Req-Id: r2"));
            }
        }
    }

    // More than an attempt may begin after its client has left.
    private static void aWhile() {
        long until = System.nanoTime() + 150_000_000;
        while (System.nanoTime() < until) {
            Thread.onSpinWait();
        }
    }

    /** Where nothing may be cancelled, too: a connection that comes up later is not used for it. */
    @ParameterizedTest
    @ValueSource(booleans = {false, true})
    void whoLeavesWhileItsConnectionIsMadeIsSentNothingFor(boolean cancels) throws Exception {
        try (ClosedDoor door = new ClosedDoor()) {
            start(door.address());
            module.cancels = cancels;
            Client gone = new Client(at).send(request("gone"));
            taken();
            gone.close();
            assertEquals("gone", module.next());
            Socket opened = door.open();
            assertEquals("NOT_SENT closed", module.next());
            try (Client next = new Client(at)) {
                next.send(request("r2"));
                assertTrue(FakeUpstream.head(opened.getInputStream()).contains("Req-Id: r2"));
            }
        }
    }

    /**
     * The answer meets a reset that the loop has not read yet: its connection is closed by the
     * write.
     */
    @Test
    void whoLeavesAsItsAnswerIsWrittenLeavesNothingBehind() throws Exception {
        start();
        module.server = null;
        Client gone = new Client(at).send(request("gone"));
        taken();
        Stall stall = new Stall(node.loop(), () -> module.actions.refuse(module.taken, 0));
        gone.socket.setSoLinger(true, 0);
        gone.close();
        stall.release();
        String left = "";
        while (!left.startsWith("0 clients'")) {
            left = node.loop().submit(() -> node.clients().toString()).get();
        }
        assertEquals("0 clients' (0 new, 0 at rest, 0 shut)", left);
    }

    @Test
    void whoLeavesBehindOneThatIsServedIsSentNothingFor() throws Exception {
        start();
        Client gone = new Client(at).send(request("r1") + request("gone"));
        FakeUpstream.Got first = upstream.next();
        gone.close();
        assertEquals("gone", module.next());
        assertEquals("CANCELLED closed", module.next());
        assertTrue(first.closedByPeer());
        try (Client next = new Client(at).send(request("r2"))) {
            serves(next, "r2");
        }
    }

    /**
     * Its body waits for a connection, and more of it than is read meanwhile: its end stands behind
     * that.
     */
    @Test
    void whoLeavesWhileItsBodyWaitsIsSeenThoughReadingRests() throws Exception {
        try (ClosedDoor door = new ClosedDoor()) {
            start(door.address());
            Client gone =
                    new Client(at)
                            .send(
                                    "POST /api/k1 HTTP/1.1\r\nHost: x\r\nReq-Id: gone\r\n"
                                            + "Req-Kind: book\r\nReq-Deadline-Ms: 20000\r\n"
                                            + "Content-Length: 200000\r\n\r\n");
            gone.socket.getOutputStream().write(new byte[180_000]);
            assertEquals("uploading", module.next());
            gone.close();
            assertEquals("gone", module.next());
        }
    }

    /**
     * All of its body is on its way, and its end behind more than is read while its connection is
     * made: the attempt that begins then never gets its last byte, and so never was one.
     */
    @ParameterizedTest
    @ValueSource(booleans = {false, true})
    void whoLeftBehindALongBodyNeverHasItsRequestMadeWhole(boolean chunked) throws Exception {
        int length = 1_500_000;
        try (ClosedDoor door = new ClosedDoor()) {
            start(door.address());
            module.cancels = false;
            Client gone =
                    new Client(at)
                            .send(
                                    "POST /api/k1 HTTP/1.1\r\nHost: x\r\nReq-Id: gone\r\n"
                                            + "Req-Kind: book\r\nReq-Deadline-Ms: 20000\r\n"
                                            + (chunked
                                                    ? "Transfer-Encoding: chunked\r\n\r\n"
                                                    : "Content-Length: " + length + "\r\n\r\n"));
            Thread sending =
                    new Thread(
                            () -> {
                                try {
                                    OutputStream out = gone.socket.getOutputStream();
                                    out.write(
                                            chunked
                                                    ? (Integer.toHexString(length) + "\r\n")
                                                            .getBytes()
                                                    : new byte[0]);
                                    out.write(new byte[length]);
                                    out.write(chunked ? "\r\n0\r\n\r\n".getBytes() : new byte[0]);
                                    gone.close();
                                } catch (IOException e) {
                                    Thread.currentThread().interrupt();
                                }
                            });
            sending.start();
            assertEquals("uploading", module.next());
            // The system has taken in what it takes in
            sending.join(2_000);
            aWhile();
            aWhile();
            Socket opened = door.open();
            assertTrue(FakeUpstream.head(opened.getInputStream()).contains("Req-Id: gone"));
            assertFalse(isWhole(opened.getInputStream(), chunked ? -1 : length));
        }
    }

    // Reads until its last byte has come, or the connection has ended before.
    private static boolean isWhole(InputStream body, long length) throws IOException {
        try {
            if (length >= 0) {
                return body.readNBytes((int) length).length == length;
            }
            FakeUpstream.chunks(body);
            return true;
        } catch (SocketException | NumberFormatException e) {
            // It was reset, or ended amid a chunk
            return false;
        } catch (IOException e) {
            assertTrue(e.getMessage().contains("amid"), e.toString());
            return false;
        }
    }

    /**
     * Much at once and gone: a line without end, requests ahead of answers, a body that never is
     * whole.
     */
    @ParameterizedTest
    @ValueSource(strings = {"line", "requests", "body"})
    void floodsThatAreGoneLeaveNothingBehindAndProperClientsAreServed(String kind)
            throws Exception {
        start();
        String flood =
                switch (kind) {
                    case "line" -> "GET /" + "x".repeat(1 << 20);
                    case "requests" -> request("flood").repeat(2_000);
                    default ->
                            "POST /api/k1 HTTP/1.1\r\nHost: x\r\nReq-Id: flood\r\nReq-Kind: book\r\n"
                                    + "Req-Deadline-Ms: 20000\r\nContent-Length: 30000000\r\n\r\n"
                                    + "x".repeat(1 << 20);
                };
        // What is taken of them is held
        module.server = null;
        for (int i = 0; i < 12; i++) {
            Client gone = new Client(at);
            try {
                gone.send(flood);
            } catch (IOException e) {
                // Turned away before all of it was sent
                assertEquals("line", kind);
            }
            gone.close();
        }
        try (Client proper = new Client(at)) {
            // Amid them
            assertEquals(200, proper.send("GET /-/ready HTTP/1.1\r\nHost: x\r\n\r\n").status());
        }
        String left = "";
        while (!left.startsWith("0 clients'")) {
            // Or the test's own time is over
            left = node.loop().submit(() -> node.clients().toString()).get();
        }
        assertEquals(0, node.loop().submit(() -> node.owed()).get());
        module.server = "s1";
        try (Client proper = new Client(at).send(request("proper"))) {
            serves(proper, "proper");
        }
    }
}

package junctionhead.net;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.net.Socket;
import junctionhead.net.NodeTest.Client;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Attempts that end, or connections that do, in the turn in which they are used. */
class AttemptsTest extends Crossing {
    @Test
    void whatMayNoLongerBeSentWhenItsConnectionComesUpIsNotWritten() throws Exception {
        try (ClosedDoor door = new ClosedDoor()) {
            start(door.address());
            try (Client client = new Client(at).send(request("late"))) {
                taken();
                module.mayBegin = false;
                Socket opened = door.open();
                assertEquals("NOT_SENT", module.next());
                assertEquals(502, client.status());
                module.mayBegin = true;
                client.send(request("r2"));
                assertTrue(FakeUpstream.head(opened.getInputStream()).contains("Req-Id: r2"));
            }
        }
    }

    /**
     * A connection that is chosen while its end, or something that nobody asked for, is arriving.
     */
    @ParameterizedTest
    @ValueSource(
            strings = {
                "end",
                "reset",
                "HTTP/1.1 2",
                "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nstray"
            })
    void aRestingConnectionOnWhichSomethingArrivesIsNotUsed(String arriving) throws Exception {
        start();
        try (Client client = new Client(at).send(request("r1"))) {
            taken();
            FakeUpstream.Got first = serves(client, "r1");
            assertEquals("OK closed", module.next());
            module.server = null;
            client.send(request("r2"));
            taken();
            Stall stall = new Stall(node.loop(), () -> module.actions.send(module.taken, "s1", 0));
            switch (arriving) {
                case "end" -> first.socket().close();
                case "reset" -> first.reset();
                default -> first.raw(arriving);
            }
            if (first.socket().isClosed()) {
                upstream.awaitClosed(first);
            }
            stall.release();
            assertEquals(2, serves(client, "r2").connection());
            assertEquals("OK closed", module.next());
        }
    }

    /**
     * Both orders: the loop reads the answer before it looks at the clock, or the attempt ended
     * before.
     */
    @ParameterizedTest
    @ValueSource(booleans = {false, true})
    void anAttemptThatEndsInTheTurnOfItsAnswerEndsOnce(boolean answerFirst) throws Exception {
        start();
        module.timeout = 300_000;
        try (Client client = new Client(at).send(request("r1"))) {
            FakeUpstream.Got got = upstream.next();
            Stall stall =
                    new Stall(
                            node.loop(),
                            () -> {
                                if (!answerFirst) {
                                    module.actions.cancel(module.taken, 0);
                                }
                            });
            got.answer(200, "", "r1");
            long over = System.nanoTime() + 300_000_000;
            while (System.nanoTime() < over) {
                // Until its time-out is due as well
                Thread.onSpinWait();
            }
            stall.release();
            assertEquals(answerFirst ? 200 : 502, client.status());
            assertEquals(answerFirst ? "OK closed" : "CANCELLED", module.next());
            module.timeout = 0;
            client.send(request("r2"));
            serves(client, "r2");
            assertEquals("OK closed", module.next());
        }
    }
}

package junctionhead.net;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** The operators' door, over loopback sockets. */
@Timeout(60)
class AdminServerTest {
    private final List<String> asked = new CopyOnWriteArrayList<>();
    private volatile Stats stats = Stats.NONE;
    private AdminServer door;
    private InetSocketAddress at;

    @BeforeEach
    void open() throws IOException {
        door =
                new AdminServer(
                        new AdminServer.Desk() {
                            @Override
                            public Stats stats() {
                                return stats;
                            }

                            @Override
                            public void drain() {
                                asked.add("drain");
                            }

                            @Override
                            public void resume() {
                                asked.add("resume");
                            }
                        });
        at = door.listen(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0));
    }

    @AfterEach
    void close() {
        door.close();
    }

    private Socket connect() throws IOException {
        Socket socket = new Socket(at.getAddress(), at.getPort());
        socket.setSoTimeout(20_000);
        return socket;
    }

    private static void say(Socket socket, String text) throws IOException {
        socket.getOutputStream().write(text.getBytes(StandardCharsets.UTF_8));
        socket.getOutputStream().flush();
    }

    private static String rest(Socket socket) throws IOException {
        return new String(socket.getInputStream().readAllBytes(), StandardCharsets.UTF_8);
    }

    private String call(String line) throws IOException {
        try (Socket socket = connect()) {
            say(socket, line);
            return rest(socket);
        }
    }

    @Test
    void readinessAndFiguresAreThoseLastPublished() throws IOException {
        assertTrue(call("ready\n").startsWith("400 "));
        assertEquals(
                List.of("EOF"), call("show-stat\n").lines().filter(l -> l.equals("EOF")).toList());
        Metrics metrics = new Metrics(List.of("read", "book"));
        metrics.answered(0);
        metrics.deferred(1);
        metrics.errored(1);
        metrics.errored(1);
        metrics.sent();
        stats = metrics.stats(true, 3, 9, 2);
        assertTrue(call("ready\r\n").startsWith("200 "));
        assertEquals(
                """
            200 figures
            app.transactions.read.answered:1|c
            app.transactions.read.deferred:0|c
            app.transactions.read.errored:0|c
            app.transactions.book.answered:0|c
            app.transactions.book.deferred:1|c
            app.transactions.book.errored:2|c
            app.sends:1|c
            app.current:3|g
            app.cluster_size:9|g
            app.cluster_unhealthy:2|g
            EOF
            """,
                call("show-stat\n"));
    }

    @Test
    void drainAndResumeAreHandedOnOnceEach() throws IOException {
        assertTrue(call("drain\n").startsWith("200 "));
        assertTrue(call("resume\ndrain\n").startsWith("200 "));
        assertEquals(List.of("drain", "resume"), asked);
    }

    @ParameterizedTest
    @CsvSource({"stop, 0", "'', 0", "drain, 1", "drain, 120"})
    void whatIsNoCallIsSaidToBeNone(String word, int more) throws IOException {
        assertTrue(call(word + "x".repeat(more) + "\n").startsWith("400 "));
        assertEquals(List.of(), asked);
    }

    @ParameterizedTest
    @CsvSource({"128, true", "129, true", "100000, true"})
    void aLineAtTheLimitAndOneThatIsTooLongGetAnAnswer(int length, boolean whole)
            throws IOException {
        try (Socket socket = connect()) {
            say(socket, "x".repeat(length) + (whole ? "\n" : ""));
            assertEquals("400", rest(socket).substring(0, 3));
        }
    }

    /** Silent and half-written callers wait at the door in greater number than it lets in. */
    @Test
    void callersThatFinishNothingKeepNobodyOut() throws IOException {
        List<Socket> silent = new ArrayList<>();
        try {
            for (int i = 0; i < 2 * AdminServer.CALLERS_MOST; i++) {
                silent.add(connect());
                say(silent.get(i), i % 2 == 0 ? "show-st" : "");
                assertTrue(call("ready\n").startsWith("400 "));
            }
            assertEquals("", rest(silent.get(0)));
        } finally {
            for (Socket socket : silent) {
                socket.close();
            }
        }
        assertEquals(List.of(), asked);
    }
}

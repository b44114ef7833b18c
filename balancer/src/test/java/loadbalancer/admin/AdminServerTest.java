package loadbalancer.admin;

import static loadbalancer.admin.AdminTestClient.connect;
import static loadbalancer.admin.AdminTestClient.readToEnd;
import static loadbalancer.admin.AdminTestClient.write;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

/** Tests {@link AdminServer} over loopback sockets. */
@Timeout(60)
class AdminServerTest {
    private final List<String> calls = new CopyOnWriteArrayList<>();
    private volatile MetricsSnapshot stats = MetricsSnapshot.EMPTY;
    private AdminServer server;
    private InetSocketAddress address;

    @BeforeEach
    void open() throws IOException {
        server =
                new AdminServer(
                        new AdminOperations() {
                            @Override
                            public MetricsSnapshot stats() {
                                return stats;
                            }

                            @Override
                            public void drain() {
                                calls.add("drain");
                            }

                            @Override
                            public void resume() {
                                calls.add("resume");
                            }
                        });
        address = server.listen(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0));
    }

    @AfterEach
    void close() {
        server.close();
    }

    private String call(String line) throws IOException {
        return AdminTestClient.call(address, line);
    }

    @Test
    void readinessAndMetricsAreThoseLastPublished() throws IOException {
        assertTrue(call("ready\n").startsWith("400 "), "not ready before the first snapshot");
        assertEquals(
                List.of("EOF"),
                call("show-stat\n").lines().filter(line -> line.equals("EOF")).toList());
        Metrics metrics = new Metrics(List.of("read", "book"));
        metrics.recordServed(0);
        metrics.recordRejected(1);
        metrics.recordFailed(1);
        metrics.recordFailed(1);
        metrics.recordAttemptSent();
        stats = metrics.snapshot(true, 3, 9, 2);
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
    void drainAndResumeAreForwardedOnce() throws IOException {
        assertTrue(call("drain\n").startsWith("200 "));
        assertTrue(call("resume\ndrain\n").startsWith("200 "));
        assertEquals(List.of("drain", "resume"), calls);
    }

    @ParameterizedTest
    @CsvSource(
            useHeadersInDisplayName = true,
            textBlock =
                    """
                command, padding
                stop,    0
                '',      0
                drain,   1
                drain,   120
                """)
    void unknownCommandIsRejected(String command, int paddingLength) throws IOException {
        assertTrue(call(command + "x".repeat(paddingLength) + "\n").startsWith("400 "));
        assertEquals(List.of(), calls);
    }

    @ParameterizedTest(name = "{0} bytes")
    @ValueSource(ints = {128, 129, 100_000})
    void overlongLineIsAnswered(int length) throws IOException {
        assertEquals("400", call("x".repeat(length) + "\n").substring(0, 3));
    }

    /** More clients than {@code MAX_CONNECTIONS} connect and send nothing or an incomplete line. */
    @Test
    void idleConnectionsDoNotBlockOthers() throws IOException {
        List<Socket> idleConnections = new ArrayList<>();
        try {
            for (int i = 0; i < 2 * AdminServer.MAX_CONNECTIONS; i++) {
                idleConnections.add(connect(address));
                write(idleConnections.get(i), i % 2 == 0 ? "show-st" : "");
                assertTrue(call("ready\n").startsWith("400 "));
            }
            assertEquals(
                    "", readToEnd(idleConnections.get(0)), "response on the oldest connection");
        } finally {
            for (Socket socket : idleConnections) {
                socket.close();
            }
        }
        assertEquals(List.of(), calls);
    }

    /** One connection more than the limit must close the oldest long before its timeout. */
    @Test
    void surplusConnectionClosesTheOldestAtOnce() throws IOException {
        long startNanos = System.nanoTime();
        List<Socket> sockets = new ArrayList<>();
        try {
            for (int i = 0; i <= AdminServer.MAX_CONNECTIONS; i++) {
                sockets.add(connect(address));
            }
            assertEquals("", readToEnd(sockets.get(0)));
            long elapsedMs = (System.nanoTime() - startNanos) / 1_000_000;
            assertTrue(elapsedMs < AdminServer.CONNECTION_TIMEOUT_MS, elapsedMs + " ms");
        } finally {
            for (Socket socket : sockets) {
                socket.close();
            }
        }
    }
}

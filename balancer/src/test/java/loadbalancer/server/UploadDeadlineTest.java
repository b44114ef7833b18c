package loadbalancer.server;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import loadbalancer.routing.RoutingEngine;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * Tests that the final response to a request with a long body comes in time, counted from the
 * body's last byte, although the upstream does not take the body and the balancer therefore does
 * not read it. Uses the real routing policy.
 */
@Timeout(60)
class UploadDeadlineTest {
    private static final int TIME_LEFT_MS = 800;
    // A response up to half a second late only earns nothing.
    private static final int MAX_LATE_MS = 500;
    // More than the buffers between the balancer and an upstream that does not read.
    private static final int BODY_BYTES = 5_000_000;
    private static final int SLOW_READ_BYTES = 8_000;
    private static final int SLOW_READ_INTERVAL_MS = 100;
    private static final int RECEIVE_BUFFER_BYTES = 4_096;
    private static final int PIECES = 30;
    private static final int PIECE_BYTES = 10_000;
    private static final int PIECE_INTERVAL_MS = 100;

    private ServerSocket upstream;
    private BalancerServer balancer;
    private InetSocketAddress address;
    private volatile int readBytesPerInterval;

    @BeforeEach
    void start() throws IOException {
        upstream = new ServerSocket();
        upstream.setReceiveBufferSize(RECEIVE_BUFFER_BYTES);
        upstream.bind(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0));
        Thread acceptor = new Thread(this::acceptAll);
        acceptor.setDaemon(true);
        acceptor.start();
        balancer =
                new BalancerServer(
                        BalancerServerFixtures.config(
                                Map.of(
                                        "settings",
                                        BalancerServerFixtures.settings(),
                                        "known",
                                        BalancerServerFixtures.initialEndpointList(
                                                "s1", "127.0.0.1:" + upstream.getLocalPort()))),
                        RoutingEngine::new,
                        false,
                        line -> {});
        address = balancer.start();
    }

    @AfterEach
    void stop() throws IOException {
        balancer.stop();
        upstream.close();
    }

    private void acceptAll() {
        try {
            while (true) {
                Socket socket = upstream.accept();
                Thread reader = new Thread(() -> readSlowly(socket));
                reader.setDaemon(true);
                reader.start();
            }
        } catch (IOException e) {
            // The test has ended.
            Thread.currentThread().interrupt();
        }
    }

    // Never responds.
    private void readSlowly(Socket socket) {
        try (socket) {
            InputStream input = socket.getInputStream();
            int received = 0;
            while (received >= 0) {
                TimeUnit.MILLISECONDS.sleep(SLOW_READ_INTERVAL_MS);
                received = input.readNBytes(readBytesPerInterval).length;
            }
        } catch (IOException | InterruptedException e) {
            // The balancer has closed the connection.
            Thread.currentThread().interrupt();
        }
    }

    private static byte[] request(String framing) {
        String head =
                BalancerServerFixtures.nonIdempotentHead("u1")
                        .replace("20000", Integer.toString(TIME_LEFT_MS));
        String body = "x".repeat(BODY_BYTES);
        String text =
                framing.equals("chunked")
                        ? head
                                + "Transfer-Encoding: chunked\r\n\r\n"
                                + BalancerServerFixtures.chunk(body)
                                + "0\r\n\r\n"
                        : head + "Content-Length: " + BODY_BYTES + "\r\n\r\n" + body;
        return text.getBytes(StandardCharsets.US_ASCII);
    }

    private static void sendInBackground(HttpTestClient client, byte[] bytes) {
        Thread sender =
                new Thread(
                        () -> {
                            try {
                                client.send(bytes);
                            } catch (IOException e) {
                                // The buffers between were too small for the whole body.
                                Thread.currentThread().interrupt();
                            }
                        });
        sender.setDaemon(true);
        sender.start();
    }

    @ParameterizedTest
    @ValueSource(strings = {"length", "chunked"})
    void requestIsAnsweredInTimeIfTheUpstreamStopsReading(String framing) throws Exception {
        assertAnsweredInTime(framing);
    }

    @ParameterizedTest
    @ValueSource(strings = {"length", "chunked"})
    void requestIsAnsweredInTimeIfTheUpstreamReadsSlowly(String framing) throws Exception {
        readBytesPerInterval = SLOW_READ_BYTES;
        assertAnsweredInTime(framing);
    }

    private void assertAnsweredInTime(String framing) throws Exception {
        try (HttpTestClient client = new HttpTestClient(address)) {
            long startNanos = System.nanoTime();
            sendInBackground(client, request(framing));
            int status = client.readStatus();
            long elapsedMs = TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - startNanos);
            assertTrue(status == 502 || status == 503, "status " + status);
            assertTrue(
                    elapsedMs < TIME_LEFT_MS + MAX_LATE_MS, "answered after " + elapsedMs + " ms");
        }
    }

    /** The time of a client that is still sending has not begun, however long it takes. */
    @Test
    void requestOfAClientThatIsStillSendingIsNotFailed() throws Exception {
        readBytesPerInterval = PIECE_BYTES;
        try (HttpTestClient client = new HttpTestClient(address)) {
            String head =
                    BalancerServerFixtures.nonIdempotentHead("u2")
                            .replace("20000", Integer.toString(TIME_LEFT_MS));
            client.send(head + "Content-Length: " + (PIECES + 1) * PIECE_BYTES + "\r\n\r\n");
            for (int i = 0; i < PIECES; i++) {
                client.send("x".repeat(PIECE_BYTES));
                TimeUnit.MILLISECONDS.sleep(PIECE_INTERVAL_MS);
            }
            assertEquals(0, client.input.available(), "a response before the body's end");
        }
    }
}

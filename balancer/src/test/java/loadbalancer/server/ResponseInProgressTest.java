package loadbalancer.server;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import loadbalancer.routing.RoutingEngine;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/**
 * Tests that a response that has begun is not ended by the timeout of its attempt, which leaves the
 * latency objective, while the client still waits. Uses the real routing policy.
 */
@Timeout(60)
class ResponseInProgressTest {
    private static final long AFTER_OBJECTIVE_MS = 800;
    private static final int LONG_BODY_BYTES = 100_000;
    private static final String KEYED_REQUEST =
            "POST /api/k1 HTTP/1.1\r\nHost: backend.local\r\nReq-Id: r1\r\nReq-Kind: pay\r\n"
                    + "Idempotency-Key: key\r\nReq-Deadline-Ms: 5000\r\nContent-Length: 0\r\n\r\n";

    private FakeHttpServer upstream;
    private BalancerServer balancer;
    private InetSocketAddress address;

    @BeforeEach
    void start() throws IOException {
        upstream = new FakeHttpServer();
        balancer =
                new BalancerServer(
                        BalancerServerFixtures.config(
                                Map.of(
                                        "settings",
                                        BalancerServerFixtures.settings(),
                                        "known",
                                        BalancerServerFixtures.initialEndpointList(
                                                "s1", upstream.address()))),
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

    /** The head comes at once, the body after the latency objective of 600 ms. */
    @ParameterizedTest(name = "{0}")
    @CsvSource({"Content-Length: 100000", "Content-Length: 1000", "Transfer-Encoding: chunked"})
    void responseWhoseBodyIsLateIsNotCutOff(String framing) throws Exception {
        boolean chunked = framing.endsWith("chunked");
        int length = chunked ? LONG_BODY_BYTES : Integer.parseInt(framing.split(" ")[1]);
        try (HttpTestClient client = new HttpTestClient(address)) {
            client.send(KEYED_REQUEST);
            FakeHttpServer.ReceivedRequest request = upstream.nextRequest();
            request.sendRaw("HTTP/1.1 200 OK\r\n" + framing + "\r\n\r\n");
            TimeUnit.MILLISECONDS.sleep(AFTER_OBJECTIVE_MS);
            String body = "x".repeat(length);
            request.sendRaw(chunked ? BalancerServerFixtures.chunk(body) + "0\r\n\r\n" : body);
            String head = FakeHttpServer.readHead(client.input);
            assertTrue(head.startsWith("HTTP/1.1 200"), head);
            byte[] received =
                    chunked
                            ? FakeHttpServer.readChunked(client.input)
                            : client.input.readNBytes(length);
            assertEquals(length, received.length);
        }
    }
}

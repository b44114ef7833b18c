package loadbalancer.testbed.emulation;

import static org.awaitility.Awaitility.await;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.net.ConnectException;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.net.SocketException;
import java.net.SocketTimeoutException;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.List;
import loadbalancer.routing.api.EndpointStatus;
import loadbalancer.testbed.invariant.ClientAttempt;
import loadbalancer.testbed.invariant.ClientRequest;
import loadbalancer.testbed.workload.WorkloadPlan;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/**
 * Verifies that each kind of fault takes effect on the path or party that it names, and on no
 * other. Faults between balancers are tested by {@link PeerNetworkFaultTest}.
 */
@Timeout(60)
class FaultInjectorTest extends FaultInjectorTestSupport {
    // The limit for a response that has to arrive, on however busy a machine.
    private static final int RESPONSE_TIMEOUT_MS = 20_000;

    private int requestCount;

    private Socket connect(int balancer, int upstream) throws IOException {
        Socket socket = new Socket();
        openSockets.add(socket);
        socket.connect(environment.upstream(upstream).address(balancer), WITHHELD_TIMEOUT_MS);
        socket.setSoTimeout(RESPONSE_TIMEOUT_MS);
        return socket;
    }

    /** Sends a request of the first class on a connection and returns the response status. */
    private int sendRequest(Socket socket, int balancer) throws IOException {
        String requestId = "r" + requestCount++;
        emulation
                .eventLoop()
                .submit(
                        () ->
                                emulation
                                        .invariants()
                                        .attemptAccepted(
                                                new ClientAttempt(
                                                        requestId,
                                                        new ClientRequest(
                                                                new WorkloadPlan.Arrival(
                                                                        0, 0, 0, 0, 1000, false)),
                                                        5_000_000),
                                                balancer,
                                                emulation.nowMicros()))
                .syncUninterruptibly();
        socket.getOutputStream()
                .write(
                        ("GET /api HTTP/1.1\r\nReq-Id: " + requestId + "\r\n\r\n")
                                .getBytes(StandardCharsets.US_ASCII));
        return readStatus(socket);
    }

    private static int readStatus(Socket socket) throws IOException {
        BufferedReader reader =
                new BufferedReader(
                        new InputStreamReader(socket.getInputStream(), StandardCharsets.US_ASCII));
        String statusLine = reader.readLine();
        if (statusLine == null) {
            throw new SocketException("connection closed without a response");
        }
        int length = 0;
        for (String line = reader.readLine(); !line.isEmpty(); line = reader.readLine()) {
            length =
                    line.toLowerCase(java.util.Locale.ROOT).startsWith("content-length:")
                            ? Integer.parseInt(line.substring(15).strip())
                            : length;
        }
        for (int i = 0; i < length; i++) {
            reader.read();
        }
        return Integer.parseInt(statusLine.split(" ")[1]);
    }

    private int sendRequest(int balancer, int upstream) throws IOException {
        return sendRequest(connect(balancer, upstream), balancer);
    }

    private void assertResponseWithheld(Socket socket, int balancer) throws IOException {
        socket.setSoTimeout(WITHHELD_TIMEOUT_MS);
        assertThrows(SocketTimeoutException.class, () -> sendRequest(socket, balancer));
        socket.setSoTimeout(RESPONSE_TIMEOUT_MS);
    }

    // Requests that are sent before the recovery may get no response, so none is waited for long.
    private void awaitRecovery(int balancer, int upstream) {
        await().ignoreExceptions()
                .atMost(Duration.ofSeconds(10))
                .until(
                        () -> {
                            Socket socket = connect(balancer, upstream);
                            socket.setSoTimeout(WITHHELD_TIMEOUT_MS);
                            return sendRequest(socket, balancer) == 200;
                        });
    }

    @Test
    void partitionHoldsConnectionsOfItsPath() throws IOException {
        startEnvironment("kind = `cut`; on = `balancers:0`; to = `upstreams:0`");
        Socket blockedConnection = connect(0, 0);
        assertEquals(200, sendRequest(blockedConnection, 0));
        setFault(true);
        assertResponseWithheld(blockedConnection, 0);
        // The listener becomes silent a short time after the path is cut.
        await().until(() -> connectTimesOut(0, 0));
        assertEquals(200, sendRequest(0, 1));
        assertEquals(200, sendRequest(1, 0));
        setFault(false);
        // No bytes were lost.
        assertEquals(200, readStatus(blockedConnection));
        awaitRecovery(0, 0);
    }

    private boolean connectTimesOut(int balancer, int upstream) throws IOException {
        try {
            connect(balancer, upstream);
            return false;
        } catch (SocketTimeoutException e) {
            return true;
        }
    }

    @Test
    void oneWayPartitionHoldsOnlyResponses() throws IOException {
        startEnvironment("kind = `cut`; on = `upstreams:0`; to = `balancers:0`; one_way = true");
        Socket blockedConnection = connect(0, 0);
        assertEquals(200, sendRequest(blockedConnection, 0));
        setFault(true);
        assertResponseWithheld(blockedConnection, 0);
        // The request arrived, and its response did not.
        assertEquals(1, emulation.invariants().clientAttempt("r1").executions().size());
        setFault(false);
        assertEquals(200, readStatus(blockedConnection));
    }

    @Test
    void refusedPathRejectsConnections() throws IOException {
        startEnvironment("kind = `refuse`; on = `balancers:0`; to = `upstreams:0`");
        setFault(true);
        await().ignoreExceptions()
                .until(() -> assertThrows(ConnectException.class, () -> connect(0, 0)) != null);
        assertEquals(200, sendRequest(0, 1));
        assertEquals(200, sendRequest(1, 0));
        setFault(false);
        awaitRecovery(0, 0);
    }

    @Test
    void resetEndsConnectionsOfItsPath() throws IOException {
        startEnvironment("kind = `reset`; on = `balancers:0`; to = `upstreams:0`");
        Socket faultyConnection = connect(0, 0);
        Socket otherConnection = connect(1, 0);
        assertEquals(200, sendRequest(faultyConnection, 0));
        assertEquals(200, sendRequest(otherConnection, 1));
        setFault(true);
        assertThrows(SocketException.class, () -> sendRequest(faultyConnection, 0));
        assertEquals(200, sendRequest(otherConnection, 1));
        assertEquals(200, sendRequest(0, 0));
    }

    @ParameterizedTest
    @CsvSource({
        "'kind = `delay`; delay_ms = 150', 150",
        "'kind = `loss`; amount = 1.0', 200",
        "'kind = `thin`; amount = 250.0', 140"
    })
    void delayedPathAddsLatency(String fault, long minMs) throws IOException {
        startEnvironment(fault + "; on = `balancers:0`; to = `upstreams:0`");
        Socket connection = connect(0, 0);
        connection.setSoTimeout(10_000);
        assertEquals(200, sendRequest(connection, 0));
        setFault(true);
        long startNanos = System.nanoTime();
        assertEquals(200, sendRequest(connection, 0));
        long elapsedMs = (System.nanoTime() - startNanos) / 1_000_000;
        assertTrue(elapsedMs >= minMs, elapsedMs + " ms");
    }

    @Test
    void crashedUpstreamRefusesAndReturnsInSlowStart() throws IOException {
        startEnvironment("kind = `crash`; on = `upstreams:0`");
        Socket blockedConnection = connect(1, 0);
        assertEquals(200, sendRequest(blockedConnection, 1));
        setFault(true);
        assertThrows(SocketException.class, () -> sendRequest(blockedConnection, 1));
        await().ignoreExceptions()
                .until(() -> assertThrows(ConnectException.class, () -> connect(0, 0)) != null);
        await().until(() -> listedEndpoints(0).size() == 2);
        setFault(false);
        awaitRecovery(0, 0);
        await().until(() -> listedEndpoints(0).size() == 3);
        assertTrue(
                environment.upstream(0).peakSlowStartUtilization() > 0,
                "use of the slow-start budget is not recorded");
    }

    private List<?> listedEndpoints(int balancer) throws Exception {
        return (List<?>)
                emulation
                        .eventLoop()
                        .submit(() -> environment.discoveryAgent(balancer).completeList())
                        .get()
                        .get("targets");
    }

    @Test
    void vanishedUpstreamIsSilent() throws IOException {
        startEnvironment("kind = `vanish`; on = `upstreams:0`");
        Socket blockedConnection = connect(1, 0);
        assertEquals(200, sendRequest(blockedConnection, 1));
        setFault(true);
        assertResponseWithheld(blockedConnection, 1);
        await().until(() -> connectTimesOut(0, 0));
        assertEquals(200, sendRequest(0, 1));
    }

    @Test
    void hangingUpstreamRespondsAfterTheFault() throws IOException {
        startEnvironment("kind = `hang`; on = `upstreams:0`");
        setFault(true);
        Socket pendingConnection = connect(0, 0);
        assertResponseWithheld(pendingConnection, 0);
        setFault(false);
        assertEquals(200, readStatus(pendingConnection));
    }

    @ParameterizedTest
    @CsvSource({"x, 500", "y, 200"})
    void upstreamFailsOnlyTheNamedClass(String className, int expectedStatus) throws IOException {
        startEnvironment("kind = `fail`; on = `upstreams:0`; class = `" + className + "`");
        setFault(true);
        assertEquals(expectedStatus, sendRequest(0, 0));
        assertEquals(200, sendRequest(0, 1));
        setFault(false);
        assertEquals(200, sendRequest(0, 0));
    }

    @Test
    void slowUpstreamIsSlowerByTheFactor() throws IOException {
        startEnvironment("kind = `slow`; amount = 200; on = `upstreams:0`");
        setFault(true);
        long startNanos = System.nanoTime();
        assertEquals(200, sendRequest(0, 0));
        assertTrue(
                System.nanoTime() - startNanos >= 200_000_000,
                "1 ms of work took less than 200 ms");
    }

    @Test
    void replacedUpstreamDrainsAndItsSuccessorServes() throws IOException {
        startEnvironment("kind = `replace`; on = `upstreams:0`");
        setFault(true);
        assertEquals(503, sendRequest(0, 0));
        await().until(() -> listedEndpoints(0).toString().contains("terminating"));
        setFault(false);
        awaitRecovery(0, 3);
        await().ignoreExceptions()
                .until(() -> assertThrows(ConnectException.class, () -> connect(0, 0)) != null);
        await().until(
                        () ->
                                !listedEndpoints(0).toString().contains("terminating")
                                        && listedEndpoints(0).size() == 3);
    }

    private String fetchListStatus(int balancer) throws IOException {
        return fetchListStatus(balancer, RESPONSE_TIMEOUT_MS);
    }

    private String fetchListStatus(int balancer, int timeoutMs) throws IOException {
        try (Socket socket = new Socket()) {
            InetSocketAddress address = environment.discoveryAgent(balancer).address();
            socket.connect(address, timeoutMs);
            socket.setSoTimeout(timeoutMs);
            String request = "GET /api/targets HTTP/1.1\r\n\r\n";
            socket.getOutputStream().write(request.getBytes(StandardCharsets.US_ASCII));
            return new BufferedReader(
                            new InputStreamReader(
                                    socket.getInputStream(), StandardCharsets.US_ASCII))
                    .readLine();
        }
    }

    private void crashUpstream() {
        emulation
                .eventLoop()
                .submit(
                        () -> {
                            environment.crash(environment.upstream(2));
                            environment.publish(environment.upstream(2), EndpointStatus.REMOVED);
                        })
                .syncUninterruptibly();
    }

    @Test
    void silentDiscoveryAcceptsConnectionsWithoutResponding() throws IOException {
        startEnvironment("kind = `silent`; on = `balancers:0`");
        setFault(true);
        assertThrows(SocketTimeoutException.class, () -> fetchListStatus(0, WITHHELD_TIMEOUT_MS));
        assertEquals("HTTP/1.1 200 OK", fetchListStatus(1));
        setFault(false);
        assertEquals("HTTP/1.1 200 OK", fetchListStatus(0));
    }

    @Test
    void deniedDiscoveryRefusesConnections() throws IOException {
        startEnvironment("kind = `deny`; on = `balancers:0`");
        setFault(true);
        await().ignoreExceptions()
                .until(
                        () ->
                                assertThrows(ConnectException.class, () -> fetchListStatus(0))
                                        != null);
        assertEquals("HTTP/1.1 200 OK", fetchListStatus(1));
        setFault(false);
        await().ignoreExceptions()
                .until(() -> fetchListStatus(0, WITHHELD_TIMEOUT_MS).equals("HTTP/1.1 200 OK"));
    }

    @Test
    void staleDiscoveryServesTheOldList() throws Exception {
        startEnvironment("kind = `stale`; on = `balancers:0`");
        setFault(true);
        crashUpstream();
        await().until(() -> listedEndpoints(1).size() == 2);
        assertEquals(3, listedEndpoints(0).size());
        assertEquals("HTTP/1.1 200 OK", fetchListStatus(0));
        setFault(false);
        await().until(() -> listedEndpoints(0).size() == 2);
    }

    @Test
    void delayedUpdatesArriveLate() throws Exception {
        startEnvironment("kind = `late`; delay_ms = 600; on = `balancers:0`");
        setFault(true);
        crashUpstream();
        await().until(() -> listedEndpoints(1).size() == 2);
        assertEquals(3, listedEndpoints(0).size());
        await().until(() -> listedEndpoints(0).size() == 2);
    }
}

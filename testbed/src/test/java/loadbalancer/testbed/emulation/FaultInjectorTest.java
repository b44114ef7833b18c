package loadbalancer.testbed.emulation;

import static org.awaitility.Awaitility.await;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.net.ConnectException;
import java.net.DatagramPacket;
import java.net.DatagramSocket;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.net.SocketException;
import java.net.SocketTimeoutException;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import loadbalancer.routing.api.EndpointStatus;
import loadbalancer.testbed.fault.FaultInjector;
import loadbalancer.testbed.invariant.ClientAttempt;
import loadbalancer.testbed.invariant.ClientRequest;
import loadbalancer.testbed.invariant.RequestInvariants;
import loadbalancer.testbed.scenario.ScenarioReader;
import loadbalancer.testbed.workload.WorkloadPlan;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/**
 * Verifies that each kind of fault takes effect on the path or party that it names, and on no
 * other.
 */
@Timeout(60)
class FaultInjectorTest {
    // A response that does not arrive within this time is considered withheld.
    private static final int TIMEOUT_MS = 400;

    private Emulation emulation;
    private EmulatedEnvironment environment;
    private FaultInjector<UpstreamEmulator> faultInjector;
    private WorkloadPlan plan;
    private final List<AutoCloseable> openSockets = new ArrayList<>();
    private int requestCount;

    // Starts three upstreams for three balancers, one of each per zone. The test itself opens the
    // sockets of the balancers.
    private void startEnvironment(String fault) throws IOException {
        plan =
                WorkloadPlan.generate(
                        ScenarioReader.parse(
                                "s.toml",
                                """
            length_s = 10
            [fleet]
            balancers = 3
            zones = ["a", "b", "c"]
            [upstreams]
            count = 3
            [network]
            peer_delay_ms = [0, 0]
            news_delay_ms = [0, 0]
            [[class]]
            name = "x"
            work_ms = [1, 1]
            [[class]]
            name = "y"
            [[fault]]
            at_s = 0
            until_s = 10
            """
                                        + fault.replace("; ", "\n").replace('`', '"')
                                        + "\n",
                                false),
                        1);
        RequestInvariants requestInvariants =
                new RequestInvariants(plan.scenario(), violation -> {});
        emulation = new Emulation(plan, requestInvariants);
        environment = new EmulatedEnvironment(emulation);
        faultInjector = new FaultInjector<>(plan, environment);
        emulation.startIn(0);
    }

    @AfterEach
    void tearDown() throws Exception {
        for (AutoCloseable socket : openSockets) {
            socket.close();
        }
        environment.close();
        emulation.close();
    }

    private void setFault(boolean on) {
        emulation
                .eventLoop()
                .submit(() -> faultInjector.applyFault(plan.faults().get(0), on))
                .syncUninterruptibly();
    }

    private Socket connect(int balancer, int upstream) throws IOException {
        Socket socket = new Socket();
        openSockets.add(socket);
        socket.connect(environment.upstream(upstream).address(balancer), TIMEOUT_MS);
        socket.setSoTimeout(TIMEOUT_MS);
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

    private void awaitRecovery(int balancer, int upstream) {
        await().ignoreExceptions()
                .atMost(Duration.ofSeconds(10))
                .until(() -> sendRequest(balancer, upstream) == 200);
    }

    @Test
    void partitionHoldsConnectionsOfItsPath() throws IOException {
        startEnvironment("kind = `cut`; on = `balancers:0`; to = `upstreams:0`");
        Socket blockedConnection = connect(0, 0);
        assertEquals(200, sendRequest(blockedConnection, 0));
        setFault(true);
        assertThrows(SocketTimeoutException.class, () -> sendRequest(blockedConnection, 0));
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
        assertThrows(SocketTimeoutException.class, () -> sendRequest(blockedConnection, 0));
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
        assertThrows(SocketTimeoutException.class, () -> sendRequest(blockedConnection, 1));
        await().until(() -> connectTimesOut(0, 0));
        assertEquals(200, sendRequest(0, 1));
    }

    @Test
    void hangingUpstreamRespondsAfterTheFault() throws IOException {
        startEnvironment("kind = `hang`; on = `upstreams:0`");
        setFault(true);
        Socket pendingConnection = connect(0, 0);
        assertThrows(SocketTimeoutException.class, () -> sendRequest(pendingConnection, 0));
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
        try (Socket socket = new Socket()) {
            InetSocketAddress address = environment.discoveryAgent(balancer).address();
            socket.connect(address, TIMEOUT_MS);
            socket.setSoTimeout(TIMEOUT_MS);
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
        assertThrows(SocketTimeoutException.class, () -> fetchListStatus(0));
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
        await().ignoreExceptions().until(() -> fetchListStatus(0).equals("HTTP/1.1 200 OK"));
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

    private DatagramSocket openPeerSocket(int balancer) throws IOException {
        DatagramSocket socket =
                new DatagramSocket(environment.peerNetwork().balancerAddress(balancer));
        openSockets.add(socket);
        socket.setSoTimeout(TIMEOUT_MS);
        return socket;
    }

    private void send(DatagramSocket sender, int balancer, int receiver, String text)
            throws IOException {
        byte[] bytes = text.getBytes(StandardCharsets.US_ASCII);
        String[] addressParts =
                environment.peerNetwork().peerAddresses(balancer).get(receiver).split(":");
        sender.send(
                new DatagramPacket(
                        bytes,
                        bytes.length,
                        new InetSocketAddress(addressParts[0], Integer.parseInt(addressParts[1]))));
    }

    /** Returns the datagrams that arrive until none arrives within the socket's timeout. */
    private static List<String> receiveAll(DatagramSocket socket) throws IOException {
        List<String> datagrams = new ArrayList<>();
        try {
            while (true) {
                DatagramPacket packet = new DatagramPacket(new byte[300], 300);
                socket.receive(packet);
                datagrams.add(
                        new String(
                                packet.getData(),
                                0,
                                packet.getLength(),
                                StandardCharsets.US_ASCII));
            }
        } catch (SocketTimeoutException e) {
            return datagrams;
        }
    }

    private List<List<String>> exchangeDatagrams() throws IOException {
        DatagramSocket[] balancerSockets = {
            openPeerSocket(0), openPeerSocket(1), openPeerSocket(2)
        };
        for (int i = 0; i < 3; i++) {
            for (int j = 0; j < 3; j++) {
                if (i != j) {
                    send(balancerSockets[i], i, j, i + "to" + j);
                }
            }
        }
        List<List<String>> receivedByBalancer = new ArrayList<>();
        for (DatagramSocket balancerSocket : balancerSockets) {
            receivedByBalancer.add(receiveAll(balancerSocket).stream().sorted().toList());
        }
        return receivedByBalancer;
    }

    @ParameterizedTest
    @CsvSource(
            delimiter = '|',
            quoteCharacter = '\'',
            value = {
                "on = `balancers:0`; to = `balancers:1`; one_way = true | 1to0 2to0 | 2to1 | 0to2 1to2",
                "on = `balancers:0`; to = `balancers:1` | 2to0 | 2to1 | 0to2 1to2",
                "on = `balancers:0`; to = `balancers`; one_way = true | 1to0 2to0 | 2to1 | 1to2",
                "on = `zone:c`; to = `zone:a` | 1to0 | 0to1 2to1 | 1to2",
            })
    void partitionBetweenBalancersDropsDatagrams(
            String paths, String expectedAtFirst, String expectedAtSecond, String expectedAtThird)
            throws IOException {
        startEnvironment("kind = `cut`; " + paths);
        setFault(true);
        assertEquals(
                List.of(expectedAtFirst, expectedAtSecond, expectedAtThird),
                exchangeDatagrams().stream()
                        .map(datagrams -> String.join(" ", datagrams))
                        .toList());
    }

    @Test
    void duplicatedDatagramsArriveTwice() throws IOException {
        startEnvironment(
                "kind = `repeat`; amount = 1.0; delay_ms = 20; on = `balancers:0`; to = `balancers:1`; "
                        + "one_way = true");
        setFault(true);
        assertEquals(List.of("0to1", "0to1", "2to1"), exchangeDatagrams().get(1));
    }

    @Test
    void lostDatagramsDoNotArrive() throws IOException {
        startEnvironment("kind = `loss`; amount = 1.0; on = `balancers:0`; to = `balancers:1`");
        setFault(true);
        assertEquals(List.of("2to1"), exchangeDatagrams().get(1));
    }

    @Test
    void reorderingLosesNothing() throws IOException {
        startEnvironment(
                "kind = `reorder`; amount = 0.5; delay_ms = 30; on = `balancers:0`; to = `balancers:1`");
        setFault(true);
        DatagramSocket sender = openPeerSocket(0);
        DatagramSocket receiver = openPeerSocket(1);
        List<String> sent = new ArrayList<>();
        for (int i = 10; i < 50; i++) {
            sent.add("m" + i);
            send(sender, 0, 1, "m" + i);
        }
        List<String> received = receiveAll(receiver);
        assertFalse(received.equals(sent), "the datagrams arrived in order");
        assertEquals(sent, received.stream().sorted().toList());
    }

    @Test
    void broadcastReachesAllOthers() throws IOException {
        startEnvironment("kind = `cut`; on = `balancers:0`; to = `balancers:1`");
        DatagramSocket[] balancerSockets = {
            openPeerSocket(0), openPeerSocket(1), openPeerSocket(2)
        };
        String[] addressParts = environment.peerNetwork().broadcastAddress(0).split(":");
        balancerSockets[0].send(
                new DatagramPacket(
                        new byte[] {'x'},
                        1,
                        new InetSocketAddress(addressParts[0], Integer.parseInt(addressParts[1]))));
        assertEquals(List.of("x"), receiveAll(balancerSockets[1]));
        assertEquals(List.of("x"), receiveAll(balancerSockets[2]));
        assertEquals(List.of(), receiveAll(balancerSockets[0]));
    }
}

package loadbalancer.server;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import loadbalancer.config.BalancerConfig;
import loadbalancer.config.InvalidConfigException;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

/** The real balancer over loopback sockets, with a module that does what the test says. */
public class BalancerServerTest {
    static final String IDEMPOTENT_REQUEST =
            "GET /api/k1?x=%20y HTTP/1.1\r\nHost: backend.local\r\nReq-Id: r1\r\n"
                    + "Req-Kind: read\r\nReq-Deadline-Ms: 20000\r\nReq-Cost: 700\r\nReq-Retry: 1\r\n\r\n";

    private final ScriptedPolicy policy = new ScriptedPolicy();
    private final List<String> logLines = new ArrayList<>();
    private boolean warmUpEnabled;
    private final BlockingQueue<Socket> accepted = new LinkedBlockingQueue<>();
    private String endpointAddress;
    private FakeHttpServer upstream;
    private FakeHttpServer discoveryServer;
    private BalancerServer balancer;
    private InetSocketAddress address;

    @BeforeEach
    void open() throws IOException {
        upstream = new FakeHttpServer();
        discoveryServer = new FakeHttpServer();
    }

    @AfterEach
    void close() throws IOException {
        if (balancer != null) {
            balancer.stop();
        }
        upstream.close();
        discoveryServer.close();
    }

    private static Map<String, Object> requestClass(String name, String idempotency) {
        return Map.of(
                "Name",
                name,
                "Idempotency",
                idempotency,
                "DedupScope",
                "cell",
                "GoalTime",
                600_000,
                "GiveUp",
                30_000_000,
                "KeyTtl",
                1_000_000);
    }

    public static Map<String, Object> settings() {
        Map<String, Object> settings = new HashMap<>();
        settings.put("Balancers", 1);
        settings.put(
                "Classes",
                List.of(
                        requestClass("read", "safe"),
                        requestClass("pay", "keyed"),
                        requestClass("book", "unsafe")));
        settings.put(
                "Limits",
                new HashMap<>(
                        Map.of(
                                "TryLimit",
                                3,
                                "MayDuplicate",
                                true,
                                "Cancel",
                                true,
                                "Probes",
                                true,
                                "DialTimeout",
                                500_000,
                                "IdleClose",
                                30_000_000)));
        settings.put("MembershipMode", "ask");
        settings.put(
                "Rules",
                Map.of(
                        "AnswerSlack",
                        8_000,
                        "DrainGrace",
                        1_000_000,
                        "AskWithin",
                        10_000_000,
                        "ColdFrom",
                        0.3,
                        "RampTime",
                        8_400_000,
                        "OverloadFactor",
                        3.0,
                        "Fall",
                        1_000_000));
        settings.put("Quantum", 2_000);
        settings.put("Areas", List.of("podrum"));
        settings.put("Kinds", List.of("puni", "slabi"));
        settings.put("Stats", Map.of("How", "answers", "Fields", List.of("outstanding")));
        return settings;
    }

    private String targetJson(String state) {
        return "{\"uid\":\"s1\",\"endpoint\":\""
                + (endpointAddress == null ? upstream.address() : endpointAddress)
                + "\",\"az\":\"podrum\","
                + "\"model\":\"slabi\",\"pod_group\":3,\"state\":\""
                + state
                + "\",\"capacity_hint\":1.0,\"boot_ms\":0}";
    }

    private String listJson(int revision, boolean complete, String state) {
        return "{\"rev\":"
                + revision
                + ",\"all\":"
                + complete
                + ",\"targets\":["
                + targetJson(state)
                + "]}\n";
    }

    /**
     * Interrupted, the starting thread never comes to hold the listener that clients reach all the
     * same.
     */
    @Test
    void connectionDuringStartIsAnswered() throws Exception {
        int port;
        try (ServerSocket unusedSocket = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
            port = unusedSocket.getLocalPort();
        }
        balancer =
                new BalancerServer(
                        config(1024, settings(), port),
                        (settings, seed) -> policy,
                        false,
                        line -> {});
        Thread.currentThread().interrupt();
        assertThrows(IOException.class, balancer::start);
        assertTrue(Thread.interrupted());
        InetSocketAddress listenAddress =
                new InetSocketAddress(InetAddress.getLoopbackAddress(), port);
        try (HttpTestClient client = connectWithRetry(listenAddress)) {
            assertEquals(503, client.send("GET /-/ready HTTP/1.1\r\nHost: x\r\n\r\n").readStatus());
        }
    }

    // Nobody tells when the bind has been carried out.
    private static HttpTestClient connectWithRetry(InetSocketAddress listenAddress)
            throws IOException {
        long deadlineNanos = System.nanoTime() + TimeUnit.SECONDS.toNanos(20);
        while (true) {
            try {
                return new HttpTestClient(listenAddress);
            } catch (java.net.ConnectException e) {
                if (System.nanoTime() - deadlineNanos > 0) {
                    throw e;
                }
            }
        }
    }

    private BalancerConfig config(int maxSockets, Map<String, Object> rawSettings, int port)
            throws IOException {
        return BalancerConfig.parse(
                Map.of(),
                Map.of(
                        "name",
                        "n1",
                        "listen",
                        "127.0.0.1:" + port,
                        "discovery",
                        discoveryServer.address(),
                        "seed",
                        "8c1f30d27a5be964",
                        "limits",
                        Map.of("sockets", maxSockets),
                        "settings",
                        rawSettings,
                        "known",
                        com.fasterxml.jackson.jr.ob.JSON.std.mapFrom(
                                listJson(41, true, "in_service"))));
    }

    private void start() throws IOException, InterruptedException {
        start(Map.of(), 1024);
    }

    private void start(Map<String, Object> limits, int maxSockets)
            throws IOException, InterruptedException {
        Map<String, Object> rawSettings = settings();
        @SuppressWarnings("unchecked")
        Map<String, Object> rawLimits = (Map<String, Object>) rawSettings.get("Limits");
        rawLimits.putAll(limits);
        balancer =
                new BalancerServer(
                        config(maxSockets, rawSettings, 0),
                        (settings, seed) -> policy,
                        warmUpEnabled,
                        line -> {
                            synchronized (logLines) {
                                logLines.add(line);
                            }
                        });
        address = balancer.start();
        assertEquals("CACHED [s1=UP]", policy.nextEvent());
    }

    private static String postRequest(String className, String extraHeaders, String body) {
        return "POST /api/k1 HTTP/1.1\r\nHost: backend.local\r\nReq-Id: r1\r\nReq-Kind: "
                + className
                + "\r\n"
                + extraHeaders
                + "Content-Length: "
                + body.length()
                + "\r\n\r\n"
                + body;
    }

    // ---------------------------------------------------------------- one final answer

    @Test
    void requestAndResponseAreForwardedUnchanged() throws IOException, InterruptedException {
        start();
        byte[] largeBody = new byte[64 * 1024];
        new Random(1).nextBytes(largeBody);
        try (HttpTestClient client = new HttpTestClient(address)) {
            client.send(IDEMPOTENT_REQUEST);
            assertEquals("0 k1 700 true", policy.acceptedRequests.poll(20, TimeUnit.SECONDS));
            FakeHttpServer.ReceivedRequest receivedRequest = upstream.nextRequest();
            assertEquals("GET /api/k1?x=%20y HTTP/1.1", receivedRequest.requestLine());
            assertEquals("r1", receivedRequest.header("Req-Id"));
            assertTrue(Integer.parseInt(receivedRequest.header("Req-Deadline-Ms")) < 20_000);
            receivedRequest.respond(200, "Srv-Load: TEXT eps=0.1, inflight=7\r\n", largeBody);
            assertEquals(200, client.readStatus());
            assertArrayEquals(largeBody, client.body);
            assertEquals("OK 7.0 closed", policy.nextEvent());
            client.send(
                    postRequest(
                            "pay", "Idempotency-Key: abc\r\nReq-Deadline-Ms: 20000\r\n", "hello"));
            receivedRequest = upstream.nextRequest();
            assertEquals("abc", receivedRequest.header("Idempotency-Key"));
            assertEquals("hello", new String(receivedRequest.body(), StandardCharsets.UTF_8));
            receivedRequest.sendRaw(
                    "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\n\r\n");
            assertEquals(200, client.readStatus());
            assertEquals("abc", new String(client.body, StandardCharsets.UTF_8));
        }
        // Kept and used again
        assertEquals(1, upstream.connectionCount());
    }

    @ParameterizedTest
    @ValueSource(
            strings = {
                "GET /api/k HTTP/1.1\r\nReq-Id: r\r\nReq-Kind: read\r\n\r\n",
                "GET /api/k HTTP/1.1\r\nReq-Id: r\r\nReq-Kind: read\r\nReq-Deadline-Ms: soon\r\n\r\n",
                "GET /api/k HTTP/1.1\r\nReq-Id: r\r\nReq-Kind: other\r\nReq-Deadline-Ms: 900\r\n\r\n",
                "GET /api/k HTTP/1.1\r\nReq-Kind: read\r\nReq-Deadline-Ms: 900\r\n\r\n",
                "GET /api/k HTTP/1.1\r\nReq-Id: r\r\nReq-Kind: book\r\nReq-Deadline-Ms: 900\r\n\r\n",
                "POST /api/k HTTP/1.1\r\nReq-Id: r\r\nReq-Kind: pay\r\nReq-Deadline-Ms: 900\r\n"
                        + "Content-Length: 0\r\n\r\n",
                "POST /api/k HTTP/1.1\r\nReq-Id: r\r\nReq-Kind: book\r\nIdempotency-Key: a\r\n"
                        + "Req-Deadline-Ms: 900\r\nContent-Length: 0\r\n\r\n",
                "POST /api/k HTTP/1.1\r\nReq-Id: r\r\nReq-Kind: book\r\nReq-Deadline-Ms: 900\r\n"
                        + "Content-Length: 65537\r\n\r\n",
                "NONSENSE\r\n\r\n",
                "GET /-/else HTTP/1.1\r\n\r\n",
            })
    void malformedRequestIsRejected(String request) throws IOException, InterruptedException {
        start();
        try (HttpTestClient client = new HttpTestClient(address)) {
            int status = client.send(request).readStatus();
            assertTrue(status >= 400 && status < 500 && status != 429, "status " + status);
        }
        assertTrue(policy.acceptedRequests.isEmpty());
        assertEquals(0, upstream.connectionCount());
    }

    @ParameterizedTest
    @CsvSource({
        "200,'',OK closed,200",
        "500,'',ERROR,502",
        "503,'',ERROR,502",
        "503,Srv-Declined: 1,REJECTED,502",
        "504,Srv-Declined: 1,REJECTED,502",
        "500,Srv-Declined: 1,ERROR,502",
        "429,'',ERROR,502"
    })
    void onlyDeclinedResponseProvesNonExecution(
            int status, String header, String expectedOutcome, int expectedStatus)
            throws IOException, InterruptedException {
        start();
        try (HttpTestClient client = new HttpTestClient(address)) {
            client.send(IDEMPOTENT_REQUEST);
            upstream.nextRequest().respond(status, header.isEmpty() ? "" : header + "\r\n", "");
            assertEquals(expectedOutcome, policy.nextEvent());
            assertEquals(expectedStatus, client.readStatus());
        }
    }

    @Test
    void brokenConnectionIsReportedAsReset() throws IOException, InterruptedException {
        start();
        try (HttpTestClient client = new HttpTestClient(address)) {
            client.send(IDEMPOTENT_REQUEST);
            upstream.nextRequest().reset();
            assertEquals("RESET", policy.nextEvent());
            assertEquals(502, client.readStatus());
            client.send(IDEMPOTENT_REQUEST);
            FakeHttpServer.ReceivedRequest partiallyAnswered = upstream.nextRequest();
            partiallyAnswered.sendRaw("HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\nhalf");
            partiallyAnswered.socket().close();
            assertEquals("RESET", policy.nextEvent());
            assertEquals(502, client.readStatus());
        }
    }

    @Test
    void refusedConnectionIsReportedAsConnectFailure() throws IOException, InterruptedException {
        start();
        upstream.close();
        try (HttpTestClient client = new HttpTestClient(address)) {
            assertEquals(502, client.send(IDEMPOTENT_REQUEST).readStatus());
            assertEquals("CONNECT_FAILED", policy.nextEvent());
        }
    }

    @Test
    void timeoutClosesTheConnection() throws IOException, InterruptedException {
        start();
        policy.timeoutMicros = 100_000;
        try (HttpTestClient client = new HttpTestClient(address)) {
            client.send(IDEMPOTENT_REQUEST);
            FakeHttpServer.ReceivedRequest receivedRequest = upstream.nextRequest();
            assertTrue(Integer.parseInt(receivedRequest.header("Req-Deadline-Ms")) <= 100);
            assertEquals("TIMEOUT", policy.nextEvent());
            assertEquals(502, client.readStatus());
            assertTrue(receivedRequest.isClosedByPeer());
        }
    }

    @Test
    void clientDisconnectCancelsTheAttempt() throws IOException, InterruptedException {
        start();
        HttpTestClient client = new HttpTestClient(address).send(IDEMPOTENT_REQUEST);
        FakeHttpServer.ReceivedRequest receivedRequest = upstream.nextRequest();
        client.close();
        assertEquals("gone", policy.nextEvent());
        assertEquals("CANCELLED closed", policy.nextEvent());
        assertTrue(receivedRequest.isClosedByPeer());
    }

    @Test
    void silentPolicyIsCoveredByLastResort() throws IOException, InterruptedException {
        start();
        policy.endpointId = null;
        try (HttpTestClient client = new HttpTestClient(address)) {
            client.send(IDEMPOTENT_REQUEST.replace("20000", "150"));
            assertEquals(502, client.readStatus());
            assertEquals("gone", policy.nextEvent());
        }
        synchronized (logLines) {
            assertTrue(logLines.contains("last-resort answers: 1"), logLines.toString());
        }
    }

    @Test
    void policyExceptionDoesNotStopTheServer() throws IOException, InterruptedException {
        start();
        policy.failing = true;
        try (HttpTestClient client = new HttpTestClient(address)) {
            assertEquals(502, client.send(IDEMPOTENT_REQUEST.replace("20000", "150")).readStatus());
            assertEquals("gone", policy.nextEvent());
            synchronized (logLines) {
                assertTrue(
                        logLines.get(logLines.size() - 2).startsWith("fault 1: "),
                        logLines.toString());
            }
            policy.failing = false;
            client.send(IDEMPOTENT_REQUEST);
            upstream.nextRequest().respond(200, "", "ok");
            assertEquals(200, client.readStatus());
        }
    }

    // ---------------------------------------------------------------- connections and the list

    @Test
    void idleConnectionsAreClosedInTime() throws IOException, InterruptedException {
        start(Map.of("IdleClose", 400_000), 1024);
        try (HttpTestClient client = new HttpTestClient(address)) {
            client.send(IDEMPOTENT_REQUEST);
            FakeHttpServer.ReceivedRequest receivedRequest = upstream.nextRequest();
            receivedRequest.respond(200, "", "ok");
            assertEquals(200, client.readStatus());
            assertTrue(isClosedSoon(receivedRequest));
        }
    }

    // The upstream's own reader takes the end of the stream; the socket tells of it by refusing
    // what is sent.
    private static boolean isClosedSoon(FakeHttpServer.ReceivedRequest receivedRequest)
            throws InterruptedException {
        long deadlineNanos = System.nanoTime() + TimeUnit.SECONDS.toNanos(20);
        while (System.nanoTime() < deadlineNanos) {
            try {
                receivedRequest.sendRaw("\r\n");
            } catch (IOException e) {
                return true;
            }
            TimeUnit.MILLISECONDS.sleep(20);
        }
        return false;
    }

    @Test
    void endpointListIsWatchedAndSplitLinesRead() throws IOException, InterruptedException {
        start();
        runOnLoop(() -> policy.capturedActions.watchEndpoints(true));
        FakeHttpServer.ReceivedRequest watch = discoveryServer.nextRequest();
        assertEquals("GET /api/targets?watch=1&from=41 HTTP/1.1", watch.requestLine());
        String firstList = listJson(43, true, "in_service");
        watch.sendRaw("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n");
        watch.sendRaw(chunk(firstList.substring(0, 30)));
        watch.sendRaw(chunk(firstList.substring(30)));
        assertEquals("COMPLETE [s1=UP]", policy.nextEvent());
        // Nothing has changed
        watch.sendRaw(chunk("\n"));
        watch.sendRaw(chunk(listJson(44, false, "terminating")));
        assertEquals("DELTA [s1=DRAINING]", policy.nextEvent());
        watch.sendRaw(chunk("{not json\n"));
        assertEquals("FAILED []", policy.nextEvent());
        runOnLoop(() -> policy.capturedActions.watchEndpoints(true));
        assertEquals(
                "GET /api/targets?watch=1&from=44 HTTP/1.1",
                discoveryServer.nextRequest().requestLine());
        runOnLoop(() -> policy.capturedActions.fetchEndpointList());
        FakeHttpServer.ReceivedRequest fetch = discoveryServer.nextRequest();
        assertEquals("GET /api/targets HTTP/1.1", fetch.requestLine());
        fetch.respond(200, "", listJson(45, true, "in_service").strip());
        assertEquals("COMPLETE [s1=UP]", policy.nextEvent());
        runOnLoop(() -> policy.capturedActions.fetchEndpointList());
        discoveryServer.nextRequest().respond(503, "", "");
        assertEquals("FAILED []", policy.nextEvent());
    }

    @Test
    @Timeout(60)
    void removedEndpointGetsNoRequests() throws IOException, InterruptedException {
        start(Map.of(), 1024);
        runOnLoop(() -> policy.capturedActions.fetchEndpointList());
        discoveryServer.nextRequest().respond(200, "", "{\"rev\":50,\"all\":true,\"targets\":[]}");
        assertEquals("COMPLETE []", policy.nextEvent());
        // The grace is over at last; the module of this test goes on sending all the same.
        try (HttpTestClient client = new HttpTestClient(address)) {
            String event = "OK closed";
            while (event.startsWith("OK")) {
                client.send(IDEMPOTENT_REQUEST);
                event = policy.events.poll(10, TimeUnit.MILLISECONDS);
                while (event == null) {
                    if (!upstream.isEmpty()) {
                        upstream.nextRequest().respond(200, "", "ok");
                    }
                    event = policy.events.poll(10, TimeUnit.MILLISECONDS);
                }
                client.readStatus();
            }
            assertEquals("NOT_SENT", event);
        }
    }

    /**
     * Its connections come up only once the test accepts: its queue of waiting connections is full.
     */
    @Test
    @Timeout(60)
    void connectingAttemptIsNotSentAfterDrainGrace() throws IOException, InterruptedException {
        List<Socket> backlogSockets = new ArrayList<>();
        List<HttpTestClient> clients = new ArrayList<>();
        try (ServerSocket fullListener = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
            while (fillBacklog(backlogSockets, fullListener.getLocalPort())) {
                assertTrue(backlogSockets.size() < 50, "the queue never fills");
            }
            endpointAddress = "127.0.0.1:" + fullListener.getLocalPort();
            start(Map.of("DialTimeout", 30_000_000), 1024);
            clients.add(new HttpTestClient(address).send(IDEMPOTENT_REQUEST));
            assertEquals("0 k1 700 true", policy.acceptedRequests.poll(20, TimeUnit.SECONDS));
            runOnLoop(() -> policy.capturedActions.fetchEndpointList());
            discoveryServer
                    .nextRequest()
                    .respond(200, "", "{\"rev\":50,\"all\":true,\"targets\":[]}");
            assertEquals("COMPLETE []", policy.nextEvent());
            String event = null;
            while (event == null) {
                // Until new attempts show that the grace is over
                clients.add(new HttpTestClient(address).send(IDEMPOTENT_REQUEST));
                event = policy.events.poll(100, TimeUnit.MILLISECONDS);
            }
            assertEquals("NOT_SENT", event);
            Thread acceptor =
                    new Thread(
                            () -> {
                                try {
                                    while (true) {
                                        accepted.add(fullListener.accept());
                                    }
                                } catch (IOException e) {
                                    Thread.currentThread().interrupt();
                                }
                            });
            acceptor.start();
            for (int i = 1; i < clients.size(); i++) {
                assertEquals("NOT_SENT", policy.nextEvent());
            }
            Socket acceptedSocket;
            int acceptedCount = 0;
            for (int i = 0; i < backlogSockets.size(); i++) {
                acceptedSocket = accepted.poll(20, TimeUnit.SECONDS);
                acceptedCount += acceptedSocket == null ? 0 : 1;
            }
            assertEquals(backlogSockets.size(), acceptedCount);
            acceptedSocket = accepted.poll(20, TimeUnit.SECONDS);
            acceptedSocket.setSoTimeout(20_000);
            assertEquals(-1, acceptedSocket.getInputStream().read(), "nothing was written");
        } finally {
            for (Socket backlogSocket : backlogSockets) {
                backlogSocket.close();
            }
            for (HttpTestClient client : clients) {
                client.close();
            }
        }
    }

    private static boolean fillBacklog(List<Socket> backlogSockets, int port) throws IOException {
        Socket socket = new Socket();
        try {
            socket.connect(new InetSocketAddress(InetAddress.getLoopbackAddress(), port), 300);
            backlogSockets.add(socket);
            return true;
        } catch (SocketTimeoutException e) {
            socket.close();
            return false;
        }
    }

    @Test
    void healthChecksReportLoad() throws IOException, InterruptedException {
        start();
        runOnLoop(() -> policy.capturedActions.checkHealth("s1"));
        FakeHttpServer.ReceivedRequest receivedRequest = upstream.nextRequest();
        assertEquals("GET /-/load HTTP/1.1", receivedRequest.requestLine());
        assertNull(receivedRequest.header("Req-Id"));
        receivedRequest.respond(200, "", "TEXT inflight=3");
        assertEquals("probed OK 3.0", policy.nextEvent());
    }

    @Test
    void idleConnectionsAreClosedToFreeDescriptors() throws IOException, InterruptedException {
        // A reserve of two, two for use
        start(Map.of(), 4);
        try (HttpTestClient client = new HttpTestClient(address)) {
            client.send(IDEMPOTENT_REQUEST);
            FakeHttpServer.ReceivedRequest receivedRequest = upstream.nextRequest();
            receivedRequest.respond(200, "", "ok");
            assertEquals(200, client.readStatus());
            try (HttpTestClient secondClient = new HttpTestClient(address)) {
                assertTrue(isClosedSoon(receivedRequest));
                assertEquals(
                        200,
                        secondClient.send("GET /-/ready HTTP/1.1\r\nHost: x\r\n\r\n").readStatus());
            }
        }
    }

    // ---------------------------------------------------------------- start and stop

    @Test
    void warmUpReachesNeitherPolicyNorUpstream() throws IOException, InterruptedException {
        warmUpEnabled = true;
        start();
        try (HttpTestClient client = new HttpTestClient(address)) {
            int status = 503;
            while (status == 503) {
                status = client.send("GET /-/ready HTTP/1.1\r\nHost: x\r\n\r\n").readStatus();
            }
            assertEquals(200, status);
            assertEquals(
                    404, client.send("GET /-/rehearsed HTTP/1.1\r\nHost: x\r\n\r\n").readStatus());
            assertEquals(
                    404,
                    client.send(IDEMPOTENT_REQUEST.replace("/api/k1?x=%20y", "/-/rehearsal"))
                            .readStatus());
            assertTrue(policy.acceptedRequests.isEmpty());
            assertEquals(0, upstream.connectionCount());
            client.send(IDEMPOTENT_REQUEST);
            upstream.nextRequest().respond(200, "", "ok");
            assertEquals(200, client.readStatus());
        }
    }

    @Test
    void gracefulStopAnswersPendingRequests() throws IOException, InterruptedException {
        start();
        HttpTestClient idleClient = new HttpTestClient(address);
        assertEquals(200, idleClient.send("GET /-/ready HTTP/1.1\r\nHost: x\r\n\r\n").readStatus());
        HttpTestClient pendingClient = new HttpTestClient(address).send(IDEMPOTENT_REQUEST);
        FakeHttpServer.ReceivedRequest receivedRequest = upstream.nextRequest();
        Thread stopThread = new Thread(balancer::stop);
        stopThread.start();
        int readyStatus = 200;
        while (readyStatus == 200) {
            try (HttpTestClient lateClient = new HttpTestClient(address)) {
                readyStatus =
                        lateClient.send("GET /-/ready HTTP/1.1\r\nHost: x\r\n\r\n").readStatus();
            }
        }
        assertEquals(503, readyStatus);
        // Dropped at rest
        assertNull(idleClient.readResponse());
        receivedRequest.respond(200, "", "late but whole");
        String head = pendingClient.readResponse();
        assertTrue(head.startsWith("HTTP/1.1 200"), head);
        assertTrue(head.toLowerCase().contains("connection: close"), head);
        assertNull(pendingClient.readResponse());
        stopThread.join();
        balancer = null;
    }

    @ParameterizedTest
    @CsvSource(
            delimiter = '|',
            value = {
                "{} | ROUTER_LISTEN is not set, and the configuration has no listen",
                "{\"listen\":\"127.0.0.1:0\",\"discovery\":\"localhost:1\"} "
                        + "| discovery: not an address: 'localhost'",
                "{\"listen\":\"127.0.0.1:0\",\"discovery\":\"127.0.0.1:1\"} "
                        + "| the configuration has no settings",
                "{\"listen\":\"127.0.0.1:0\",\"discovery\":\"127.0.0.1:1\",\"settings\":{\"Quantum\":1}} "
                        + "| settings: ",
            })
    void invalidConfigurationIsNamed(String json, String expectedMessage) throws IOException {
        try {
            BalancerConfig.parse(
                    Map.of("ROUTER_NAME", "n1"),
                    com.fasterxml.jackson.jr.ob.JSON.std.mapFrom(json));
        } catch (InvalidConfigException e) {
            assertTrue(e.getMessage().startsWith(expectedMessage), e.getMessage());
            return;
        }
        throw new AssertionError("taken");
    }

    private static String chunk(String text) {
        return Integer.toHexString(text.length()) + "\r\n" + text + "\r\n";
    }

    private void runOnLoop(Runnable action) {
        balancer.loop().execute(action);
    }
}

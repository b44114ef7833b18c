package loadbalancer.server;

import static loadbalancer.TestAwait.await;
import static loadbalancer.server.BalancerServerFixtures.READY_REQUEST;
import static loadbalancer.server.BalancerServerFixtures.chunk;
import static loadbalancer.server.FakeHttpServer.CHUNKED_HEAD;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.fasterxml.jackson.jr.ob.JSON;
import java.io.IOException;
import java.net.DatagramPacket;
import java.net.DatagramSocket;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.nio.file.DirectoryStream;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Collections;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.stream.Stream;
import loadbalancer.ServeProcess;
import loadbalancer.TestAwait;
import loadbalancer.config.SocketAddressParser;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Tag;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;

/**
 * Tests balancers in their own processes, with limits of the system and the duration of a real
 * start.
 */
@Timeout(120)
@Tag("process")
class BalancerProcessTest {
    private static final int DESCRIPTOR_LIMIT = 256;
    // Upper bound on the descriptors below the limit that clients leave free.
    private static final int MAX_FREE_DESCRIPTORS = 60;
    private static final Duration READY_TIMEOUT = Duration.ofSeconds(60);
    private static final Duration READY_POLL_INTERVAL = Duration.ofMillis(20);
    private static final int ACTIVE_CLIENTS = 60;
    private static final int MIN_REQUESTS_IN_FLIGHT = 30;
    // Time in which the requests of active clients reach the upstream or are rejected.
    private static final long REQUESTS_SETTLE_MS = 2_000;
    // Time in which the balancer accepts or evicts the idle clients.
    private static final long IDLE_CLIENTS_SETTLE_MS = 300;
    private static final long REJECTED_REQUEST_RETRY_MS = 50;
    private static final Duration MAX_DISCOVERY_DELAY = Duration.ofSeconds(6);
    private static final int SIMULTANEOUS_STARTS = 10;
    private static final int PEERS_THAT_SEND_MUCH = 60;
    private static final int REQUESTS_AT_ONCE = 17;
    private static final long MAX_START_MS = 10_000;

    @TempDir private Path directory;
    private final AtomicInteger startCount = new AtomicInteger();
    private final List<ServeProcess> processes = Collections.synchronizedList(new ArrayList<>());
    private FakeHttpServer upstream;
    private FakeHttpServer discoveryServer;

    @BeforeEach
    void open() throws IOException {
        upstream = new FakeHttpServer();
        discoveryServer = new FakeHttpServer();
    }

    @AfterEach
    void close() throws IOException {
        for (ServeProcess process : processes) {
            process.process().destroyForcibly();
        }
        upstream.close();
        discoveryServer.close();
    }

    private record RunningBalancer(Process process, InetSocketAddress address) {}

    /**
     * Starts a balancer under a limit on file descriptors. It is listening when this method
     * returns.
     */
    private RunningBalancer startBalancer(Map<String, Object> extraConfig) throws IOException {
        ServeProcess balancer =
                ServeProcess.start(
                        writeConfig(extraConfig).toString(),
                        List.of(
                                "/bin/sh",
                                "-c",
                                "ulimit -n " + DESCRIPTOR_LIMIT + "; exec \"$@\"",
                                "sh"),
                        List.of("-Xmx32m", "-XX:+ExitOnOutOfMemoryError"));
        processes.add(balancer);
        String line = balancer.awaitLine("listening on ");
        balancer.discardLog();
        return new RunningBalancer(
                balancer.process(),
                SocketAddressParser.parse(line.substring(line.lastIndexOf(' ') + 1)));
    }

    private Path writeConfig(Map<String, Object> extraConfig) throws IOException {
        Map<String, Object> settings =
                BalancerServerFixtures.settings(Map.of("PeerMessages", true));
        settings.put("MembershipMode", "push");
        settings.put("Balancers", 2);
        Map<String, Object> config =
                BalancerServerFixtures.rawConfig(
                        Map.of(
                                "discovery",
                                discoveryServer.address(),
                                "seed",
                                "1",
                                "settings",
                                settings,
                                "known",
                                BalancerServerFixtures.initialEndpointList(
                                        "s1", upstream.address())));
        config.putAll(extraConfig);
        Path file = directory.resolve("balancer-" + startCount.incrementAndGet() + ".json");
        return Files.writeString(file, JSON.std.asString(config));
    }

    private static void awaitReady(InetSocketAddress address) {
        await("the balancer is ready")
                .atMost(READY_TIMEOUT)
                .pollInterval(READY_POLL_INTERVAL)
                .until(() -> BalancerServerFixtures.readinessStatus(address) == 200);
    }

    // Returns the time for which the main thread and the event loop were runnable but had no core.
    private static long runQueueNanos(Process process) throws IOException {
        long totalNanos = 0;
        try (DirectoryStream<Path> threads =
                Files.newDirectoryStream(Path.of("/proc/" + process.pid() + "/task"))) {
            for (Path thread : threads) {
                String name = Files.readString(thread.resolve("comm"));
                if (name.startsWith("java") || name.startsWith("nioEventLoop")) {
                    totalNanos +=
                            Long.parseLong(
                                    Files.readString(thread.resolve("schedstat")).split(" ")[1]);
                }
            }
        }
        return totalNanos;
    }

    private static long countOpenDescriptors(Process process) throws IOException {
        try (Stream<Path> entries = Files.list(Path.of("/proc/" + process.pid() + "/fd"))) {
            return entries.count();
        }
    }

    /**
     * Idle clients, which were served a request and stay connected, use up all descriptors while
     * discovery accepts connections but is silent. Requests in flight must be answered, datagrams
     * sent, and the watch must get a connection when discovery responds again.
     */
    @Test
    void idleClientsDoNotBlockActiveWork() throws Exception {
        try (DatagramSocket peer = new DatagramSocket(0, InetAddress.getLoopbackAddress());
                FakeHttpServer otherUpstream = new FakeHttpServer()) {
            RunningBalancer balancer = startBalancer(configWithPeer(peer));
            awaitReady(balancer.address());
            try (HttpTestClientGroup clients = new HttpTestClientGroup(balancer.address())) {
                Map<String, HttpTestClient> activeClients = sendActiveRequests(clients);
                TimeUnit.MILLISECONDS.sleep(REQUESTS_SETTLE_MS);
                // The routing policy may have rejected some requests.
                List<FakeHttpServer.ReceivedRequest> inFlight = takeRequests(upstream);
                assertTrue(
                        inFlight.size() >= MIN_REQUESTS_IN_FLIGHT, inFlight.size() + " in flight");
                for (int i = 0; i < 2 * DESCRIPTOR_LIMIT; i++) {
                    clients.connect().send(READY_REQUEST);
                }
                TimeUnit.MILLISECONDS.sleep(IDLE_CLIENTS_SETTLE_MS);
                assertDescriptorsNearlyUsedUp(balancer.process());
                assertWatchesAndDatagramsContinue(peer);
                for (FakeHttpServer.ReceivedRequest receivedRequest : inFlight) {
                    receivedRequest.respond(200, "", "ok");
                }
                for (FakeHttpServer.ReceivedRequest receivedRequest : inFlight) {
                    HttpTestClient client = activeClients.get(receivedRequest.header("Req-Id"));
                    assertEquals(200, client.readStatus());
                }
                assertNewListIsUsedInTime(
                        activeClients.get(inFlight.get(0).header("Req-Id")), otherUpstream);
            }
        }
    }

    private static Map<String, Object> configWithPeer(DatagramSocket peer) throws IOException {
        String ownAddress = "127.0.0.1:" + findFreePort();
        return Map.of(
                "peer_listen",
                ownAddress,
                "peers",
                List.of(ownAddress, "127.0.0.1:" + peer.getLocalPort()));
    }

    /**
     * Sends requests that each need their own connection to the upstream; returns the clients by
     * request id.
     */
    private static Map<String, HttpTestClient> sendActiveRequests(HttpTestClientGroup clients)
            throws IOException {
        Map<String, HttpTestClient> activeClients = new HashMap<>();
        for (int i = 0; i < ACTIVE_CLIENTS; i++) {
            String requestId = "w" + i;
            activeClients.put(
                    requestId,
                    clients.connect().send(BalancerServerFixtures.requestWithId(requestId)));
        }
        return activeClients;
    }

    // Removes and returns all requests that the server has received so far.
    private static List<FakeHttpServer.ReceivedRequest> takeRequests(FakeHttpServer server)
            throws InterruptedException {
        List<FakeHttpServer.ReceivedRequest> requests = new ArrayList<>();
        while (!server.hasNoQueuedRequests()) {
            requests.add(server.nextRequest());
        }
        return requests;
    }

    private static void assertDescriptorsNearlyUsedUp(Process process) throws IOException {
        long descriptorCount = countOpenDescriptors(process);
        assertTrue(
                descriptorCount > DESCRIPTOR_LIMIT - MAX_FREE_DESCRIPTORS
                        && descriptorCount <= DESCRIPTOR_LIMIT,
                descriptorCount + " descriptors");
    }

    /**
     * Clients that send as many requests at once as may wait on one connection, with bodies of the
     * maximum length, must not exhaust the heap, which ends the process.
     */
    @Test
    void clientsThatSendMuchAtOnceDoNotEndTheProcess() throws Exception {
        RunningBalancer balancer = startBalancer(Map.of());
        awaitReady(balancer.address());
        try (HttpTestClientGroup peers = new HttpTestClientGroup(balancer.address())) {
            byte[] manyRequests = postRequests(REQUESTS_AT_ONCE);
            for (int i = 0; i < PEERS_THAT_SEND_MUCH; i++) {
                sendWithoutWaiting(peers.connect(), manyRequests);
            }
            TimeUnit.MILLISECONDS.sleep(REQUESTS_SETTLE_MS);
            assertTrue(balancer.process().isAlive(), "the process has ended");
        }
        assertEquals(200, BalancerServerFixtures.readinessStatus(balancer.address()));
    }

    private static byte[] postRequests(int count) {
        String head =
                "POST /k1 HTTP/1.1\r\nReq-Id: r1\r\nReq-Kind: book\r\nReq-Deadline-Ms: 20000\r\n"
                        + "Content-Length: 65536\r\n\r\n";
        return (head + "x".repeat(65_536)).repeat(count).getBytes(StandardCharsets.US_ASCII);
    }

    // The balancer may stop reading or close the connection while the peer sends.
    private static void sendWithoutWaiting(HttpTestClient peer, byte[] bytes) {
        Thread sender =
                new Thread(
                        () -> {
                            try {
                                peer.send(bytes);
                            } catch (IOException e) {
                                // The balancer has closed the connection, as it may.
                            }
                        });
        sender.setDaemon(true);
        sender.start();
    }

    private void assertWatchesAndDatagramsContinue(DatagramSocket peer) throws Exception {
        peer.setSoTimeout((int) TestAwait.TIMEOUT.toMillis());
        takeRequests(discoveryServer);
        for (int i = 0; i < 3; i++) {
            String requestLine = discoveryServer.nextRequest().requestLine();
            assertTrue(requestLine.contains("watch=1"), requestLine);
            peer.receive(new DatagramPacket(new byte[256], 256));
        }
    }

    /**
     * Discovery responds again, with a list of another upstream, which must receive the next
     * request. The earlier requests waited for seconds, so the balancer may still shed load: the
     * client repeats a rejected request within the same time limit.
     */
    private void assertNewListIsUsedInTime(HttpTestClient client, FakeHttpServer otherUpstream)
            throws Exception {
        takeRequests(discoveryServer);
        long reachableAtNanos = System.nanoTime();
        String list =
                CHUNKED_HEAD
                        + chunk(
                                BalancerServerFixtures.oneEndpointJson(
                                                42, true, "s2", otherUpstream.address())
                                        + "\n");
        discoveryServer.nextRequest().sendRaw(list);
        client.send(BalancerServerFixtures.IDEMPOTENT_REQUEST);
        await("a request at the upstream of the new list")
                .atMost(MAX_DISCOVERY_DELAY)
                .until(
                        () -> {
                            answerWatches(list);
                            retryIfRejected(client);
                            return !otherUpstream.hasNoQueuedRequests();
                        });
        otherUpstream.nextRequest().respond(200, "", "ok");
        assertEquals(200, client.readStatus());
        long elapsedNanos = System.nanoTime() - reachableAtNanos;
        assertTrue(
                elapsedNanos < MAX_DISCOVERY_DELAY.toNanos(),
                "served after " + elapsedNanos / 1_000_000 + " ms");
    }

    private static void retryIfRejected(HttpTestClient client)
            throws IOException, InterruptedException {
        if (client.input.available() > 0) {
            assertEquals(503, client.readStatus());
            TimeUnit.MILLISECONDS.sleep(REJECTED_REQUEST_RETRY_MS);
            client.send(BalancerServerFixtures.IDEMPOTENT_REQUEST);
        }
    }

    /**
     * Answers all watches received so far. The balancer may have abandoned a watch that was
     * answered just before; its next watch needs the same list.
     */
    private void answerWatches(String list) throws InterruptedException {
        for (FakeHttpServer.ReceivedRequest watch : takeRequests(discoveryServer)) {
            try {
                watch.sendRaw(list);
            } catch (IOException e) {
                // The balancer has closed this watch; its next watch is answered.
            }
        }
    }

    private static int findFreePort() throws IOException {
        try (DatagramSocket unusedSocket =
                new DatagramSocket(0, InetAddress.getLoopbackAddress())) {
            return unusedSocket.getLocalPort();
        }
    }

    /**
     * Ten balancers start at once with a configured endpoint list while discovery is silent; nine
     * must become ready in time. The time for which they waited for a core is subtracted, as if
     * each had a core of its own.
     */
    @Test
    void simultaneousStartsBecomeReadyInTime() throws Exception {
        List<Thread> startThreads = new ArrayList<>();
        List<Long> durationsMs = Collections.synchronizedList(new ArrayList<>());
        for (int i = 0; i < SIMULTANEOUS_STARTS; i++) {
            startThreads.add(
                    new Thread(
                            () -> {
                                long startNanos = System.nanoTime();
                                try {
                                    RunningBalancer started = startBalancer(Map.of());
                                    awaitReady(started.address());
                                    durationsMs.add(
                                            (System.nanoTime()
                                                            - startNanos
                                                            - runQueueNanos(started.process()))
                                                    / 1_000_000);
                                } catch (Exception e) {
                                    durationsMs.add(Long.MAX_VALUE);
                                }
                            }));
        }
        for (Thread startThread : startThreads) {
            startThread.start();
        }
        for (Thread startThread : startThreads) {
            startThread.join();
        }
        List<Long> sortedDurationsMs = durationsMs.stream().sorted().toList();
        assertTrue(
                sortedDurationsMs.get(SIMULTANEOUS_STARTS - 2) < MAX_START_MS,
                sortedDurationsMs + " ms");
    }
}

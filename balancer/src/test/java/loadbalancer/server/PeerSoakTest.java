package loadbalancer.server;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.fasterxml.jackson.jr.ob.JSON;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Tag;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;

/**
 * Runs a balancer with little memory beside hundreds of peers that misbehave in all known ways at
 * random, and checks the requests of well-behaved clients: each gets its final response in time,
 * none runs twice, the process neither ends nor exceeds its memory, and ends in order on SIGTERM.
 *
 * <p>System properties for long runs by hand: {@code soak.first} and {@code soak.seeds} (the
 * seeds), {@code soak.launcher} (a command that starts the balancer, such as {@code env
 * LD_PRELOAD=...}).
 */
@Timeout(300)
@Tag("process")
class PeerSoakTest {
    private static final int UPSTREAMS = 3;
    private static final int CLIENTS = 6;
    private static final int PEERS = 300;
    private static final long DURATION_MS = 10_000;
    private static final long REQUEST_INTERVAL_MS = 30;
    private static final int TIME_LEFT_MS = 2_000;
    // A response up to half a second late only earns nothing.
    private static final int MAX_LATE_MS = 500;
    private static final long MAX_MEMORY_KB = 144 * 1024;
    private static final long MAX_STOP_SECONDS = 6;

    private static final String UNCONNECTED = "unconnected";

    @TempDir private Path directory;
    private final ConcurrentLinkedQueue<String> violations = new ConcurrentLinkedQueue<>();
    private final Map<String, Integer> runsById = new HashMap<>();
    private final AtomicInteger answeredCount = new AtomicInteger();
    private final AtomicInteger unconnectedCount = new AtomicInteger();
    private final AtomicInteger servedCount = new AtomicInteger();
    private InetSocketAddress address;
    private volatile boolean ended;

    static IntStream seeds() {
        int first = Integer.getInteger("soak.first", 1);
        return IntStream.range(first, first + Integer.getInteger("soak.seeds", 2));
    }

    @ParameterizedTest
    @MethodSource("seeds")
    void wellBehavedClientsAreServedBesideMisbehavingPeers(int seed) throws Exception {
        List<SoakUpstream> upstreams = new ArrayList<>();
        for (int i = 0; i < UPSTREAMS; i++) {
            upstreams.add(new SoakUpstream());
        }
        String launcher = System.getProperty("soak.launcher", "").replace("SEED", "" + seed);
        try (SmallHeapBalancer balancer =
                new SmallHeapBalancer(directory, endpointList(upstreams), launcher)) {
            address = balancer.address();
            run(seed);
            assertTrue(balancer.process().isAlive(), "the process has ended");
            long memoryKilobytes = balancer.peakMemoryKilobytes();
            balancer.process().destroy();
            assertTrue(
                    balancer.process().waitFor(MAX_STOP_SECONDS, TimeUnit.SECONDS),
                    "the process does not end");
            assertEquals(0, balancer.process().exitValue());
            checkRuns(upstreams);
            System.out.printf(
                    "soak seed %d: %d answered, %d served, %d unconnected, peak %d KB, violations %s%n",
                    seed,
                    answeredCount.get(),
                    servedCount.get(),
                    unconnectedCount.get(),
                    memoryKilobytes,
                    violations);
            assertEquals(List.of(), List.copyOf(violations));
            assertTrue(memoryKilobytes < MAX_MEMORY_KB, memoryKilobytes + " KB");
            assertTrue(servedCount.get() > answeredCount.get() / 2, servedCount + " served");
        } finally {
            for (SoakUpstream upstream : upstreams) {
                upstream.close();
            }
        }
    }

    private static Map<String, Object> endpointList(List<SoakUpstream> upstreams)
            throws IOException {
        StringBuilder targets = new StringBuilder();
        for (int i = 0; i < upstreams.size(); i++) {
            targets.append(i == 0 ? "" : ",")
                    .append("{\"uid\":\"s")
                    .append(i)
                    .append("\",\"endpoint\":\"")
                    .append(upstreams.get(i).address())
                    .append("\",\"state\":\"in_service\",\"boot_ms\":0}");
        }
        return new HashMap<>(
                JSON.std.mapFrom("{\"rev\":1,\"all\":true,\"targets\":[" + targets + "]}"));
    }

    private void run(int seed) throws InterruptedException {
        List<Thread> threads = new ArrayList<>();
        for (int i = 0; i < CLIENTS; i++) {
            String name = "c" + i;
            threads.add(start(() -> sendRequests(name)));
        }
        for (int i = 0; i < PEERS; i++) {
            Random random = new Random(seed * 1_000L + i);
            String name = Integer.toHexString(i);
            threads.add(start(() -> misbehave(random, name)));
        }
        TimeUnit.MILLISECONDS.sleep(DURATION_MS);
        ended = true;
        for (Thread thread : threads.subList(0, CLIENTS)) {
            thread.join();
        }
    }

    private static Thread start(Runnable task) {
        Thread thread = new Thread(null, task, "soak", 128 * 1024);
        thread.setDaemon(true);
        thread.start();
        return thread;
    }

    private void sendRequests(String name) {
        for (int i = 0; !ended; i++) {
            String requestId = name + "-" + i;
            long startNanos = System.nanoTime();
            String result = sendRequest(requestId, i % 2 == 0);
            long elapsedMs = TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - startNanos);
            if (result.equals(UNCONNECTED)) {
                unconnectedCount.incrementAndGet();
                continue;
            }
            answeredCount.incrementAndGet();
            if (result.equals("200")) {
                servedCount.incrementAndGet();
            } else if (!result.equals("503") && !result.equals("502")) {
                violations.add(requestId + " " + result);
            }
            if (elapsedMs > TIME_LEFT_MS + MAX_LATE_MS) {
                violations.add(requestId + " " + result + " after " + elapsedMs + " ms");
            }
        }
    }

    private String sendRequest(String requestId, boolean safe) {
        HttpTestClient client;
        try {
            TimeUnit.MILLISECONDS.sleep(REQUEST_INTERVAL_MS);
            client = new HttpTestClient(address);
        } catch (IOException | InterruptedException e) {
            return UNCONNECTED;
        }
        try (client) {
            client.send(request(requestId, safe ? "read" : "book", safe ? 0 : 300));
            String head = client.readResponse();
            return head == null ? "closed without a response" : head.split(" ")[1];
        } catch (IOException e) {
            return e.toString();
        }
    }

    private static byte[] request(String requestId, String className, int bodyBytes) {
        boolean safe = className.equals("read");
        String text =
                (safe ? "GET" : "POST")
                        + " /api/k1 HTTP/1.1\r\nHost: backend.local\r\nReq-Id: "
                        + requestId
                        + "\r\nReq-Kind: "
                        + className
                        + "\r\nReq-Deadline-Ms: "
                        + TIME_LEFT_MS
                        + "\r\n"
                        + (safe ? "" : "Content-Length: " + bodyBytes + "\r\n")
                        + "\r\n"
                        + "x".repeat(bodyBytes);
        return text.getBytes(StandardCharsets.US_ASCII);
    }

    private void misbehave(Random random, String name) {
        for (int i = 0; !ended; i++) {
            try (HttpTestClient peer = new HttpTestClient(address)) {
                misbehaveOnce(random, name + "-" + i, peer);
            } catch (IOException e) {
                pause(random, 50);
            }
        }
    }

    private void misbehaveOnce(Random random, String name, HttpTestClient peer) throws IOException {
        switch (random.nextInt(10)) {
            case 0 -> peer.send("POST /k HTTP/1.1\r\n" + "a:\r\n".repeat(random.nextInt(2_000)));
            case 1 -> sendPart(random, peer, request("x" + name, "book", 65_536), 65_000);
            case 2 -> sendPart(random, peer, request("x" + name, "book", 400_000), 399_000);
            case 3 -> peer.send(request(SoakUpstream.STUCK + name, "book", 400_000));
            case 4 -> peer.send(request(SoakUpstream.LATE + name, "book", 100));
            case 5 -> peer.send(request(SoakUpstream.WIDE + name, "read", 0));
            case 6 -> sendManyAtOnce(peer, name);
            case 7 -> sendChunks(random, peer, "x" + name);
            case 8 -> sendAgainAfterLeaving(peer, "o" + name);
            default -> peer.send("\0unsound\r\n\r\n".repeat(1 + random.nextInt(1_000)));
        }
        pause(random, 1_500);
    }

    private static void sendPart(Random random, HttpTestClient peer, byte[] bytes, int length)
            throws IOException {
        int first = random.nextInt(length);
        peer.socket.getOutputStream().write(bytes, 0, first);
        pause(random, 300);
        peer.socket.getOutputStream().write(bytes, first, length - first);
    }

    private static void sendManyAtOnce(HttpTestClient peer, String name) throws IOException {
        for (int i = 0; i < 17; i++) {
            peer.send(request("m" + name + "-" + i, "book", 20_000));
        }
    }

    private static void sendChunks(Random random, HttpTestClient peer, String requestId)
            throws IOException {
        peer.send(
                BalancerServerFixtures.nonIdempotentHead(requestId)
                        + "Transfer-Encoding: chunked\r\n\r\n");
        for (int i = 0; i < 20; i++) {
            peer.send("1\r\nx\r\n".repeat(1 + random.nextInt(1_000)));
        }
    }

    private void sendAgainAfterLeaving(HttpTestClient peer, String requestId) throws IOException {
        byte[] request = request(requestId, "book", 100);
        peer.send(request);
        peer.socket.close();
        try (HttpTestClient again = new HttpTestClient(address)) {
            again.send(request);
            again.readResponse();
        }
    }

    private static void pause(Random random, int maxMs) {
        try {
            TimeUnit.MILLISECONDS.sleep(random.nextInt(maxMs));
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private void checkRuns(List<SoakUpstream> upstreams) {
        for (SoakUpstream upstream : upstreams) {
            upstream.runs().forEach((id, count) -> runsById.merge(id, count.get(), Integer::sum));
        }
        runsById.forEach(
                (id, count) -> {
                    if (count > 1 && !isSafe(id)) {
                        violations.add(id + " ran " + count + " times");
                    }
                });
    }

    // Of the clients' requests every second one may be repeated.
    private static boolean isSafe(String requestId) {
        boolean even = (requestId.charAt(requestId.length() - 1) - '0') % 2 == 0;
        return requestId.charAt(0) == SoakUpstream.WIDE || (requestId.startsWith("c") && even);
    }
}

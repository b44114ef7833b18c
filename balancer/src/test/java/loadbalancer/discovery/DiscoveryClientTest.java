package loadbalancer.discovery;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.fasterxml.jackson.jr.ob.JSON;
import io.netty.channel.EventLoop;
import io.netty.channel.nio.NioEventLoopGroup;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import loadbalancer.config.BalancerConfig;
import loadbalancer.config.BootSettings;
import loadbalancer.config.EndpointList;
import loadbalancer.config.SettingsFlattener;
import loadbalancer.config.SettingsReader;
import loadbalancer.config.SocketAddressParser;
import loadbalancer.routing.RoutingEngine;
import loadbalancer.routing.api.Endpoint;
import loadbalancer.routing.api.EndpointListKind;
import loadbalancer.server.BalancerServer;
import loadbalancer.server.BalancerServerTest;
import loadbalancer.server.FakeHttpServer;
import loadbalancer.server.FullBacklogListener;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

/** {@link DiscoveryClient}: watches that fall silent, break or are replaced. */
@Timeout(60)
class DiscoveryClientTest {
    private static final String CHUNKED_HEAD =
            "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";

    private final NioEventLoopGroup eventLoopGroup = new NioEventLoopGroup(1);
    private final EventLoop eventLoop = eventLoopGroup.next();
    private final BlockingQueue<String> updates = new LinkedBlockingQueue<>();
    private FakeHttpServer discoveryServer;
    private DiscoveryClient client;

    @BeforeEach
    void open() throws IOException {
        discoveryServer = new FakeHttpServer();
        Map<String, Object> settings = new HashMap<>(BalancerServerTest.settings());
        settings.put("MembershipMode", "push");
        Map<String, String> flattened = SettingsFlattener.flatten(settings);
        BootSettings boot = SettingsReader.read(flattened);
        client =
                new DiscoveryClient(
                        eventLoop,
                        SocketAddressParser.parse(discoveryServer.address()),
                        boot,
                        41,
                        new RecordingListener(),
                        line -> {});
        eventLoop.execute(client::start);
    }

    /** Records lists such as "DELTA 43 [b]"; a failure has no list. */
    private final class RecordingListener implements EndpointListListener {
        @Override
        public void onEndpointListUpdate(EndpointListKind kind, EndpointList endpointList) {
            List<String> ids = endpointList.endpoints().stream().map(Endpoint::id).toList();
            updates.add(kind + " " + endpointList.revision() + " " + ids);
        }

        @Override
        public void onDiscoveryFailed() {
            updates.add("FAILED");
        }
    }

    @AfterEach
    void close() throws IOException {
        eventLoopGroup.shutdownGracefully(0, 1, TimeUnit.SECONDS);
        discoveryServer.close();
    }

    private static String listJson(int revision, boolean complete, String endpointId) {
        return "{\"rev\":"
                + revision
                + ",\"all\":"
                + complete
                + ",\"targets\":[{\"uid\":\""
                + endpointId
                + "\",\"endpoint\":\"127.0.0.1:80\",\"state\":\"in_service\"}]}";
    }

    private static String chunk(String text) {
        return Integer.toHexString(text.length()) + "\r\n" + text + "\r\n";
    }

    private FakeHttpServer.ReceivedRequest expectWatchFrom(int revision)
            throws InterruptedException {
        FakeHttpServer.ReceivedRequest watch = discoveryServer.nextRequest();
        assertEquals(
                "GET /api/targets?watch=1&from=" + revision + " HTTP/1.1", watch.requestLine());
        return watch;
    }

    /**
     * Responds to the newest watch until the client has got the payload: while the test is slow the
     * client may close a call before its response.
     */
    private FakeHttpServer.ReceivedRequest answerNewestWatch(
            int revision, String payload, String expected) throws Exception {
        while (true) {
            FakeHttpServer.ReceivedRequest watch = expectWatchFrom(revision);
            while (!discoveryServer.isEmpty()) {
                watch = expectWatchFrom(revision);
            }
            try {
                watch.sendRaw(CHUNKED_HEAD + chunk(payload));
            } catch (IOException e) {
                // The client has closed this call
                continue;
            }
            String update = updates.poll(2, TimeUnit.SECONDS);
            if (update != null) {
                assertEquals(expected, update);
                return watch;
            }
        }
    }

    private String nextUpdate() throws InterruptedException {
        return String.valueOf(updates.poll(20, TimeUnit.SECONDS));
    }

    /**
     * While discovery is down its agent accepts connections and is silent. What it learns at its
     * return must arrive within the grace of drains.
     */
    @Test
    void initiallySilentWatchIsReopenedInTime() throws Exception {
        FakeHttpServer.ReceivedRequest silentWatch = expectWatchFrom(41);
        long openedAtNanos = System.nanoTime();
        expectWatchFrom(41);
        assertTrue(System.nanoTime() - openedAtNanos < 1_000_000_000L);
        assertTrue(silentWatch.isClosedByPeer());
        answerNewestWatch(41, listJson(51, true, "new") + "\n", "COMPLETE 51 [new]");
    }

    /**
     * While an agent accepts no connections the system repeats lost connects after seconds; a
     * connect that is new reaches it at once.
     */
    @Test
    void unconnectedWatchIsRetriedInTime() throws Exception {
        expectWatchFrom(41);
        try (FullBacklogListener backlogListener = new FullBacklogListener()) {
            eventLoop.execute(
                    () -> client.reconnectTo(SocketAddressParser.parse(backlogListener.address())));
            // The system has dropped the connect's first packets by then
            long packetsLostAtNanos = System.nanoTime() + 1_100_000_000;
            while (System.nanoTime() < packetsLostAtNanos) {
                Thread.onSpinWait();
            }
            long reachableAtNanos = System.nanoTime();
            assertTrue(
                    FakeHttpServer.readHead(backlogListener.acceptNext().getInputStream())
                            .contains("watch=1&from=41"));
            assertTrue(System.nanoTime() - reachableAtNanos < 700_000_000L);
        }
    }

    /**
     * What a watch misses must be known 6 s after it fell silent, be it within a list or between
     * two.
     */
    @ParameterizedTest
    @ValueSource(strings = {"", "{\"rev\":43,\"all\":fal"})
    void stalledWatchIsReopenedInTime(String partialList) throws Exception {
        FakeHttpServer.ReceivedRequest watch =
                answerNewestWatch(41, listJson(42, true, "a") + "\n", "COMPLETE 42 [a]");
        if (!partialList.isEmpty()) {
            watch.sendRaw(chunk(partialList));
        }
        long silentSinceNanos = System.nanoTime();
        answerNewestWatch(42, listJson(43, false, "b") + "\n", "DELTA 43 [b]");
        assertTrue(System.nanoTime() - silentSinceNanos < 6_000_000_000L);
    }

    private static BalancerServer balancer(String mode, String discoveryAddress) {
        Map<String, Object> rules = new HashMap<>();
        rules.put("AnswerSlack", 8_000);
        rules.put("DrainGrace", 2_800_000);
        rules.put("AskWithin", 10_000_000);
        rules.put("ColdFrom", 0.3);
        rules.put("RampTime", 8_400_000);
        rules.put("OverloadFactor", 3.0);
        rules.put("Fall", 1_000_000);
        Map<String, Object> settings = new HashMap<>(BalancerServerTest.settings());
        settings.put("MembershipMode", mode);
        settings.put("Rules", rules);
        Map<String, Object> config = new HashMap<>();
        config.put("name", "n1");
        config.put("listen", "127.0.0.1:0");
        config.put("discovery", discoveryAddress);
        config.put("seed", "1");
        config.put("settings", settings);
        return new BalancerServer(
                BalancerConfig.parse(Map.of(), config), RoutingEngine::new, false, line -> {});
    }

    /**
     * One deadline for all of it: the watch falls silent, the next call times out, the one after
     * that is reset, and a backoff follows each. Where lists are polled it is the routing policy
     * that calls again.
     */
    @ParameterizedTest
    @CsvSource({"push,2", "ask,1"})
    void successiveFailuresEndWithinNotifyDeadline(String mode, int abandonedCalls)
            throws Exception {
        try (FakeHttpServer server = new FakeHttpServer()) {
            BalancerServer balancer = balancer(mode, server.address());
            try {
                balancer.start();
                FakeHttpServer.ReceivedRequest watch = server.nextRequest();
                watch.sendRaw(CHUNKED_HEAD + chunk(listJson(42, true, "a") + "\n"));
                long silentSinceNanos = System.nanoTime();
                FakeHttpServer.ReceivedRequest nextCall = server.nextRequest();
                while (!nextCall.requestLine().contains("from=42")) {
                    // The client closed the first while the test was slow
                    watch = nextCall;
                    watch.sendRaw(CHUNKED_HEAD + chunk(listJson(42, true, "a") + "\n"));
                    silentSinceNanos = System.nanoTime();
                    nextCall = server.nextRequest();
                }
                for (int i = 0; i < abandonedCalls; i++) {
                    assertTrue(nextCall.isClosedByPeer());
                    nextCall = server.nextRequest();
                }
                nextCall.reset();
                // A response to this call would bring the missed change
                server.nextRequest();
                long elapsedNanos = System.nanoTime() - silentSinceNanos;
                assertTrue(elapsedNanos < 5_900_000_000L, elapsedNanos / 1_000_000 + " ms");
            } finally {
                balancer.stop();
            }
        }
    }

    /**
     * Half a list, and then only the empty lines that come while nothing changes: a list that
     * follows would become part of the first.
     */
    @Test
    void endlessListIsAbandoned() throws Exception {
        FakeHttpServer.ReceivedRequest watch =
                answerNewestWatch(41, listJson(42, true, "a") + "\n", "COMPLETE 42 [a]");
        watch.sendRaw(chunk("{\"rev\":43,\n"));
        eventLoop.scheduleWithFixedDelay(
                () -> {
                    try {
                        watch.sendRaw(chunk("\n"));
                    } catch (IOException e) {
                        // The client has closed the watch; the exception ends this task
                        throw new UncheckedIOException(e);
                    }
                },
                0,
                500,
                TimeUnit.MILLISECONDS);
        answerNewestWatch(42, listJson(43, false, "b") + "\n", "DELTA 43 [b]");
    }

    @Test
    void resetWatchResumesFromLastRevision() throws Exception {
        FakeHttpServer.ReceivedRequest watch =
                answerNewestWatch(41, listJson(42, true, "a") + "\n", "COMPLETE 42 [a]");
        watch.sendRaw(chunk("{\"rev\":43,"));
        watch.reset();
        FakeHttpServer.ReceivedRequest nextWatch = answerNewestWatch(42, "\n", "DELTA 42 []");
        nextWatch.sendRaw(chunk(listJson(43, false, "b") + "\n"));
        assertEquals("DELTA 43 [b]", nextUpdate());
    }

    @Test
    void listsMaySpanLinesAndChunks() throws Exception {
        // Blank: nothing has changed since the revision
        FakeHttpServer.ReceivedRequest watch = answerNewestWatch(41, "  \n", "DELTA 41 []");
        String prettyList =
                JSON.std
                        .with(JSON.Feature.PRETTY_PRINT_OUTPUT)
                        .asString(JSON.std.mapFrom(listJson(42, true, "odd } \\\" {")));
        assertTrue(prettyList.lines().count() > 3, prettyList);
        for (int i = 0; i < prettyList.length(); i += 7) {
            watch.sendRaw(chunk(prettyList.substring(i, Math.min(prettyList.length(), i + 7))));
        }
        assertEquals("COMPLETE 42 [odd } \" {]", nextUpdate());
        watch.sendRaw(
                chunk(
                        "\n\n"
                                + listJson(43, false, "b").replace(",", ",\n  ")
                                + listJson(44, false, "c")));
        assertEquals("DELTA 43 [b]", nextUpdate());
        assertEquals("DELTA 44 [c]", nextUpdate());
    }

    @Test
    void olderRevisionIsIgnored() throws Exception {
        FakeHttpServer.ReceivedRequest watch =
                answerNewestWatch(41, listJson(45, true, "a") + "\n", "COMPLETE 45 [a]");
        eventLoop.execute(client::fetchList);
        FakeHttpServer.ReceivedRequest fetch = discoveryServer.nextRequest();
        assertEquals("GET /api/targets HTTP/1.1", fetch.requestLine());
        watch.sendRaw(chunk(listJson(46, false, "b") + "\n" + listJson(44, false, "old") + "\n"));
        assertEquals("DELTA 46 [b]", nextUpdate());
        fetch.respond(200, "", listJson(45, true, "old"));
        assertTrue(fetch.isClosedByPeer());
        watch.sendRaw(chunk(listJson(47, false, "c") + "\n"));
        assertEquals("DELTA 47 [c]", nextUpdate());
    }

    /** After a reload, while the old watch is silent, reset or within a list. */
    @ParameterizedTest
    @ValueSource(strings = {"silent", "reset", "{\"rev\":43,"})
    void newAddressIsWatchedAtOnce(String oldWatchState) throws Exception {
        FakeHttpServer.ReceivedRequest watch =
                answerNewestWatch(41, listJson(42, true, "a") + "\n", "COMPLETE 42 [a]");
        if (oldWatchState.equals("reset")) {
            watch.reset();
        } else if (!oldWatchState.equals("silent")) {
            watch.sendRaw(chunk(oldWatchState));
        }
        try (FakeHttpServer newServer = new FakeHttpServer()) {
            eventLoop.execute(
                    () -> client.reconnectTo(SocketAddressParser.parse(newServer.address())));
            FakeHttpServer.ReceivedRequest newWatch = newServer.nextRequest();
            assertEquals("GET /api/targets?watch=1&from=42 HTTP/1.1", newWatch.requestLine());
            if (oldWatchState.equals("silent")) {
                assertTrue(watch.isClosedByPeer());
            }
            newWatch.sendRaw(CHUNKED_HEAD + chunk(listJson(7, true, "elsewhere") + "\n"));
            // The new discovery has revisions of its own
            assertEquals("COMPLETE 7 [elsewhere]", nextUpdate());
        }
    }
}

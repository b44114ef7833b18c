package loadbalancer.discovery;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.fasterxml.jackson.jr.ob.JSON;
import io.netty.channel.EventLoop;
import io.netty.channel.nio.NioEventLoopGroup;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.util.HashMap;
import java.util.Map;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import loadbalancer.config.BalancerConfig;
import loadbalancer.config.BootSettings;
import loadbalancer.config.SettingsFlattener;
import loadbalancer.config.SettingsReader;
import loadbalancer.config.SocketAddressParser;
import loadbalancer.routing.RoutingEngine;
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

/** Watches that fall silent, break or are replaced, where lists are pushed. */
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
                        (kind, endpointList) ->
                                updates.add(
                                        kind
                                                + " "
                                                + (endpointList == null
                                                        ? ""
                                                        : endpointList.revision()
                                                                + " "
                                                                + endpointList.entries().stream()
                                                                        .map(
                                                                                entry ->
                                                                                        entry.endpoint()
                                                                                                .id())
                                                                        .toList())),
                        line -> {});
        eventLoop.execute(client::start);
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
     * Answers the newest watch from there until one has heard: a call is given up while a test is
     * slow.
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
                // Given up before
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
     * As while discovery is down: what the agent gets at its return has to be heard within the
     * grace.
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
     * As of an agent that takes nothing in: a connect that waits may be noticed seconds after it is
     * back.
     */
    @Test
    void unconnectedWatchIsRetriedInTime() throws Exception {
        expectWatchFrom(41);
        try (FullBacklogListener backlogListener = new FullBacklogListener()) {
            eventLoop.execute(
                    () -> client.reconnectTo(SocketAddressParser.parse(backlogListener.address())));
            // Its first packets have been dropped by then
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
     * What it misses counts as told 6 s after it fell silent, whether that is amid a list or
     * between two.
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

    /**
     * One clock for all of it: the watch falls silent, the next call is given up, the one after
     * that reset, and each is followed by a pause. It is the module that asks again where lists are
     * asked for.
     */
    @ParameterizedTest
    @CsvSource({"push,2", "ask,1"})
    void successiveFailuresEndWithinNotifyDeadline(String mode, int abandonedCalls)
            throws Exception {
        try (FakeHttpServer server = new FakeHttpServer()) {
            Map<String, Object> settings = new HashMap<>(BalancerServerTest.settings());
            settings.put("MembershipMode", mode);
            settings.put(
                    "Rules",
                    Map.of(
                            "AnswerSlack",
                            8_000,
                            "DrainGrace",
                            2_800_000,
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
            BalancerServer balancer =
                    new BalancerServer(
                            BalancerConfig.parse(
                                    Map.of(),
                                    Map.of(
                                            "name",
                                            "n1",
                                            "listen",
                                            "127.0.0.1:0",
                                            "discovery",
                                            server.address(),
                                            "seed",
                                            "1",
                                            "settings",
                                            settings)),
                            RoutingEngine::new,
                            false,
                            line -> {});
            try {
                balancer.start();
                FakeHttpServer.ReceivedRequest watch = server.nextRequest();
                watch.sendRaw(CHUNKED_HEAD + chunk(listJson(42, true, "a") + "\n"));
                long silentSinceNanos = System.nanoTime();
                FakeHttpServer.ReceivedRequest nextCall = server.nextRequest();
                while (!nextCall.requestLine().contains("from=42")) {
                    // The first was given up while the test was slow
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
                // Answered at once, this one would tell it
                server.nextRequest();
                long elapsedNanos = System.nanoTime() - silentSinceNanos;
                assertTrue(elapsedNanos < 5_900_000_000L, elapsedNanos / 1_000_000 + " ms");
            } finally {
                balancer.stop();
            }
        }
    }

    /**
     * Half a list, and the empty lines that come while nothing changes: what follows would be lost
     * in it.
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
                        // It has been closed: this task ends
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
        // Nothing has changed so far
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

    /** As after SIGHUP, while the old watch is silent, broken off or amid a list. */
    @ParameterizedTest
    @ValueSource(strings = {"silent", "reset", "{\"rev\":43,"})
    void newAddressIsPolledAtOnce(String oldWatchState) throws Exception {
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
            // It counts for itself
            assertEquals("COMPLETE 7 [elsewhere]", nextUpdate());
        }
    }
}

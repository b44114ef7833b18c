package loadbalancer.discovery;

import static loadbalancer.TestAwait.await;
import static loadbalancer.server.BalancerServerFixtures.chunk;
import static loadbalancer.server.FakeHttpServer.CHUNKED_HEAD;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.fasterxml.jackson.jr.ob.JSON;
import io.netty.channel.EventLoop;
import io.netty.channel.nio.NioEventLoopGroup;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import loadbalancer.TestAwait;
import loadbalancer.config.BootSettings;
import loadbalancer.config.EndpointList;
import loadbalancer.config.SettingsFlattener;
import loadbalancer.config.SettingsReader;
import loadbalancer.config.SocketAddressParser;
import loadbalancer.routing.RoutingEngine;
import loadbalancer.routing.api.Endpoint;
import loadbalancer.routing.api.EndpointListKind;
import loadbalancer.server.BalancerServer;
import loadbalancer.server.BalancerServerFixtures;
import loadbalancer.server.FakeHttpServer;
import loadbalancer.server.FullBacklogListener;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

/** Tests how {@link DiscoveryClient} handles watches that fall silent, break or are replaced. */
@Timeout(60)
class DiscoveryClientTest {
    private static final String ENDPOINT_ADDRESS = "127.0.0.1:80";
    // Time to wait for the update after a response to a watch; there is none if the client has
    // closed that watch.
    private static final long UPDATE_TIMEOUT_MS = 2_000;
    // Time in which the system drops the first packets of a connect to a full backlog.
    private static final long FULL_BACKLOG_MS = 1_100;
    private static final Duration MAX_INITIAL_SILENCE = Duration.ofSeconds(1);
    private static final Duration MAX_RECONNECT = Duration.ofMillis(700);
    private static final Duration MAX_SILENCE = Duration.ofSeconds(6);
    private static final Duration MAX_SUCCESSIVE_FAILURES = Duration.ofMillis(5_900);
    private static final long DRAIN_GRACE_MICROS = 2_800_000;
    private static final long EMPTY_LINE_INTERVAL_MS = 500;

    private final NioEventLoopGroup eventLoopGroup = new NioEventLoopGroup(1);
    private final EventLoop eventLoop = eventLoopGroup.next();
    private final BlockingQueue<String> updates = new LinkedBlockingQueue<>();
    private FakeHttpServer discoveryServer;
    private DiscoveryClient client;

    @BeforeEach
    void open() throws IOException {
        discoveryServer = new FakeHttpServer();
        Map<String, Object> settings = BalancerServerFixtures.settings();
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

    /** Records lists as texts such as "DELTA 43 [b]", and failures as "FAILED". */
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
        return BalancerServerFixtures.oneEndpointJson(
                revision, complete, endpointId, ENDPOINT_ADDRESS);
    }

    private static void assertElapsedBelow(Duration bound, long startNanos) {
        Duration elapsed = Duration.ofNanos(System.nanoTime() - startNanos);
        assertTrue(elapsed.compareTo(bound) < 0, elapsed.toMillis() + " ms");
    }

    private FakeHttpServer.ReceivedRequest expectWatchFrom(int revision)
            throws InterruptedException {
        FakeHttpServer.ReceivedRequest watch = discoveryServer.nextRequest();
        assertEquals(
                "GET /api/targets?watch=1&from=" + revision + " HTTP/1.1", watch.requestLine());
        return watch;
    }

    /**
     * Responds to the newest watch until the client has received the payload. If the test is slow,
     * the client may close a watch before its response.
     *
     * @return the watch that was answered
     */
    private FakeHttpServer.ReceivedRequest answerNewestWatch(
            int revision, String payload, String expectedUpdate) {
        return await("the update " + expectedUpdate)
                .until(
                        () -> tryAnswerNewestWatch(revision, payload, expectedUpdate),
                        Objects::nonNull);
    }

    // Returns null if the client has closed the watch.
    private FakeHttpServer.ReceivedRequest tryAnswerNewestWatch(
            int revision, String payload, String expectedUpdate) throws InterruptedException {
        FakeHttpServer.ReceivedRequest watch = expectWatchFrom(revision);
        while (!discoveryServer.hasNoQueuedRequests()) {
            watch = expectWatchFrom(revision);
        }
        try {
            watch.sendRaw(CHUNKED_HEAD + chunk(payload));
        } catch (IOException e) {
            return null;
        }
        String update = updates.poll(UPDATE_TIMEOUT_MS, TimeUnit.MILLISECONDS);
        if (update == null) {
            return null;
        }
        assertEquals(expectedUpdate, update);
        return watch;
    }

    private String nextUpdate() throws InterruptedException {
        return String.valueOf(updates.poll(TestAwait.TIMEOUT.toMillis(), TimeUnit.MILLISECONDS));
    }

    /**
     * While discovery is down, its agent accepts connections but sends nothing. Changes that
     * discovery learns when it comes back must arrive within the drain grace period.
     */
    @Test
    void initiallySilentWatchIsReopenedInTime() throws Exception {
        FakeHttpServer.ReceivedRequest silentWatch = expectWatchFrom(41);
        long openedAtNanos = System.nanoTime();
        expectWatchFrom(41);
        assertElapsedBelow(MAX_INITIAL_SILENCE, openedAtNanos);
        assertTrue(silentWatch.awaitClosedByPeer(), "the silent watch is closed");
        answerNewestWatch(41, listJson(51, true, "new") + "\n", "COMPLETE 51 [new]");
    }

    /**
     * While an agent accepts no connections, the system repeats a lost connect only after seconds.
     * A new connect must reach the agent as soon as it accepts again.
     */
    @Test
    void unconnectedWatchIsRetriedInTime() throws Exception {
        expectWatchFrom(41);
        try (FullBacklogListener backlogListener = new FullBacklogListener()) {
            eventLoop.execute(
                    () -> client.reconnectTo(SocketAddressParser.parse(backlogListener.address())));
            TimeUnit.MILLISECONDS.sleep(FULL_BACKLOG_MS);
            long reachableAtNanos = System.nanoTime();
            String head = FakeHttpServer.readHead(backlogListener.acceptNext().getInputStream());
            assertTrue(head.contains("watch=1&from=41"), head);
            assertElapsedBelow(MAX_RECONNECT, reachableAtNanos);
        }
    }

    /**
     * Changes that a watch misses must be known 6 s after it fell silent, within a list or between
     * two lists.
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
        assertElapsedBelow(MAX_SILENCE, silentSinceNanos);
    }

    private static BalancerServer balancer(String mode, String discoveryAddress) {
        Map<String, Object> settings = BalancerServerFixtures.settings();
        settings.put("MembershipMode", mode);
        settings.put("Rules", BalancerServerFixtures.rules(DRAIN_GRACE_MICROS));
        return new BalancerServer(
                BalancerServerFixtures.config(
                        Map.of("discovery", discoveryAddress, "seed", "1", "settings", settings)),
                RoutingEngine::new,
                false,
                line -> {});
    }

    /**
     * One deadline covers successive failures: the watch falls silent, the next calls time out, the
     * call after them is reset, and a backoff follows each failure. In poll mode the routing policy
     * makes the next call.
     */
    @ParameterizedTest
    @CsvSource(
            useHeadersInDisplayName = true,
            textBlock =
                    """
                mode, calls that time out
                push, 2
                ask,  1
                """)
    void successiveFailuresEndWithinNotifyDeadline(String mode, int timedOutCalls)
            throws Exception {
        try (FakeHttpServer server = new FakeHttpServer()) {
            BalancerServer balancer = balancer(mode, server.address());
            try {
                balancer.start();
                SilencedWatch silenced = silenceAnsweredWatch(server);
                FakeHttpServer.ReceivedRequest nextCall = silenced.nextCall();
                for (int i = 0; i < timedOutCalls; i++) {
                    assertTrue(nextCall.awaitClosedByPeer(), "call " + i + " timed out");
                    nextCall = server.nextRequest();
                }
                nextCall.reset();
                // A response to this call would bring the missed change.
                server.nextRequest();
                assertElapsedBelow(MAX_SUCCESSIVE_FAILURES, silenced.silentSinceNanos());
            } finally {
                balancer.stop();
            }
        }
    }

    private record SilencedWatch(long silentSinceNanos, FakeHttpServer.ReceivedRequest nextCall) {}

    // Answers watches until one is answered in time; that watch is silent from then on.
    private static SilencedWatch silenceAnsweredWatch(FakeHttpServer server) throws Exception {
        FakeHttpServer.ReceivedRequest nextCall = server.nextRequest();
        long silentSinceNanos;
        do {
            nextCall.sendRaw(CHUNKED_HEAD + chunk(listJson(42, true, "a") + "\n"));
            silentSinceNanos = System.nanoTime();
            nextCall = server.nextRequest();
        } while (!nextCall.requestLine().contains("from=42"));
        return new SilencedWatch(silentSinceNanos, nextCall);
    }

    /**
     * After half a list, discovery sends only the empty lines that mean "no change". The client
     * must close the watch: a list that followed would be parsed as part of the incomplete one.
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
                        // The client has closed the watch; the exception ends this periodic task.
                        throw new UncheckedIOException(e);
                    }
                },
                0,
                EMPTY_LINE_INTERVAL_MS,
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
        // A blank line means that nothing has changed since the revision.
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

    /** Guards against a list that ends where discovery did not end it. */
    @ParameterizedTest
    @ValueSource(
            strings = {
                "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n1%1$08x\r\n%2$s\r\n",
                "HTTP/1.0 200 OK\r\nContent-Length: %1$d\r\nContent-Length: 999\r\n\r\n%2$s"
            })
    void listOfAmbiguousLengthIsNotUsed(String response) throws Exception {
        String list = listJson(43, true, "ambiguous");
        FakeHttpServer.ReceivedRequest watch = expectWatchFrom(41);
        watch.sendRaw(String.format(response, list.length(), list));
        assertTrue(watch.awaitClosedByPeer(), "the watch is closed");
        answerNewestWatch(41, listJson(51, true, "whole") + "\n", "COMPLETE 51 [whole]");
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
        assertTrue(fetch.awaitClosedByPeer(), "the fetch is complete");
        watch.sendRaw(chunk(listJson(47, false, "c") + "\n"));
        assertEquals("DELTA 47 [c]", nextUpdate());
    }

    /** The configuration is reloaded while the old watch is silent, reset or within a list. */
    @ParameterizedTest(name = "old watch: {0}")
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
                assertTrue(watch.awaitClosedByPeer(), "the old watch is closed");
            }
            newWatch.sendRaw(CHUNKED_HEAD + chunk(listJson(7, true, "elsewhere") + "\n"));
            // The new discovery counts revisions on its own, so a list with a lower revision is
            // newer.
            assertEquals("COMPLETE 7 [elsewhere]", nextUpdate());
        }
    }
}

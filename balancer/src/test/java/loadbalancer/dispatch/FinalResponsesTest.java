package loadbalancer.dispatch;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertSame;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.netty.channel.embedded.EmbeddedChannel;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.util.concurrent.Future;
import java.util.List;
import java.util.concurrent.TimeUnit;
import loadbalancer.admin.EventLog;
import loadbalancer.admin.Metrics;
import loadbalancer.config.BootSettings;
import loadbalancer.config.SettingsFlattener;
import loadbalancer.config.SettingsReader;
import loadbalancer.proxy.BodyRelay;
import loadbalancer.proxy.MemoryBudget;
import loadbalancer.proxy.ProxyRequestFixtures;
import loadbalancer.server.BalancerServerFixtures;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** Tests what is sent, counted, logged and reported to the policy when a request ends. */
class FinalResponsesTest {
    private final EmbeddedChannel channel = new EmbeddedChannel();
    private final BootSettings boot =
            SettingsReader.read(SettingsFlattener.flatten(BalancerServerFixtures.settings()));
    private final EventLog events = new EventLog(line -> {}, System::nanoTime);
    private final Metrics metrics = new Metrics(boot.classNames());
    private final DispatchContext context =
            new DispatchContext(
                    channel.eventLoop(), boot, new MonotonicClock(), line -> {}, events, metrics);
    private final RecordingPolicy policy = new RecordingPolicy();
    private final RequestTable requests =
            new RequestTable(channel.eventLoop(), RequestIds.inMemory());
    private final RecordingResponseSender sender = new RecordingResponseSender();
    private final FinalResponses responses =
            new FinalResponses(
                    context, requests, new PolicyEvents(policy, context.clock(), line -> {}));
    private Exchange exchange;
    private Future<?> fallbackTimer;

    @BeforeEach
    void addRequest() {
        exchange = requests.add(ProxyRequestFixtures.getRequest("r1"), sender, context.nowMicros());
        fallbackTimer = channel.eventLoop().schedule(() -> {}, 1, TimeUnit.HOURS);
        exchange.setFallbackTimer(fallbackTimer);
    }

    @AfterEach
    void close() {
        channel.finishAndReleaseAll();
    }

    private String countersOfClass0() {
        return String.valueOf(metrics.snapshot(true, 0, 0, 0).countersByClass().get(0));
    }

    private void assertCounted(int served, int rejected, int failed) {
        assertEquals(
                "ClassCounters[className=read, served=%d, rejected=%d, failed=%d]"
                        .formatted(served, rejected, failed),
                countersOfClass0());
    }

    private void startStream() {
        ExchangeAttempt attempt = exchange.addAttempt("s1", 0);
        BodyRelay body = new BodyRelay(channel, new MemoryBudget(1_000_000), false, () -> {});
        responses.stream(attempt, null, -1, body);
    }

    @Test
    void servedRequestIsSentAndCounted() {
        DefaultFullHttpResponse response =
                new DefaultFullHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.OK);
        responses.serve(exchange, response);
        assertEquals(List.of("response"), sender.responses());
        assertCounted(1, 0, 0);
        assertEquals(0, requests.pendingRequestCount());
        assertEquals(1, response.refCnt(), "the caller releases the response");
        response.release();
    }

    @Test
    void finalResponseCancelsTheFallback() {
        responses.fail(exchange);
        assertTrue(fallbackTimer.isCancelled());
    }

    @Test
    void rejectionIsSentCountedAndLogged() {
        responses.reject(exchange, 7);
        assertEquals(List.of("rejection 7"), sender.responses());
        assertCounted(0, 1, 0);
        assertEquals(1, events.count(EventLog.Kind.REFUSED));
        assertNull(requests.find(exchange.id()));
        assertEquals(0, requests.pendingRequestCount());
    }

    @Test
    void failureIsSentCountedAndLogged() {
        responses.fail(exchange);
        assertEquals(List.of("failure"), sender.responses());
        assertCounted(0, 0, 1);
        assertEquals(1, events.count(EventLog.Kind.FAILED));
        assertNull(requests.find(exchange.id()));
        assertEquals(0, requests.pendingRequestCount());
    }

    @Test
    void rejectedRequestIsKeptWhileAnAttemptIsInFlight() {
        exchange.addAttempt("s1", 0);
        responses.reject(exchange, 0);
        assertSame(exchange, requests.find(exchange.id()));
    }

    /** The caller ends the attempts before it removes the request. */
    @Test
    void failureAtTheDeadlineIsSentAndKeptInTheTable() {
        responses.failUnanswered(exchange);
        assertEquals(List.of("failure"), sender.responses());
        assertCounted(0, 0, 1);
        assertSame(exchange, requests.find(exchange.id()));
    }

    @Test
    void streamedResponseIsPendingUntilItsEnd() {
        startStream();
        assertEquals(List.of("stream"), sender.responses());
        assertTrue(exchange.isClosed());
        assertEquals(1, requests.pendingRequestCount());
        assertCounted(0, 0, 0);
        sender.finishStream(true);
        assertEquals(0, requests.pendingRequestCount());
        assertCounted(1, 0, 0);
    }

    @Test
    void incompleteStreamIsCountedAsFailed() {
        startStream();
        sender.finishStream(false);
        assertEquals(0, requests.pendingRequestCount());
        assertCounted(0, 0, 1);
    }

    @Test
    void endOfAnAbandonedStreamIsNotCounted() {
        startStream();
        responses.finishStreaming(exchange);
        sender.finishStream(false);
        assertEquals(0, requests.pendingRequestCount());
        assertCounted(0, 0, 0);
    }

    @Test
    void disconnectEndsTheRequestWithoutResponse() {
        responses.closeDisconnected(exchange);
        assertEquals(List.of(), sender.responses());
        assertEquals(List.of("disconnected"), policy.events());
        assertNull(requests.find(exchange.id()));
        assertEquals(0, requests.pendingRequestCount());
        assertCounted(0, 0, 0);
    }

    @Test
    void disconnectAfterTheFinalResponseIsIgnored() {
        responses.fail(exchange);
        responses.closeDisconnected(exchange);
        assertEquals(List.of(), policy.events());
        assertEquals(0, requests.pendingRequestCount());
    }

    @Test
    void requestOfAConnectedClientStaysOpen() {
        responses.closeIfDisconnected(exchange);
        assertFalse(exchange.isClosed());
    }

    @Test
    void unreadDisconnectIsDetectedByTheCheck() {
        sender.disconnect();
        responses.closeIfDisconnected(exchange);
        assertTrue(exchange.isClosed());
        assertEquals(List.of("disconnected"), policy.events());
    }

    @Test
    void connectionIsNotCheckedAfterTheFinalResponse() {
        responses.fail(exchange);
        sender.onConnectionCheck(
                () -> {
                    throw new AssertionError("the connection was checked");
                });
        responses.closeIfDisconnected(exchange);
    }
}

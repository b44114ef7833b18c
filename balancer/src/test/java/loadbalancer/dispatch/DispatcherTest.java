package loadbalancer.dispatch;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;

import io.netty.channel.embedded.EmbeddedChannel;
import java.util.List;
import loadbalancer.admin.EventLog;
import loadbalancer.admin.Metrics;
import loadbalancer.config.BootSettings;
import loadbalancer.config.SettingsFlattener;
import loadbalancer.config.SettingsReader;
import loadbalancer.proxy.BodyRelay;
import loadbalancer.proxy.MemoryBudget;
import loadbalancer.proxy.ProxyRequestFixtures;
import loadbalancer.server.BalancerServerTest;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

/** Tests the final response of a request, with a recording policy and a recording client side. */
class DispatcherTest {
    private final EmbeddedChannel channel = new EmbeddedChannel();
    private final RecordingPolicy policy = new RecordingPolicy();
    private final RecordingResponseSender sender = new RecordingResponseSender();
    private final Dispatcher dispatcher = newDispatcher();
    private RequestHandle handle;
    private Runnable onLogLine = () -> {};

    private Dispatcher newDispatcher() {
        BootSettings boot =
                SettingsReader.read(SettingsFlattener.flatten(BalancerServerTest.settings()));
        return new Dispatcher(
                channel.eventLoop(),
                boot,
                policy,
                line -> {},
                new EventLog(line -> onLogLine.run(), System::nanoTime),
                new Metrics(boot.classNames()),
                RequestIds.inMemory());
    }

    @AfterEach
    void close() {
        channel.finishAndReleaseAll();
    }

    private void submitRequest() {
        handle = dispatcher.submitRequest(ProxyRequestFixtures.getRequest("r1"), sender);
    }

    @Test
    void rejectionIsTheOneFinalResponse() {
        submitRequest();
        assertEquals(1, dispatcher.pendingRequestCount());
        policy.actions().reject(policy.requestId(), 7);
        policy.actions().fail(policy.requestId());
        assertEquals(List.of("rejection 7"), sender.responses());
        assertEquals(0, dispatcher.pendingRequestCount());
    }

    private void assertFailedAndFreed() {
        assertEquals(List.of("failure"), sender.responses());
        assertEquals(0, dispatcher.pendingRequestCount());
        assertEquals(1, sender.finishedCount());
    }

    /** Guards against requests that stay in the table without a timer, here one without an id. */
    @Test
    void requestWhoseBeginThrowsIsFailedAndFreed() {
        dispatcher.submitRequest(ProxyRequestFixtures.unsafeRequestWithoutId(), sender);
        assertFailedAndFreed();
        assertEquals(List.of("disconnected"), policy.events());
    }

    /** Guards against a response that depends on a log line. */
    @Test
    void rejectionIsSentIfItsLogLineThrows() {
        submitRequest();
        onLogLine = DispatcherTest::throwPlanted;
        assertThrows(
                ArithmeticException.class, () -> policy.actions().reject(policy.requestId(), 7));
        assertEquals(List.of("rejection 7"), sender.responses());
        assertEquals(0, dispatcher.pendingRequestCount());
        assertEquals(1, sender.finishedCount());
    }

    private static void throwPlanted() {
        throw new ArithmeticException("planted");
    }

    /** Guards against a begin that throws and whose log line throws too. */
    @Test
    void requestIsFreedIfTheLogLineOfItsExceptionThrows() {
        onLogLine = DispatcherTest::throwPlanted;
        assertThrows(
                ArithmeticException.class,
                () ->
                        dispatcher.submitRequest(
                                ProxyRequestFixtures.unsafeRequestWithoutId(), sender));
        assertFailedAndFreed();
    }

    /** Guards against attempts that stay in flight; without a pool, sending throws. */
    @Test
    void attemptWhoseSendThrowsEndsAsNotConnected() {
        submitRequest();
        assertThrows(
                NullPointerException.class,
                () -> policy.actions().send(policy.requestId(), "s1", 0));
        assertEquals(List.of("request", "attempt 0 CONNECT_FAILED"), policy.events());
        policy.actions().fail(policy.requestId());
        assertFailedAndFreed();
    }

    /** Guards against attempts whose end is not reported to the policy. */
    @Test
    void endOfAnAttemptIsReportedIfItsLogLineThrows() {
        submitRequest();
        onLogLine = DispatcherTest::throwPlanted;
        assertThrows(
                RuntimeException.class, () -> policy.actions().send(policy.requestId(), "s1", 0));
        assertEquals(List.of("request", "attempt 0 CONNECT_FAILED"), policy.events());
    }

    /** Guards against a body's end that throws and leaves the request without a deadline. */
    @Test
    void requestWhoseBodyEndThrowsIsFailedAndFreed() {
        BodyRelay upload = new BodyRelay(channel, new MemoryBudget(1_000_000), false, () -> {});
        handle =
                dispatcher.submitRequest(
                        ProxyRequestFixtures.streamedRequest("r1", upload, -1), sender);
        sender.onBodySentQuery(DispatcherTest::throwPlanted);
        handle.onBodyComplete();
        assertFailedAndFreed();
    }

    /** The check reads the connection, so the disconnect may be reported before it returns. */
    @Test
    void disconnectReportedDuringTheCheckEndsTheRequestOnce() {
        submitRequest();
        sender.disconnect();
        sender.onConnectionCheck(() -> handle.onClientDisconnected());
        policy.actions().send(policy.requestId(), "s1", 0);
        assertEquals(List.of(), sender.responses());
        assertEquals(0, dispatcher.pendingRequestCount());
        assertEquals(
                List.of("request", "disconnected", "attempt 0 NOT_SENT closed"), policy.events());
    }
}

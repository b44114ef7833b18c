package loadbalancer.dispatch;

import static org.junit.jupiter.api.Assertions.assertEquals;

import io.netty.channel.embedded.EmbeddedChannel;
import java.util.List;
import loadbalancer.admin.EventLog;
import loadbalancer.admin.Metrics;
import loadbalancer.config.BootSettings;
import loadbalancer.config.SettingsFlattener;
import loadbalancer.config.SettingsReader;
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

    private Dispatcher newDispatcher() {
        BootSettings boot =
                SettingsReader.read(SettingsFlattener.flatten(BalancerServerTest.settings()));
        return new Dispatcher(
                channel.eventLoop(),
                boot,
                policy,
                line -> {},
                new EventLog(line -> {}, System::nanoTime),
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

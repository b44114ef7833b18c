package loadbalancer.dispatch;

import static org.junit.jupiter.api.Assertions.assertEquals;

import io.netty.channel.embedded.EmbeddedChannel;
import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpResponse;
import java.util.ArrayList;
import java.util.List;
import java.util.function.Consumer;
import loadbalancer.admin.EventLog;
import loadbalancer.admin.Metrics;
import loadbalancer.config.BootSettings;
import loadbalancer.config.SettingsFlattener;
import loadbalancer.config.SettingsReader;
import loadbalancer.proxy.BodyRelay;
import loadbalancer.proxy.ProxyRequest;
import loadbalancer.server.BalancerServerTest;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

/** The final response of a request, with a client side that the test plays. */
class DispatcherTest {
    private final EmbeddedChannel channel = new EmbeddedChannel();
    private final RecordingPolicy policy = new RecordingPolicy();
    private final List<String> responses = new ArrayList<>();
    private final Dispatcher dispatcher = newDispatcher();
    private Runnable onConnectionCheck = () -> {};
    private boolean connected = true;
    private RequestHandle handle;

    private final class RecordingSender implements ResponseSender {
        @Override
        public boolean isClientConnected() {
            onConnectionCheck.run();
            return connected;
        }

        @Override
        public void send(FullHttpResponse response) {
            responses.add("response");
        }

        @Override
        public void send(
                HttpResponse responseHead,
                long contentLength,
                BodyRelay body,
                Consumer<Boolean> onFinished) {
            responses.add("stream");
        }

        @Override
        public void reject(long retryAfterMicros) {
            responses.add("rejection " + retryAfterMicros);
        }

        @Override
        public void fail() {
            responses.add("failure");
        }
    }

    private Dispatcher newDispatcher() {
        BootSettings boot =
                SettingsReader.read(SettingsFlattener.flatten(BalancerServerTest.settings()));
        return new Dispatcher(
                channel.eventLoop(),
                boot,
                policy,
                line -> {},
                new EventLog(line -> {}, System::nanoTime),
                new Metrics(boot.classNames()));
    }

    @AfterEach
    void close() {
        channel.finishAndReleaseAll();
    }

    private void submitRequest() {
        ProxyRequest proxyRequest =
                new ProxyRequest(
                        HttpMethod.GET,
                        "/",
                        new DefaultHttpHeaders().set("Req-Id", "r1"),
                        new byte[0],
                        0,
                        0,
                        null,
                        20_000_000,
                        -1,
                        false);
        handle = dispatcher.submitRequest(proxyRequest, new RecordingSender());
    }

    @Test
    void rejectionIsTheOneFinalResponse() {
        submitRequest();
        assertEquals(1, dispatcher.pendingRequestCount());
        policy.actions().reject(policy.requestId(), 7);
        policy.actions().fail(policy.requestId());
        assertEquals(List.of("rejection 7"), responses);
        assertEquals(0, dispatcher.pendingRequestCount());
    }

    /** Reading the connection for the check may report the disconnect before the check returns. */
    @Test
    void disconnectReportedDuringTheCheckEndsTheRequestOnce() {
        submitRequest();
        connected = false;
        onConnectionCheck = () -> handle.onClientDisconnected();
        policy.actions().send(policy.requestId(), "s1", 0);
        assertEquals(List.of(), responses);
        assertEquals(0, dispatcher.pendingRequestCount());
        assertEquals(
                List.of("request", "disconnected", "attempt 0 NOT_SENT closed"), policy.events());
    }
}

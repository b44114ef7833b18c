package loadbalancer.upstream;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.embedded.EmbeddedChannel;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpRequestEncoder;
import io.netty.handler.codec.http.HttpResponse;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import loadbalancer.DeferredTasksChannel;
import loadbalancer.admin.EventLog;
import loadbalancer.admin.Metrics;
import loadbalancer.proxy.BodyRelay;
import loadbalancer.proxy.FileDescriptorBudget;
import loadbalancer.proxy.PeerMemory;
import loadbalancer.proxy.ProxyRequest;
import loadbalancer.proxy.ProxyRequestFixtures;
import loadbalancer.routing.api.AttemptOutcome;
import loadbalancer.routing.api.LoadReport;

/**
 * Opens connections to the endpoint s1 over embedded channels. The test advances the clock, acts as
 * the endpoint and reads the outcomes of the requests.
 */
final class EmbeddedUpstream implements AutoCloseable {
    /** Idle time in µs from which a connection is no longer used. */
    static final long MAX_IDLE_MICROS = 1_000_000;

    private final EmbeddedChannel loopChannel = new EmbeddedChannel();
    private final List<EmbeddedChannel> channels = new ArrayList<>();
    private final List<String> outcomes = new ArrayList<>();
    private final EventLog events = new EventLog(line -> {}, System::nanoTime);
    private final PoolContext context;
    private final EndpointPool endpoint;
    private long nowMicros = 1_000_000_000;
    private BodyRelay streamedResponse;

    EmbeddedUpstream() {
        this(MAX_IDLE_MICROS);
    }

    EmbeddedUpstream(long maxIdleMicros) {
        loopChannel.freezeTime();
        context =
                new PoolContext(
                        loopChannel.eventLoop(),
                        () -> nowMicros,
                        events,
                        new Metrics(List.of("read")),
                        new FileDescriptorBudget(1_000, false),
                        PeerMemory.forHeap(Runtime.getRuntime().maxMemory()),
                        maxIdleMicros);
        endpoint = newEndpoint("s1");
    }

    EndpointPool newEndpoint(String endpointId) {
        EndpointPool newEndpoint = new EndpointPool(context, endpointId);
        newEndpoint.updateAddress(new InetSocketAddress("127.0.0.1", 80));
        return newEndpoint;
    }

    PoolContext context() {
        return context;
    }

    EndpointPool endpoint() {
        return endpoint;
    }

    /** Returns the outcomes of the requests, in order. */
    List<String> outcomes() {
        return outcomes;
    }

    /** Returns the number of malformed or unsolicited responses in the event log. */
    long malformedCount() {
        return events.count(EventLog.Kind.UNREADABLE);
    }

    /** Returns the body of the last streamed response, or null if none was streamed. */
    BodyRelay streamedResponse() {
        return streamedResponse;
    }

    /** Advances the clock and runs the timers that are due. */
    void advanceMicros(long micros) {
        nowMicros += micros;
        loopChannel.advanceTimeBy(micros, TimeUnit.MICROSECONDS);
        loopChannel.runScheduledPendingTasks();
    }

    UpstreamRequest request(String requestId) {
        return request(ProxyRequestFixtures.getRequest(requestId));
    }

    UpstreamRequest request(ProxyRequest proxyRequest) {
        return UpstreamRequest.attempt(
                proxyRequest, ProxyRequestFixtures.TIME_LEFT_MICROS, new RecordingListener());
    }

    /** Opens an established connection that writes {@code request}, or is idle if that is null. */
    UpstreamConnection connect(UpstreamRequest request) {
        return connect(endpoint, request);
    }

    /** Opens an established connection that is idle from now on. */
    UpstreamConnection connectIdle(EndpointPool owner) {
        return connect(owner, null);
    }

    private UpstreamConnection connect(EndpointPool owner, UpstreamRequest request) {
        UpstreamConnection connection = new UpstreamConnection(context, owner);
        ResponseReader responseReader = new ResponseReader(context, connection);
        EmbeddedChannel channel =
                new DeferredTasksChannel(
                        connection,
                        responseReader.decoder(),
                        new HttpRequestEncoder(),
                        responseReader);
        channels.add(channel);
        if (request != null) {
            connection.assign(request);
        }
        context.onConnectionOpened();
        connection.open(channel.newSucceededFuture());
        return connection;
    }

    static DeferredTasksChannel channel(UpstreamConnection connection) {
        return (DeferredTasksChannel) connection.channel();
    }

    /** Returns what has been written to the endpoint since the last call. */
    static String written(UpstreamConnection connection) {
        StringBuilder text = new StringBuilder();
        ByteBuf part = channel(connection).readOutbound();
        while (part != null) {
            text.append(part.toString(StandardCharsets.ISO_8859_1));
            part.release();
            part = channel(connection).readOutbound();
        }
        return text.toString();
    }

    /** Delivers bytes from the endpoint in one read. */
    static void receive(UpstreamConnection connection, String text) {
        channel(connection).writeInbound(Unpooled.copiedBuffer(text, StandardCharsets.ISO_8859_1));
    }

    @Override
    public void close() {
        channels.forEach(EmbeddedChannel::finishAndReleaseAll);
        loopChannel.finishAndReleaseAll();
    }

    private final class RecordingListener implements UpstreamResponseListener {
        @Override
        public void onComplete(AttemptOutcome outcome, FullHttpResponse response, LoadReport load) {
            String body =
                    response == null
                            ? ""
                            : " " + response.content().toString(StandardCharsets.ISO_8859_1);
            String report = load == null ? "" : " in flight " + load.inFlight();
            outcomes.add(outcome + body + report);
        }

        @Override
        public void onResponseStarted(
                HttpResponse responseHead, long contentLength, BodyRelay body, LoadReport load) {
            outcomes.add("stream of " + contentLength);
            streamedResponse = body;
        }
    }
}

package loadbalancer.http;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.embedded.EmbeddedChannel;
import io.netty.channel.nio.NioEventLoopGroup;
import java.io.IOException;
import java.nio.channels.ServerSocketChannel;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import loadbalancer.admin.EventLog;
import loadbalancer.admin.Metrics;
import loadbalancer.config.BootSettings;
import loadbalancer.config.SettingsFlattener;
import loadbalancer.config.SettingsReader;
import loadbalancer.dispatch.Dispatcher;
import loadbalancer.dispatch.RecordingPolicy;
import loadbalancer.dispatch.RequestIds;
import loadbalancer.proxy.FileDescriptorBudget;
import loadbalancer.proxy.PeerMemory;
import loadbalancer.server.BalancerServerFixtures;

/**
 * The client side of a ready balancer on embedded channels. The test acts as the clients and the
 * routing policy. The listener's socket is never bound, so nothing can connect to it.
 */
final class EmbeddedFrontend implements AutoCloseable {
    /** The head of a request of the class book, without the headers that describe its body. */
    static final String POST_HEAD =
            "POST /k1 HTTP/1.1\r\nReq-Id: r1\r\nReq-Kind: book\r\nReq-Deadline-Ms: 20000\r\n";

    /** The limit on the memory of all clients. */
    static final int MAX_MEMORY_BYTES = 1024 * 1024;

    /** The limit on the memory of pipelined requests. */
    static final int MAX_PIPELINED_MEMORY_BYTES = 512 * 1024;

    private static final int MAX_STREAMED_MEMORY_BYTES = 256 * 1024;
    private static final int DEFAULT_DESCRIPTOR_LIMIT = 1_000;

    private final EmbeddedChannel loopChannel = new EmbeddedChannel();
    private final NioEventLoopGroup listenerGroup = new NioEventLoopGroup(1);
    private final List<EmbeddedChannel> channels = new ArrayList<>();
    private final List<String> logLines = new ArrayList<>();
    // Whether the next log line can't be written.
    private boolean nextLogLineThrows;
    private final RecordingPolicy policy = new RecordingPolicy();
    private final ServingState servingState = new ServingState();
    private final FileDescriptorBudget descriptorBudget;
    private final ClientConnections connections;
    private final PeerMemory memory =
            PeerMemory.of(MAX_MEMORY_BYTES, MAX_PIPELINED_MEMORY_BYTES, MAX_STREAMED_MEMORY_BYTES);
    private final FrontendContext context;
    // The number of idle upstream connections, which may be closed to free their descriptors.
    private int idleUpstreams;

    EmbeddedFrontend() {
        this(DEFAULT_DESCRIPTOR_LIMIT);
    }

    EmbeddedFrontend(int descriptorLimit) {
        loopChannel.freezeTime();
        BootSettings boot = bootSettings();
        EventLog events = new EventLog(this::logLine, System::nanoTime);
        descriptorBudget = new FileDescriptorBudget(descriptorLimit, false);
        connections =
                new ClientConnections(
                        loopChannel.eventLoop(),
                        servingState,
                        unboundListener(),
                        descriptorBudget,
                        this::closeIdleUpstream);
        Dispatcher dispatcher =
                new Dispatcher(
                        loopChannel.eventLoop(),
                        boot,
                        policy,
                        line -> {},
                        events,
                        new Metrics(boot.classNames()),
                        RequestIds.inMemory());
        context =
                new FrontendContext(
                        loopChannel.eventLoop(),
                        servingState,
                        connections,
                        new RequestProcessor(
                                new ProxyRequestParser(boot), dispatcher, servingState),
                        events,
                        memory);
        servingState.setReady();
    }

    private void logLine(String line) {
        if (nextLogLineThrows) {
            nextLogLineThrows = false;
            throw new IllegalStateException("planted");
        }
        logLines.add(line);
    }

    /** Makes the next log line throw an exception. */
    void makeNextLogLineThrow() {
        nextLogLineThrows = true;
    }

    /** Returns settings with the classes read, pay and book, one of each kind of idempotency. */
    static BootSettings bootSettings() {
        return SettingsReader.read(SettingsFlattener.flatten(BalancerServerFixtures.settings()));
    }

    /** Returns a request of the class read, which has no body. */
    static String getRequest(String requestId) {
        return "GET /k1 HTTP/1.1\r\nReq-Id: "
                + requestId
                + "\r\nReq-Kind: read\r\nReq-Deadline-Ms: 20000\r\n\r\n";
    }

    private ClientListener unboundListener() {
        ClientListener listener = new ClientListener(listenerGroup.next(), memory, channel -> {});
        try {
            listener.listen(ServerSocketChannel.open());
        } catch (IOException e) {
            throw new IllegalStateException(e);
        }
        return listener;
    }

    private boolean closeIdleUpstream() {
        if (idleUpstreams == 0) {
            return false;
        }
        idleUpstreams--;
        descriptorBudget.socketClosed();
        return true;
    }

    /** Opens idle connections to upstreams, which take descriptors. */
    void openIdleUpstreams(int count) {
        idleUpstreams += count;
        for (int i = 0; i < count; i++) {
            descriptorBudget.socketOpened();
        }
    }

    int idleUpstreams() {
        return idleUpstreams;
    }

    RecordingPolicy policy() {
        return policy;
    }

    /** Returns the reserved bytes of all clients. */
    long reservedMemoryBytes() {
        return memory.total().usedBytes();
    }

    ServingState servingState() {
        return servingState;
    }

    ClientConnections connections() {
        return connections;
    }

    FrontendContext context() {
        return context;
    }

    List<String> logLines() {
        return logLines;
    }

    /** Connects a client. */
    ClientConnection connect(EmbeddedChannel channel) {
        channels.add(channel);
        ClientConnection connection = new ClientConnection(channel, context);
        connection.open();
        return connection;
    }

    /** Delivers bytes of a client in one read and ends the event loop iteration. */
    void receive(EmbeddedChannel channel, String text) {
        channel.writeInbound(Unpooled.copiedBuffer(text, StandardCharsets.ISO_8859_1));
        runTasks();
    }

    /** Ends the event loop iteration. */
    void runTasks() {
        loopChannel.runPendingTasks();
        channels.forEach(EmbeddedChannel::runPendingTasks);
    }

    /** Advances the event loop's time and runs the timers that are due. */
    void advanceMillis(long millis) {
        loopChannel.advanceTimeBy(millis, TimeUnit.MILLISECONDS);
        loopChannel.runScheduledPendingTasks();
    }

    /** Returns the delay to the event loop's next timer in ms, or -1 if there is none. */
    long nextTimerMillis() {
        long delayNanos = loopChannel.runScheduledPendingTasks();
        return delayNanos < 0 ? -1 : TimeUnit.NANOSECONDS.toMillis(delayNanos);
    }

    /** Makes the policy reject the request that it was given last. */
    void rejectLastRequest() {
        policy.actions().reject(policy.requestId(), 0);
        runTasks();
    }

    /** Returns the text that has been written to the client since the last call. */
    static String written(EmbeddedChannel channel) {
        StringBuilder text = new StringBuilder();
        ByteBuf part = channel.readOutbound();
        while (part != null) {
            text.append(part.toString(StandardCharsets.ISO_8859_1));
            part.release();
            part = channel.readOutbound();
        }
        return text.toString();
    }

    /** Returns the status codes of the responses written since the last call. */
    static List<String> writtenStatuses(EmbeddedChannel channel) {
        return written(channel)
                .lines()
                .filter(line -> line.startsWith("HTTP/1.1 "))
                .map(line -> line.split(" ")[1])
                .toList();
    }

    @Override
    public void close() {
        channels.forEach(EmbeddedChannel::finishAndReleaseAll);
        loopChannel.finishAndReleaseAll();
        listenerGroup.shutdownGracefully(0, 1, TimeUnit.SECONDS);
    }
}

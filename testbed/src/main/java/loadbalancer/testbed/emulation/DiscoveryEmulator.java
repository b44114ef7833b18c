package loadbalancer.testbed.emulation;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.socket.SocketChannel;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.DefaultHttpContent;
import io.netty.handler.codec.http.DefaultHttpResponse;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpObjectAggregator;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpServerCodec;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.function.Function;
import loadbalancer.testbed.fault.FaultableDiscoveryAgent;
import loadbalancer.testbed.workload.RandomStreams;
import org.apache.commons.rng.UniformRandomProvider;

/**
 * Emulates the discovery agent on the machine of one balancer, with its faults. It serves the
 * complete endpoint list and watches of its changes. A change reaches the agent after a delay that
 * the scenario sets, and then watches get it immediately. Confined to the emulation's event loop,
 * except for {@link #open}.
 */
public final class DiscoveryEmulator implements FaultableDiscoveryAgent {
    private static final long FIRST_REVISION = 1;
    private static final long NO_WATCH = -1;
    private static final String LIST_URI = "/api/targets";
    private static final String WATCH_URI_PREFIX = "/api/targets?watch=1&from=";
    // Interval of a watch's heartbeats, which are empty lines.
    private static final long HEARTBEAT_INTERVAL_MICROS = 2_000_000;
    private static final int MAX_REQUEST_BYTES = 4 << 10;

    private final Emulation emulation;
    private final int balancer;
    private final UniformRandomProvider random;
    private final Function<DiscoveryEntry, Map<String, Object>> entryWriter;
    private final Map<Integer, DiscoveryEntry> entriesByUpstream = new LinkedHashMap<>();
    // The change at index i has the revision FIRST_REVISION + i + 1.
    private final List<DiscoveryEntry> changes = new ArrayList<>();
    // Changes that are applied when the agent is no longer stale.
    private final List<DiscoveryEntry> withheldChanges = new ArrayList<>();
    private final Set<DiscoveryConnection> connections = new LinkedHashSet<>();
    private ControllableListener listener;
    private long lastChangeMicros;
    private long extraDelayMicros;
    private int silentCount;
    private int staleCount;
    private int denyCount;
    private long requestCount;

    /**
     * Creates an agent.
     *
     * @param random source of the delays of changes
     * @param initialEntries the endpoint list at the first revision
     * @param entryWriter converts an entry to the JSON object that this balancer gets
     */
    DiscoveryEmulator(
            Emulation emulation,
            int balancer,
            UniformRandomProvider random,
            List<DiscoveryEntry> initialEntries,
            Function<DiscoveryEntry, Map<String, Object>> entryWriter) {
        this.emulation = emulation;
        this.balancer = balancer;
        this.random = random;
        this.entryWriter = entryWriter;
        initialEntries.forEach(entry -> entriesByUpstream.put(entry.upstreamNumber(), entry));
    }

    /**
     * Opens the address and starts the heartbeats of watches. Called before the run, outside the
     * event loop.
     *
     * @throws IOException if the address cannot be bound
     */
    void open(LoopbackAddresses addresses) throws IOException {
        listener =
                new ControllableListener(
                        emulation, addresses.backendAddress(balancer), this::onAccepted);
        listener.open();
        emulation.eventLoop().execute(this::sendHeartbeats);
    }

    /** Returns the address at which the balancer reaches this agent. */
    InetSocketAddress address() {
        return listener.address();
    }

    private long revision() {
        return FIRST_REVISION + changes.size();
    }

    /**
     * Schedules a change, which reaches the agent after the delay and in the order of the calls.
     */
    void onChange(DiscoveryEntry entry) {
        double delayMs =
                RandomStreams.drawUniform(
                        random, emulation.scenario().network().discoveryDelayMs());
        long delayMicros = Math.round(1e3 * delayMs);
        lastChangeMicros =
                Math.max(lastChangeMicros, emulation.nowMicros() + delayMicros + extraDelayMicros);
        emulation.schedule(lastChangeMicros, () -> applyChange(entry));
    }

    private void applyChange(DiscoveryEntry entry) {
        if (staleCount > 0) {
            withheldChanges.add(entry);
            return;
        }
        if (entry.status().equals(DiscoveryEntry.REMOVED)) {
            entriesByUpstream.remove(entry.upstreamNumber());
        } else {
            entriesByUpstream.put(entry.upstreamNumber(), entry);
        }
        changes.add(entry);
        connections.forEach(DiscoveryConnection::sendPending);
    }

    @Override
    public void addExtraDelayMicros(long deltaMicros) {
        extraDelayMicros += deltaMicros;
    }

    @Override
    public void setSilent(boolean active) {
        silentCount += active ? 1 : -1;
        connections.forEach(DiscoveryConnection::sendPending);
    }

    @Override
    public void setStale(boolean active) {
        staleCount += active ? 1 : -1;
        if (staleCount == 0) {
            List<DiscoveryEntry> released = new ArrayList<>(withheldChanges);
            withheldChanges.clear();
            released.forEach(this::applyChange);
        }
    }

    @Override
    public void setRefusing(boolean active) {
        denyCount += active ? 1 : -1;
        listener.setState(
                denyCount > 0
                        ? ControllableListener.State.REFUSING
                        : ControllableListener.State.OPEN);
        if (denyCount > 0) {
            new ArrayList<>(connections).forEach(connection -> connection.channel().close());
        }
    }

    private void sendHeartbeats() {
        connections.forEach(DiscoveryConnection::sendHeartbeat);
        emulation
                .eventLoop()
                .schedule(this::sendHeartbeats, HEARTBEAT_INTERVAL_MICROS, TimeUnit.MICROSECONDS);
    }

    /** Returns the agent's current complete list in discovery's JSON form. */
    Map<String, Object> completeList() {
        return message(revision(), true, new ArrayList<>(entriesByUpstream.values()));
    }

    private Map<String, Object> message(
            long listRevision, boolean complete, List<DiscoveryEntry> entries) {
        return Map.of(
                "rev",
                listRevision,
                "all",
                complete,
                "targets",
                entries.stream().map(entryWriter).toList());
    }

    private void recordNotified(List<DiscoveryEntry> entries) {
        entries.forEach(
                entry ->
                        emulation
                                .invariants()
                                .endpointNotified(
                                        balancer,
                                        entry.upstreamNumber(),
                                        entry.isUp(),
                                        emulation.nowMicros()));
    }

    /** Returns the number of requests for the list, including watches. */
    public long requestCount() {
        return requestCount;
    }

    private void onAccepted(SocketChannel channel) {
        channel.pipeline()
                .addLast(
                        new HttpServerCodec(),
                        new HttpObjectAggregator(MAX_REQUEST_BYTES),
                        new DiscoveryConnection(channel));
    }

    /** Serves one connection, on which a balancer polls the list or watches its changes. */
    private final class DiscoveryConnection extends ServerConnection {
        // The URI of a request without a response, or null.
        private String pendingUri;
        // The last revision that was sent on the watch, or NO_WATCH.
        private long sentRevision = NO_WATCH;

        DiscoveryConnection(SocketChannel channel) {
            super(channel);
        }

        @Override
        void onOpened() {
            connections.add(this);
        }

        @Override
        void onClosed() {
            connections.remove(this);
        }

        @Override
        protected void channelRead0(ChannelHandlerContext context, FullHttpRequest request) {
            requestCount++;
            pendingUri = request.uri();
            sendPending();
        }

        void sendPending() {
            if (silentCount > 0) {
                return;
            }
            if (pendingUri != null) {
                String uri = pendingUri;
                pendingUri = null;
                if (uri.startsWith(WATCH_URI_PREFIX)) {
                    startWatch(uri.substring(uri.lastIndexOf('=') + 1));
                } else {
                    sendCompleteList(uri.equals(LIST_URI));
                }
            }
            if (sentRevision != NO_WATCH && sentRevision < revision()) {
                List<DiscoveryEntry> newChanges =
                        changes.subList((int) (sentRevision - FIRST_REVISION), changes.size());
                sendMessage(message(revision(), false, newChanges));
                recordNotified(newChanges);
                sentRevision = revision();
            }
        }

        private void sendCompleteList(boolean found) {
            ByteBuf body =
                    Unpooled.copiedBuffer(
                            found ? Json.write(completeList()) : "", StandardCharsets.UTF_8);
            DefaultFullHttpResponse response =
                    new DefaultFullHttpResponse(
                            HttpVersion.HTTP_1_1,
                            found ? HttpResponseStatus.OK : HttpResponseStatus.NOT_FOUND,
                            body);
            HttpUtil.setContentLength(response, body.readableBytes());
            channel().writeAndFlush(response);
            recordNotified(new ArrayList<>(entriesByUpstream.values()));
            recordRemovals();
        }

        private void startWatch(String requestedRevision) {
            DefaultHttpResponse response =
                    new DefaultHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.OK);
            response.headers().set(HttpHeaderNames.TRANSFER_ENCODING, "chunked");
            channel().write(response);
            long fromRevision =
                    requestedRevision.matches("\\d{1,18}") ? Long.parseLong(requestedRevision) : -1;
            if (fromRevision >= FIRST_REVISION && fromRevision <= revision()) {
                sentRevision = fromRevision;
                recordNotified(entriesAt(fromRevision));
                if (fromRevision == revision()) {
                    sendHeartbeat();
                }
                return;
            }
            sendMessage(completeList());
            recordNotified(new ArrayList<>(entriesByUpstream.values()));
            recordRemovals();
            sentRevision = revision();
        }

        // A complete list announces the removal of an upstream by its absence.
        // A balancer that asks for what changed after a revision has the list of that revision, a
        // restarted one from its configuration.
        private List<DiscoveryEntry> entriesAt(long listRevision) {
            Map<Integer, DiscoveryEntry> lastChanges = new LinkedHashMap<>();
            changes.subList(0, (int) (listRevision - FIRST_REVISION))
                    .forEach(entry -> lastChanges.put(entry.upstreamNumber(), entry));
            return List.copyOf(lastChanges.values());
        }

        private void recordRemovals() {
            changes.stream()
                    .filter(entry -> !entriesByUpstream.containsKey(entry.upstreamNumber()))
                    .forEach(
                            entry ->
                                    emulation
                                            .invariants()
                                            .endpointNotified(
                                                    balancer,
                                                    entry.upstreamNumber(),
                                                    false,
                                                    emulation.nowMicros()));
        }

        void sendHeartbeat() {
            if (sentRevision != NO_WATCH && silentCount == 0) {
                write("\n");
            }
        }

        private void sendMessage(Map<String, Object> message) {
            write(Json.write(message) + "\n");
        }

        private void write(String text) {
            channel()
                    .writeAndFlush(
                            new DefaultHttpContent(
                                    Unpooled.copiedBuffer(text, StandardCharsets.UTF_8)));
        }
    }

    void close() {
        listener.close();
    }
}

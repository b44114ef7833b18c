package loadbalancer.http;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.netty.channel.embedded.EmbeddedChannel;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.Supplier;
import java.util.stream.Stream;
import loadbalancer.DeferredTasksChannel;
import loadbalancer.NestedListeners;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

/**
 * Tests which connections are evicted when file descriptors run short. The limit of 60 descriptors
 * leaves 30 sockets, 20 of them for clients as long as upstreams need no more than 10.
 */
class ClientConnectionsTest {
    private static final int DESCRIPTOR_LIMIT = 60;
    private static final int MAX_CLIENTS = 20;
    private static final long ACCEPT_RETRY_INTERVAL_MS = 50;
    private static final long FIRST_BYTE_TIMEOUT_MS = 50;
    // With this number of upstream connections, clients may have only MIN_CLIENTS connections.
    private static final int MANY_UPSTREAMS = 12;
    private static final int MIN_CLIENTS = 10;

    private final EmbeddedFrontend frontend = new EmbeddedFrontend(DESCRIPTOR_LIMIT);
    private final ClientConnections connections = frontend.connections();

    @AfterEach
    void close() {
        frontend.close();
    }

    /** Connects a client that sends nothing. */
    private DeferredTasksChannel connect() {
        DeferredTasksChannel channel = new DeferredTasksChannel();
        frontend.connect(channel);
        return channel;
    }

    private UnreadInputChannel connectSilent() {
        UnreadInputChannel channel = new UnreadInputChannel();
        frontend.connect(channel);
        return channel;
    }

    private DeferredTasksChannel connectAndSend(String text) {
        DeferredTasksChannel channel = connect();
        frontend.receive(channel, text);
        return channel;
    }

    /** Connects a client whose valid request is being processed, so that it is never evicted. */
    private DeferredTasksChannel connectBusy() {
        return connectAndSend(EmbeddedFrontend.getRequest("busy"));
    }

    /** Connects a client that is idle after {@code requestCount} valid requests. */
    private DeferredTasksChannel connectIdle(int requestCount) {
        DeferredTasksChannel channel = connect();
        for (int i = 0; i < requestCount; i++) {
            frontend.receive(channel, EmbeddedFrontend.getRequest("idle"));
            frontend.rejectLastRequest();
        }
        return channel;
    }

    /** Connects a client that has sent only a readiness check: answered, but unproven. */
    private DeferredTasksChannel connectReadinessCheck() {
        return connectAndSend("GET /-/ready HTTP/1.1\r\n\r\n");
    }

    private DuplexEmbeddedChannel connectHalfClosed() {
        DuplexEmbeddedChannel channel = new DuplexEmbeddedChannel();
        frontend.connect(channel).closeForDrain();
        assertTrue(channel.isOpen());
        return channel;
    }

    /** Connects clients up to the limit, as on sockets: their tasks run later. */
    private <T extends DeferredTasksChannel> List<T> connectUpToLimit(Supplier<T> newClient) {
        List<T> clients = Stream.generate(newClient).limit(MAX_CLIENTS).toList();
        clients.forEach(DeferredTasksChannel::deferTasks);
        return clients;
    }

    private static void assertOpen(
            int expectedCount, List<? extends DeferredTasksChannel> channels) {
        assertEquals(expectedCount, channels.stream().filter(EmbeddedChannel::isOpen).count());
        channels.forEach(DeferredTasksChannel::resumeTasks);
        assertEquals(expectedCount, channels.stream().filter(EmbeddedChannel::isOpen).count());
    }

    private void connectBusyUntil(int clientCount, int connectedClients) {
        for (int i = connectedClients; i < clientCount; i++) {
            connectBusy();
        }
    }

    @Test
    void nothingIsEvictedUpToTheLimit() {
        EmbeddedChannel idle = connectIdle(1);
        EmbeddedChannel halfClosed = connectHalfClosed();
        connectBusyUntil(MAX_CLIENTS, 2);
        assertTrue(idle.isOpen());
        assertTrue(halfClosed.isOpen());
    }

    @Test
    void halfClosedConnectionsAreEvictedFirst() {
        EmbeddedChannel idle = connectIdle(1);
        EmbeddedChannel readinessCheck = connectReadinessCheck();
        EmbeddedChannel halfClosed = connectHalfClosed();
        connectBusyUntil(MAX_CLIENTS + 1, 3);
        assertFalse(halfClosed.isOpen());
        assertTrue(readinessCheck.isOpen());
        assertTrue(idle.isOpen());
    }

    @Test
    void unprovenConnectionsWithoutProgressAreEvictedBeforeIdleOnes() {
        EmbeddedChannel idle = connectIdle(1);
        EmbeddedChannel readinessCheck = connectReadinessCheck();
        connectBusyUntil(MAX_CLIENTS + 1, 2);
        assertFalse(readinessCheck.isOpen());
        assertTrue(idle.isOpen());
    }

    @Test
    void unprovenConnectionWithoutProgressForLongestIsEvictedFirst() {
        EmbeddedChannel first = connectReadinessCheck();
        EmbeddedChannel second = connectReadinessCheck();
        // This progress moves the first connection to the end of the eviction order.
        frontend.receive(first, "GET /-/ready HTTP/1.1\r\n\r\n");
        connectBusyUntil(MAX_CLIENTS + 1, 2);
        assertFalse(second.isOpen());
        assertTrue(first.isOpen());
    }

    @Test
    void longestIdleConnectionIsEvictedFirst() {
        EmbeddedChannel first = connectIdle(1);
        EmbeddedChannel second = connectIdle(1);
        connectBusyUntil(MAX_CLIENTS + 1, 2);
        assertFalse(first.isOpen());
        assertTrue(second.isOpen());
    }

    @Test
    void idleConnectionWithOneRequestIsEvictedBeforeThoseWithMore() {
        EmbeddedChannel regular = connectIdle(2);
        EmbeddedChannel oneTime = connectIdle(1);
        connectBusyUntil(MAX_CLIENTS + 1, 2);
        assertFalse(oneTime.isOpen());
        assertTrue(regular.isOpen());
    }

    @Test
    void idleUpstreamConnectionIsClosedBeforeIdleClientConnections() {
        EmbeddedChannel idle = connectIdle(1);
        frontend.openIdleUpstreams(29);
        connections.enforceLimit();
        assertTrue(frontend.idleUpstreams() < 29);
        assertTrue(idle.isOpen());
    }

    @Test
    void connectionsWithRequestsAreNeverEvicted() {
        List<EmbeddedChannel> busy = new ArrayList<>();
        for (int i = 0; i < MAX_CLIENTS + 5; i++) {
            busy.add(connectBusy());
        }
        connections.enforceLimit();
        assertTrue(busy.stream().allMatch(EmbeddedChannel::isOpen));
    }

    @Test
    void connectionThatBecomesIdleIsEvictedWhileOthersWait() {
        EmbeddedChannel next = connect();
        frontend.receive(next, EmbeddedFrontend.getRequest("next"));
        String nextRequestId = frontend.policy().requestId();
        connectBusyUntil(MAX_CLIENTS + 1, 1);
        assertTrue(next.isOpen());
        frontend.policy().actions().reject(nextRequestId, 0);
        frontend.runTasks();
        assertFalse(next.isOpen());
    }

    @Test
    void connectionThatBecomesIdleStaysOpenIfNoneWaits() {
        EmbeddedChannel idle = connectIdle(1);
        assertTrue(idle.isOpen());
        assertEquals(
                "1 client connections (0 unproven, 1 idle, 0 half-closed)", connections.toString());
    }

    /** No event signals that an unproven connection has become stalled. */
    @Test
    void limitIsCheckedAgainWhileConnectionsWait() {
        connectBusyUntil(MAX_CLIENTS + 1, 0);
        assertEquals(ACCEPT_RETRY_INTERVAL_MS, frontend.nextTimerMillis());
        frontend.advanceMillis(ACCEPT_RETRY_INTERVAL_MS);
        assertEquals(ACCEPT_RETRY_INTERVAL_MS, frontend.nextTimerMillis());
    }

    @Test
    void stoppingBalancerThatAcceptsNothingEvictsNothing() {
        EmbeddedChannel idle = connectIdle(1);
        frontend.servingState().setStopping();
        connectBusyUntil(MAX_CLIENTS + 1, 1);
        assertTrue(idle.isOpen());
    }

    @Test
    void connectionsWithoutRequestAreClosedAndOnEmptyRunsOnce() {
        AtomicInteger notified = new AtomicInteger();
        EmbeddedChannel idle = connectIdle(1);
        EmbeddedChannel unproven = connect();
        EmbeddedChannel busy = connectBusy();
        EmbeddedChannel receiving = connectAndSend("G");
        connections.setOnEmpty(notified::incrementAndGet);
        connections.closeWithoutRequest();
        frontend.runTasks();
        assertFalse(idle.isOpen());
        assertFalse(unproven.isOpen());
        assertTrue(busy.isOpen());
        assertTrue(receiving.isOpen());
        assertEquals(0, notified.get());
        busy.close();
        receiving.close();
        frontend.runTasks();
        assertEquals(1, notified.get());
        connections.closeWithoutRequest();
        frontend.runTasks();
        assertEquals(1, notified.get());
    }

    @Test
    void connectionsAreNumberedFromOne() {
        connect();
        assertEquals(2, connections.nextConnectionNumber());
        assertEquals(2, connections.acceptedCount());
    }

    /**
     * A closed connection that stays registered must not be evicted again and again: Netty defers
     * the close listeners of connections that are closed within each other's listeners.
     */
    @Test
    void evictionEndsIfManyClientsHadClosedTheirConnections() throws InterruptedException {
        List<UnreadInputChannel> peers = connectUpToLimit(this::connectSilent);
        peers.forEach(UnreadInputChannel::addClose);
        Thread.sleep(FIRST_BYTE_TIMEOUT_MS + 10);
        frontend.openIdleUpstreams(MANY_UPSTREAMS);
        connections.enforceLimit();
        assertOpen(MIN_CLIENTS, peers);
    }

    /** A connection whose close listener is deferred must not count as open after its eviction. */
    @Test
    void noMoreUnprovenConnectionsAreEvictedThanNecessary() {
        List<DeferredTasksChannel> clients = connectUpToLimit(this::connectReadinessCheck);
        frontend.openIdleUpstreams(MANY_UPSTREAMS);
        connections.enforceLimit();
        assertOpen(MIN_CLIENTS, clients);
    }

    @Test
    void noMoreHalfClosedConnectionsAreEvictedThanNecessary() {
        List<DuplexEmbeddedChannel> clients = connectUpToLimit(this::connectHalfClosed);
        frontend.openIdleUpstreams(MANY_UPSTREAMS);
        connections.enforceLimit();
        assertOpen(MIN_CLIENTS, clients);
    }

    @Test
    void noMoreIdleConnectionsAreEvictedThanNecessary() {
        List<DeferredTasksChannel> clients = connectUpToLimit(() -> connectIdle(1));
        // One fewer than would exhaust the descriptors, so that no upstream connection is closed.
        frontend.openIdleUpstreams(9);
        NestedListeners.runAtMaxDepth(connections::enforceLimit);
        assertOpen(13, clients);
    }
}

package loadbalancer.http;

import io.netty.channel.EventLoop;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import java.util.concurrent.Future;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;
import java.util.stream.Stream;
import loadbalancer.proxy.FileDescriptorBudget;

/**
 * Tracks all client connections and enforces the limit on their number: decides which connections
 * are evicted when file descriptors run short, and whether new ones are accepted. Confined to the
 * event loop.
 *
 * <p>An open connection is <em>unproven</em> until its first valid request, <em>idle</em> while it
 * waits for the next request, and <em>half closed</em> once its output has been shut down and the
 * balancer waits for the client to close it.
 */
final class ClientConnections {
    private static final long FIRST_BYTE_TIMEOUT_NANOS = 50_000_000;
    private static final long REQUEST_STALL_TIMEOUT_NANOS = 300_000_000;
    private static final long ACCEPT_RETRY_INTERVAL_MS = 50;

    private final EventLoop loop;
    private final ServingState servingState;
    private final ClientListener listener;
    private final FileDescriptorBudget descriptorBudget;
    private final BooleanSupplier closeLongestIdleUpstream;
    // Ordered by idle time, the longest first.
    private final Set<ClientConnection> idle = new LinkedHashSet<>();
    // Ordered by the time without progress, the longest first.
    private final Set<ClientConnection> unproven = new LinkedHashSet<>();
    private final Set<ClientConnection> halfClosed = new LinkedHashSet<>();
    private int openCount;
    private long acceptedCount;
    // Null unless the connection limit is reached and connections wait in the backlog.
    private Future<?> acceptRetry;
    // Null before a shutdown and after the callback has run.
    private Runnable onEmpty;

    /**
     * Creates an empty set of connections.
     *
     * @param closeLongestIdleUpstream closes the longest idle connection to an upstream; returns
     *     false if there is none
     */
    ClientConnections(
            EventLoop loop,
            ServingState servingState,
            ClientListener listener,
            FileDescriptorBudget descriptorBudget,
            BooleanSupplier closeLongestIdleUpstream) {
        this.loop = loop;
        this.servingState = servingState;
        this.listener = listener;
        this.descriptorBudget = descriptorBudget;
        this.closeLongestIdleUpstream = closeLongestIdleUpstream;
    }

    /** Counts one more connection and returns its number, from 1. */
    long nextConnectionNumber() {
        return ++acceptedCount;
    }

    /** Returns the number of connections ever accepted. */
    long acceptedCount() {
        return acceptedCount;
    }

    /**
     * Registers an accepted connection as unproven. The caller calls {@link #enforceLimitWhileOpen}
     * next.
     */
    void add(ClientConnection connection) {
        descriptorBudget.socketOpened();
        openCount++;
        unproven.add(connection);
    }

    /** Unregisters a closed connection. The caller calls {@link #afterRemoval} next. */
    void remove(ClientConnection connection) {
        descriptorBudget.socketClosed();
        openCount--;
        idle.remove(connection);
        unproven.remove(connection);
        halfClosed.remove(connection);
    }

    /** Applies the limit again, after a removed connection has released its resources. */
    void afterRemoval() {
        enforceLimitWhileOpen();
        notifyIfEmpty();
    }

    /** Records that bytes were received; returns whether the connection is still unproven. */
    boolean markActive(ClientConnection connection) {
        idle.remove(connection);
        boolean isUnproven = unproven.remove(connection);
        if (isUnproven) {
            unproven.add(connection);
        }
        return isUnproven;
    }

    /** Records that the connection has sent a valid request. */
    void markProven(ClientConnection connection) {
        unproven.remove(connection);
    }

    /**
     * Records that the connection waits for its next request. It may be evicted in favor of a
     * connection that waits in the backlog.
     */
    void markIdle(ClientConnection connection) {
        idle.add(connection);
        if (acceptRetry != null) {
            enforceLimit();
        }
    }

    /** Records that the connection is about to be closed, so that it is not evicted again. */
    void markClosing(ClientConnection connection) {
        unproven.remove(connection);
        idle.remove(connection);
    }

    /** Records that the connection is half closed. */
    void markHalfClosed(ClientConnection connection) {
        halfClosed.add(connection);
    }

    /** Returns the connections without a request, not even a partly received one. */
    List<ClientConnection> withoutRequest() {
        return Stream.concat(idle.stream(), unproven.stream())
                .filter(connection -> !connection.holdsRequest())
                .distinct()
                .toList();
    }

    /** Sets a callback that runs once, on the event loop, when no connection is left. */
    void setOnEmpty(Runnable onEmpty) {
        this.onEmpty = onEmpty;
    }

    /** Closes the connections without a request, after the listener has been closed. */
    void closeWithoutRequest() {
        withoutRequest().forEach(ClientConnection::closeGracefully);
        notifyIfEmpty();
    }

    private void notifyIfEmpty() {
        if (openCount == 0 && onEmpty != null) {
            loop.execute(onEmpty);
            onEmpty = null;
        }
    }

    /** Calls {@link #enforceLimit}, unless the balancer is stopping and no longer accepts. */
    void enforceLimitWhileOpen() {
        if (listener.isAccepting() || !servingState.isStopping()) {
            enforceLimit();
        }
    }

    /**
     * Frees file descriptors before an accept can fail for lack of them, and keeps some for
     * connections to upstreams. Evicts in this order: half closed connections, unproven connections
     * without progress, idle connections to upstreams, and idle client connections, whose clients
     * have to connect again. If that is not enough, new connections wait in the backlog.
     */
    void enforceLimit() {
        evictHalfClosed();
        evictStalled();
        while (descriptorBudget.isExhausted()) {
            if (!closeLongestIdleUpstream.getAsBoolean()) {
                break;
            }
        }
        evictIdle();
        boolean hasCapacity = !isLimitReached();
        listener.setHasCapacity(hasCapacity);
        if (!hasCapacity && acceptRetry == null) {
            // No event signals that an unproven connection has become stalled.
            acceptRetry =
                    loop.schedule(
                            this::retryAccept, ACCEPT_RETRY_INTERVAL_MS, TimeUnit.MILLISECONDS);
        }
    }

    private void retryAccept() {
        acceptRetry = null;
        if (listener.isOpen()) {
            enforceLimit();
        }
    }

    private boolean isLimitReached() {
        return descriptorBudget.isClientLimitReached(openCount);
    }

    private void evictHalfClosed() {
        while (isLimitReached() && !halfClosed.isEmpty()) {
            ClientConnection oldestConnection = halfClosed.iterator().next();
            halfClosed.remove(oldestConnection);
            oldestConnection.closeAtOnce();
        }
    }

    private void evictStalled() {
        ClientConnection stalledConnection = findStalled();
        while (stalledConnection != null && isLimitReached()) {
            if (stalledConnection.confirmStalled()) {
                stalledConnection.drop("no request yet, evicted at the limit");
            }
            stalledConnection = findStalled();
        }
    }

    private void evictIdle() {
        while (isLimitReached() && !idle.isEmpty()) {
            findIdleToEvict().drop("idle, evicted at the limit");
        }
    }

    // Returns null if there is none. The set's order puts slow connections that make progress
    // behind those that make none.
    private ClientConnection findStalled() {
        long nowNanos = System.nanoTime();
        for (ClientConnection connection : unproven) {
            if (!connection.isRequestInProgress()
                    && nowNanos - connection.lastProgressNanos() >= stallTimeoutNanos(connection)) {
                return connection;
            }
        }
        return null;
    }

    private static long stallTimeoutNanos(ClientConnection connection) {
        if (connection.isReceiving()) {
            return REQUEST_STALL_TIMEOUT_NANOS;
        }
        boolean answeredAndIdle =
                connection.requestCount() > 0 && !connection.isRequestInProgress();
        return answeredAndIdle ? 0 : FIRST_BYTE_TIMEOUT_NANOS;
    }

    // Prefers the longest idle connection that has sent at most one request; otherwise chooses the
    // longest idle one.
    private ClientConnection findIdleToEvict() {
        return idle.stream()
                .filter(connection -> connection.requestCount() <= 1)
                .findFirst()
                .orElseGet(() -> idle.iterator().next());
    }

    @Override
    public String toString() {
        return openCount
                + " client connections ("
                + unproven.size()
                + " unproven, "
                + idle.size()
                + " idle, "
                + halfClosed.size()
                + " half-closed)";
    }
}

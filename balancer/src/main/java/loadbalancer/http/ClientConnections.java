package loadbalancer.http;

import io.netty.channel.EventLoop;
import java.util.HashSet;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import java.util.concurrent.Future;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;
import java.util.stream.Stream;
import loadbalancer.proxy.FileDescriptorBudget;
import loadbalancer.proxy.MemoryReservation;

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
    private final Set<ClientConnection> open = new HashSet<>();
    // Ordered by idle time, the longest first.
    private final Set<ClientConnection> idle = new LinkedHashSet<>();
    // Ordered by the time without progress, the longest first: slow connections that make progress
    // are behind those that make none.
    private final Set<ClientConnection> unproven = new LinkedHashSet<>();
    private final Set<ClientConnection> halfClosed = new LinkedHashSet<>();
    private long acceptedCount;
    // Whether enforceLimit is on the call stack.
    private boolean enforcingLimit;
    // Whether evictStalledHolders is on the call stack: its check reads connections, which may
    // themselves need memory.
    private boolean evictingHolders;
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
        open.add(connection);
        unproven.add(connection);
    }

    /** Unregisters a closed connection; does nothing if that has been done before. */
    void remove(ClientConnection connection) {
        if (!open.remove(connection)) {
            return;
        }
        descriptorBudget.socketClosed();
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
        if (open.isEmpty() && onEmpty != null) {
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
     *
     * <p>A call during an eviction does nothing: closing a connection runs its close listener,
     * which calls this method again, and the eviction checks the limit after each close anyway.
     */
    void enforceLimit() {
        if (enforcingLimit) {
            return;
        }
        enforcingLimit = true;
        try {
            evictConnections();
        } finally {
            enforcingLimit = false;
        }
        acceptIfBelowLimit();
    }

    private void evictConnections() {
        evictHalfClosed();
        evictStalled();
        while (descriptorBudget.isExhausted()) {
            if (!closeLongestIdleUpstream.getAsBoolean()) {
                break;
            }
        }
        evictIdle();
    }

    private void acceptIfBelowLimit() {
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
        return descriptorBudget.isClientLimitReached(open.size());
    }

    private void evictHalfClosed() {
        while (isLimitReached() && !halfClosed.isEmpty()) {
            ClientConnection oldestConnection = halfClosed.iterator().next();
            halfClosed.remove(oldestConnection);
            oldestConnection.closeAtOnce();
        }
    }

    // Visits each connection once, so that it ends even if a connection that should be closed
    // remains registered.
    private void evictStalled() {
        if (!isLimitReached()) {
            return;
        }
        long nowNanos = System.nanoTime();
        for (ClientConnection connection : List.copyOf(unproven)) {
            if (!isLimitReached()) {
                return;
            }
            if (isStalled(connection, nowNanos)) {
                evictIfStillStalled(connection);
            }
        }
    }

    private void evictIfStillStalled(ClientConnection connection) {
        if (connection.confirmStalled()) {
            connection.drop("no request yet, evicted at the limit");
        } else if (!connection.isActive()) {
            // The client had closed the connection, which the check has read.
            remove(connection);
        }
    }

    /**
     * Drops connections that hold the memory of an incomplete request and have stalled, because
     * there is no memory for another client.
     *
     * @param requester the connection that needs memory, which is not dropped
     * @return whether a connection was dropped
     */
    boolean evictStalledHolders(ClientConnection requester) {
        if (evictingHolders) {
            return false;
        }
        evictingHolders = true;
        try {
            return dropStalledHolders(requester);
        } finally {
            evictingHolders = false;
        }
    }

    private boolean dropStalledHolders(ClientConnection requester) {
        long nowNanos = System.nanoTime();
        boolean evicted = false;
        for (ClientConnection connection : List.copyOf(unproven)) {
            if (connection != requester
                    && connection.incompleteRequestBytes() > MemoryReservation.MAX_FREE_BYTES
                    && isStalled(connection, nowNanos)
                    && connection.confirmStalled()) {
                connection.drop("unfinished request, evicted for its memory");
                evicted = true;
            }
        }
        return evicted;
    }

    private void evictIdle() {
        while (isLimitReached() && !idle.isEmpty()) {
            findIdleToEvict().drop("idle, evicted at the limit");
        }
    }

    private boolean isStalled(ClientConnection connection, long nowNanos) {
        return unproven.contains(connection)
                && !connection.isRequestInProgress()
                && nowNanos - connection.lastProgressNanos() >= stallTimeoutNanos(connection);
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
        return open.size()
                + " client connections ("
                + unproven.size()
                + " unproven, "
                + idle.size()
                + " idle, "
                + halfClosed.size()
                + " half-closed)";
    }
}

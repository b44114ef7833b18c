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
 * All connections of clients, and the limit on their number: which of them are evicted where
 * descriptors run short, and whether new ones are accepted. Belongs to the event loop.
 *
 * <p>An open connection is <em>unproven</em> until its first proper request, <em>idle</em> while it
 * waits for a next request, and <em>half closed</em> once its output has been shut down and its
 * client's close is awaited.
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
    // The longest idle first.
    private final Set<ClientConnection> idle = new LinkedHashSet<>();
    // The longest without progress first.
    private final Set<ClientConnection> unproven = new LinkedHashSet<>();
    private final Set<ClientConnection> halfClosed = new LinkedHashSet<>();
    private int openCount;
    private long acceptedCount;
    // Null unless connections wait in the backlog for capacity.
    private Future<?> acceptRetry;
    // Null before a shutdown and once it has run.
    private Runnable onEmpty;

    /** {@code closeLongestIdleUpstream} returns whether there was one to close. */
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

    /** The number of connections ever accepted. */
    long acceptedCount() {
        return acceptedCount;
    }

    /** Registers an accepted connection, as unproven; {@link #enforceLimitWhileOpen} follows. */
    void add(ClientConnection connection) {
        descriptorBudget.socketOpened();
        openCount++;
        unproven.add(connection);
    }

    /** Unregisters a closed connection; {@link #afterRemoval} follows. */
    void remove(ClientConnection connection) {
        descriptorBudget.socketClosed();
        openCount--;
        idle.remove(connection);
        unproven.remove(connection);
        halfClosed.remove(connection);
    }

    /** To be called once a removed connection has released what it owned. */
    void afterRemoval() {
        enforceLimitWhileOpen();
        notifyIfEmpty();
    }

    /** Notes received bytes; returns whether the connection is still unproven. */
    boolean markActive(ClientConnection connection) {
        idle.remove(connection);
        boolean isUnproven = unproven.remove(connection);
        if (isUnproven) {
            unproven.add(connection);
        }
        return isUnproven;
    }

    /** Notes a proper request. */
    void markProven(ClientConnection connection) {
        unproven.remove(connection);
    }

    /** Notes that the connection waits for a next request; it may be evicted for a waiting one. */
    void markIdle(ClientConnection connection) {
        idle.add(connection);
        if (acceptRetry != null) {
            enforceLimit();
        }
    }

    /** Notes that the connection is about to be closed: it is not chosen for eviction again. */
    void markClosing(ClientConnection connection) {
        unproven.remove(connection);
        idle.remove(connection);
    }

    /** Notes that the client's close is awaited. */
    void markHalfClosed(ClientConnection connection) {
        halfClosed.add(connection);
    }

    /** The connections that hold nothing of a request. */
    List<ClientConnection> withoutRequest() {
        return Stream.concat(idle.stream(), unproven.stream())
                .filter(connection -> !connection.holdsRequest())
                .distinct()
                .toList();
    }

    /** Sets what runs on the event loop, once, when no connection is left. */
    void setOnEmpty(Runnable onEmpty) {
        this.onEmpty = onEmpty;
    }

    /** Closes the connections that hold no request, after the listener has been closed. */
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

    /** As {@link #enforceLimit}, unless this balancer stops and accepts no more. */
    void enforceLimitWhileOpen() {
        if (listener.isAccepting() || !servingState.isStopping()) {
            enforceLimit();
        }
    }

    /**
     * Frees descriptors before an accept can fail for want of them, and keeps some for connections
     * to upstreams. Evicted are, in this order: half closed connections; unproven ones without
     * progress; idle ones to upstreams; idle ones of clients, which have to connect again. Where
     * that is not enough, new connections wait in the backlog.
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
            // A stalled connection's time ends without any event.
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

    // Null where there is none. The set's order makes slow connections that do make progress come
    // after those that make none.
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

    // The longest idle one that has sent at most one request, else the longest idle.
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

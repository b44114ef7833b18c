package loadbalancer.upstream;

import java.net.InetSocketAddress;
import java.util.ArrayDeque;

/**
 * Holds the state of one endpoint: its address, the time until which it may receive requests, and
 * its idle connections. Event loop thread only.
 */
final class EndpointPool {
    /** Connections that have been idle for longer than this are preferred for reuse. */
    private static final long MIN_REUSE_IDLE_MICROS = 10_000;

    /**
     * Time between the last request and the end of the drain grace period, since the endpoint
     * measures that period with its own clock.
     */
    private static final long DRAIN_SAFETY_MARGIN_MICROS = 50_000;

    private static final long NOT_DRAINING = Long.MAX_VALUE;

    private final PoolContext context;
    private final String id;
    private InetSocketAddress address;
    private long drainDeadlineMicros = NOT_DRAINING;

    // Ordered by last use, the most recent last.
    private final ArrayDeque<UpstreamConnection> idleConnections = new ArrayDeque<>(0);

    EndpointPool(PoolContext context, String id) {
        this.context = context;
        this.id = id;
    }

    String id() {
        return id;
    }

    /** Returns the address, or null if no endpoint list has contained one. */
    InetSocketAddress address() {
        return address;
    }

    /** Sets the address and closes the idle connections if it has changed. */
    void updateAddress(InetSocketAddress newAddress) {
        if (!newAddress.equals(address)) {
            closeIdleConnections();
            address = newAddress;
        }
    }

    void markUp() {
        drainDeadlineMicros = NOT_DRAINING;
    }

    /**
     * Starts draining. If the endpoint is draining already, the earlier deadline applies.
     *
     * @param graceMicros the drain grace period in µs
     */
    void drain(long nowMicros, long graceMicros) {
        long marginMicros = Math.min(DRAIN_SAFETY_MARGIN_MICROS, graceMicros / 2);
        long deadlineMicros = nowMicros + Math.max(0, graceMicros - marginMicros);
        drainDeadlineMicros = Math.min(drainDeadlineMicros, deadlineMicros);
        closeIdleConnections();
    }

    /** Closes the idle connections and allows no further requests. */
    void shutDown() {
        drainDeadlineMicros = Long.MIN_VALUE;
        closeIdleConnections();
    }

    boolean isDraining() {
        return drainDeadlineMicros < NOT_DRAINING;
    }

    /** Returns whether the endpoint may no longer receive requests. */
    boolean isDrained() {
        return context.nowMicros() >= drainDeadlineMicros;
    }

    /** Returns whether the endpoint stopped receiving requests before {@code timeMicros}. */
    boolean wasDrainedBefore(long timeMicros) {
        return drainDeadlineMicros < timeMicros;
    }

    int idleCount() {
        return idleConnections.size();
    }

    void addIdle(UpstreamConnection connection) {
        idleConnections.addLast(connection);
    }

    void removeIdle(UpstreamConnection connection) {
        idleConnections.remove(connection);
    }

    /**
     * Takes an idle connection out of the pool for a request. Connections found to be unusable are
     * closed.
     *
     * @return the connection, or null if there is no usable one
     */
    UpstreamConnection acquireIdle() {
        UpstreamConnection connection = pollIdle();
        while (connection != null && !connection.isReusable()) {
            connection.close();
            connection = pollIdle();
        }
        return connection;
    }

    // Takes the most recently used connection that has been idle for MIN_REUSE_IDLE_MICROS, or else
    // the longest idle one. An unsolicited second response may arrive some milliseconds late. On a
    // connection that is reused at once it would be taken for the response to the next request.
    private UpstreamConnection pollIdle() {
        long idleSinceBefore = context.nowMicros() - MIN_REUSE_IDLE_MICROS;
        if (idleConnections.isEmpty()
                || idleConnections.peekFirst().idleSinceMicros() > idleSinceBefore) {
            return idleConnections.pollFirst();
        }
        UpstreamConnection candidate = idleConnections.pollLast();
        ArrayDeque<UpstreamConnection> tooRecent = new ArrayDeque<>();
        while (candidate.idleSinceMicros() > idleSinceBefore) {
            tooRecent.addFirst(candidate);
            candidate = idleConnections.pollLast();
        }
        idleConnections.addAll(tooRecent);
        return candidate;
    }

    /** Returns the longest idle connection without taking it out of the pool, or null. */
    UpstreamConnection longestIdle() {
        return idleConnections.peekFirst();
    }

    /** Removes and closes the longest idle connection. */
    void closeLongestIdle() {
        idleConnections.pollFirst().close();
    }

    /**
     * Closes the connections that have been idle for too long or that the endpoint has closed,
     * starting with the longest idle one and stopping at the first reusable one.
     */
    void closeExpiredConnections() {
        while (!idleConnections.isEmpty() && !idleConnections.peekFirst().isReusable()) {
            closeLongestIdle();
        }
    }

    void closeIdleConnections() {
        while (!idleConnections.isEmpty()) {
            closeLongestIdle();
        }
    }
}

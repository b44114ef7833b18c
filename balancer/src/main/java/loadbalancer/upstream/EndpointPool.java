package loadbalancer.upstream;

import java.net.InetSocketAddress;
import java.util.ArrayDeque;

/**
 * One endpoint: its address, until when it may be sent to, and its idle connections. Event loop
 * thread only.
 */
final class EndpointPool {
    /** An idle connection used longer ago than this is preferred to one used more recently. */
    private static final long MIN_REUSE_IDLE_MICROS = 10_000;

    /** Sending stops this long before the drain grace ends: the endpoint has a clock of its own. */
    private static final long DRAIN_SAFETY_MARGIN_MICROS = 50_000;

    private static final long NOT_DRAINING = Long.MAX_VALUE;

    private final PoolContext context;
    private final String id;
    private InetSocketAddress address;
    private long drainDeadlineMicros = NOT_DRAINING;

    /** Ordered by their last use, the most recent last. */
    private final ArrayDeque<UpstreamConnection> idleConnections = new ArrayDeque<>(0);

    EndpointPool(PoolContext context, String id) {
        this.context = context;
        this.id = id;
    }

    String id() {
        return id;
    }

    /** Null where no endpoint list has given one. */
    InetSocketAddress address() {
        return address;
    }

    /** Idle connections to the old address are closed where it changes. */
    void updateAddress(InetSocketAddress newAddress) {
        if (!newAddress.equals(address)) {
            closeIdleConnections();
            address = newAddress;
        }
    }

    // ---------------------------------------------------------------- draining

    void markUp() {
        drainDeadlineMicros = NOT_DRAINING;
    }

    /** Starts to drain; an earlier deadline stays. */
    void drain(long nowMicros, long graceMicros) {
        long marginMicros = Math.min(DRAIN_SAFETY_MARGIN_MICROS, graceMicros / 2);
        long deadlineMicros = nowMicros + Math.max(0, graceMicros - marginMicros);
        drainDeadlineMicros = Math.min(drainDeadlineMicros, deadlineMicros);
        closeIdleConnections();
    }

    /** Closes the idle connections; no request is sent from here on. */
    void shutDown() {
        drainDeadlineMicros = Long.MIN_VALUE;
        closeIdleConnections();
    }

    boolean isDraining() {
        return drainDeadlineMicros < NOT_DRAINING;
    }

    /** Whether the time to send requests is over. */
    boolean isDrained() {
        return context.nowMicros() >= drainDeadlineMicros;
    }

    /** Whether the time to send requests was over before {@code timeMicros}. */
    boolean wasDrainedBefore(long timeMicros) {
        return drainDeadlineMicros < timeMicros;
    }

    // ---------------------------------------------------------------- idle connections

    int idleCount() {
        return idleConnections.size();
    }

    void addIdle(UpstreamConnection connection) {
        idleConnections.addLast(connection);
    }

    void removeIdle(UpstreamConnection connection) {
        idleConnections.remove(connection);
    }

    /** Takes an idle connection for a request, or null; unusable ones are closed on the way. */
    UpstreamConnection acquireIdle() {
        UpstreamConnection connection = pollIdle();
        while (connection != null && !connection.isReusable()) {
            connection.close();
            connection = pollIdle();
        }
        return connection;
    }

    // The most recently used of those idle for MIN_REUSE_IDLE_MICROS, else the one idle for
    // longest. A
    // second response may arrive milliseconds late: on a connection that is used again at once it
    // would
    // be taken for the next request's.
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

    /** The connection that has been idle for longest, still in the pool, or null. */
    UpstreamConnection longestIdle() {
        return idleConnections.peekFirst();
    }

    /** Takes out the connection that has been idle for longest and closes it. */
    void closeLongestIdle() {
        idleConnections.pollFirst().close();
    }

    /**
     * Closes the connections that have been idle for too long or that their upstream has closed.
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

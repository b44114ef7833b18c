package loadbalancer.upstream;

import java.util.Collection;
import java.util.concurrent.Future;
import java.util.concurrent.TimeUnit;

/**
 * Closes connections that have been idle for too long and removes endpoints that have left, by a
 * timer that it owns, and closes the longest idle connection when a file descriptor is needed.
 * Event loop thread only.
 */
final class IdleConnectionEvictor {
    private static final long MIN_SWEEP_INTERVAL_MICROS = 10_000;
    private static final long MAX_SWEEP_INTERVAL_MICROS = 1_000_000;
    private static final int SWEEPS_PER_IDLE_TIMEOUT = 10;

    /** Time after which a drained endpoint is removed, so that the table stays bounded. */
    private static final long ENDPOINT_EXPIRY_MICROS = 60_000_000;

    private final PoolContext context;
    private final Collection<EndpointPool> endpointPools;
    private Future<?> sweepTask;

    /**
     * Creates an evictor; {@link #start} starts its timer.
     *
     * @param endpointPools a live view of the pool's endpoints, from which drained endpoints are
     *     removed
     */
    IdleConnectionEvictor(PoolContext context, Collection<EndpointPool> endpointPools) {
        this.context = context;
        this.endpointPools = endpointPools;
    }

    /** Starts the timer, which removes drained endpoints also if idle connections stay open. */
    void start() {
        long intervalMicros =
                Math.max(
                        MIN_SWEEP_INTERVAL_MICROS,
                        Math.min(
                                MAX_SWEEP_INTERVAL_MICROS,
                                context.maxIdleMicros() / SWEEPS_PER_IDLE_TIMEOUT));
        sweepTask =
                context.loop()
                        .scheduleWithFixedDelay(
                                this::sweep, intervalMicros, intervalMicros, TimeUnit.MICROSECONDS);
    }

    void stop() {
        if (sweepTask != null) {
            sweepTask.cancel(false);
        }
    }

    // Connections are closed well before their upstream closes them. A request that is sent while
    // the upstream closes the connection is reset and may have run, and requests of most classes
    // can't be retried then.
    private void sweep() {
        long expiredBefore = context.nowMicros() - ENDPOINT_EXPIRY_MICROS;
        endpointPools.removeIf(endpoint -> endpoint.wasDrainedBefore(expiredBefore));
        for (EndpointPool endpoint : endpointPools) {
            endpoint.closeExpiredConnections();
        }
    }

    /**
     * Closes the longest idle connection of all endpoints.
     *
     * @return false if no connection is idle
     */
    boolean closeLongestIdle() {
        EndpointPool ownerOfLongestIdle = null;
        long longestIdleSinceMicros = 0;
        for (EndpointPool endpoint : endpointPools) {
            UpstreamConnection candidate = endpoint.longestIdle();
            if (candidate != null
                    && (ownerOfLongestIdle == null
                            || candidate.idleSinceMicros() < longestIdleSinceMicros)) {
                ownerOfLongestIdle = endpoint;
                longestIdleSinceMicros = candidate.idleSinceMicros();
            }
        }
        if (ownerOfLongestIdle == null) {
            return false;
        }
        ownerOfLongestIdle.closeLongestIdle();
        return true;
    }
}

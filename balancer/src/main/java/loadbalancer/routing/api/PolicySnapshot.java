package loadbalancer.routing.api;

import java.util.List;

/**
 * What a routing policy has learnt, as of one time, to be restored after a crash. The policy itself
 * weighs it by its age when it restores it; what discovery says takes precedence.
 *
 * @param endpoints the endpoints that were listed
 * @param usualLatenciesMicros the usual latency of each class, µs, by class index
 */
public record PolicySnapshot(List<EndpointSnapshot> endpoints, List<Double> usualLatenciesMicros) {
    /** Copies the lists. */
    public PolicySnapshot {
        endpoints = List.copyOf(endpoints);
        usualLatenciesMicros = List.copyOf(usualLatenciesMicros);
    }

    /**
     * What has been learnt of one endpoint.
     *
     * @param id the endpoint's
     * @param startedAtMicros when its process started, µs
     * @param accomplishment decayed number of dispatches to it
     * @param decayedSuccesses decayed number of successes
     * @param decayedFailures decayed number of failures
     * @param ejectedForMicros how long it is still ejected, µs; 0: it is not
     * @param consecutiveEjections ejections since it last recovered
     * @param consecutiveConnectFailures failed connects since one succeeded
     * @param classEjectedForMicros how long each class of it is still ejected, µs, by class index
     */
    public record EndpointSnapshot(
            String id,
            long startedAtMicros,
            double accomplishment,
            double decayedSuccesses,
            double decayedFailures,
            long ejectedForMicros,
            int consecutiveEjections,
            int consecutiveConnectFailures,
            List<Long> classEjectedForMicros) {
        /** Copies the list. */
        public EndpointSnapshot {
            classEjectedForMicros = List.copyOf(classEjectedForMicros);
        }
    }
}

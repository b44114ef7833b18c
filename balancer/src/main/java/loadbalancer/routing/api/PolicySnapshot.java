package loadbalancer.routing.api;

import java.util.List;

/**
 * The statistics of a routing policy at one time, to be restored after a crash. The policy decays
 * them by their age when it restores them; the endpoint list of discovery takes precedence.
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
     * The statistics of one endpoint.
     *
     * @param id the id of the endpoint
     * @param startedAtMicros when its process started, µs
     * @param accomplishment decayed number of dispatches to it
     * @param decayedSuccesses decayed number of successes
     * @param decayedFailures decayed number of failures
     * @param ejectedForMicros remaining time of its ejection, µs; 0 if it is not ejected
     * @param consecutiveEjections number of ejections since it last recovered
     * @param consecutiveConnectFailures number of failed connects since one succeeded
     * @param classEjectedForMicros remaining time of the ejection of each class, µs, by class index
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

package loadbalancer.routing.api;

import java.util.List;

/**
 * What a module knows that is worth keeping over a crash, as it was at one time. What it is worth
 * later only the module says: it fades by its age, and what discovery says goes first.
 *
 * @param endpoints of those listed then
 * @param usualLatenciesMicros µs, the usual one of each class
 */
public record PolicySnapshot(List<EndpointSnapshot> endpoints, List<Double> usualLatenciesMicros) {
    public PolicySnapshot {
        endpoints = List.copyOf(endpoints);
        usualLatenciesMicros = List.copyOf(usualLatenciesMicros);
    }

    /**
     * What is known of one server.
     *
     * @param id the server's, of the process that started at {@code startedAtMicros} µs
     * @param accomplishment accomplishment: faded dispatches
     * @param decayedSuccesses faded
     * @param decayedFailures faded
     * @param ejectedForMicros µs that it gets nothing yet; 0: it is used
     * @param consecutiveEjections in a row
     * @param consecutiveConnectFailures failed connects in a row
     * @param classEjectedForMicros µs that it gets nothing of each class yet, by the class's number
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
        public EndpointSnapshot {
            classEjectedForMicros = List.copyOf(classEjectedForMicros);
        }
    }
}

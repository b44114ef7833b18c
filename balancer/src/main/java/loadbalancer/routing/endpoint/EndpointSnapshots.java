package loadbalancer.routing.endpoint;

import java.util.List;
import java.util.stream.IntStream;
import loadbalancer.routing.api.PolicySnapshot.EndpointSnapshot;

/** Converts between {@link EndpointState} and {@link EndpointSnapshot}. Stateless. */
final class EndpointSnapshots {
    private EndpointSnapshots() {}

    /**
     * Returns a snapshot of an endpoint.
     *
     * @param scale current weight of one event; counts are stored as if it were 1
     */
    static EndpointSnapshot capture(EndpointState endpoint, double scale, long now) {
        return new EndpointSnapshot(
                endpoint.descriptor().id(),
                endpoint.descriptor().startedAtMicros(),
                endpoint.accomplishment() / scale,
                endpoint.decayedSuccesses() / scale,
                endpoint.decayedFailures() / scale,
                Math.max(0, endpoint.ejectedUntilMicros() - now),
                endpoint.consecutiveEjections(),
                endpoint.consecutiveConnectFailures(),
                remainingClassEjections(endpoint, now));
    }

    private static List<Long> remainingClassEjections(EndpointState endpoint, long now) {
        return IntStream.range(0, endpoint.classCount())
                .mapToObj(endpoint::classHealth)
                .map(health -> Math.max(0, health.locallyEjectedUntilMicros() - now))
                .toList();
    }

    /** Returns whether a snapshot is of the process that now runs at the endpoint. */
    static boolean isOfSameProcess(EndpointState endpoint, EndpointSnapshot snapshot) {
        return endpoint.descriptor().startedAtMicros() == snapshot.startedAtMicros();
    }

    /**
     * Restores an endpoint from a snapshot of the same process. Ejections resume for their
     * remaining time, and the endpoint is half-open afterwards, as after any ejection.
     *
     * @param scale current weight of one event, by which the stored counts are multiplied
     * @param ageMicros age of the snapshot in µs
     */
    static void restore(
            EndpointState endpoint,
            EndpointSnapshot snapshot,
            double scale,
            long ageMicros,
            long now) {
        endpoint.restoreCounts(
                snapshot.accomplishment() * scale,
                snapshot.decayedSuccesses() * scale,
                snapshot.decayedFailures() * scale);
        if (snapshot.ejectedForMicros() > ageMicros) {
            endpoint.restoreEjection(
                    now + snapshot.ejectedForMicros() - ageMicros,
                    snapshot.consecutiveEjections(),
                    snapshot.consecutiveConnectFailures());
        }
        List<Long> classEjectedForMicros = snapshot.classEjectedForMicros();
        int classCount = Math.min(endpoint.classCount(), classEjectedForMicros.size());
        for (int classIndex = 0; classIndex < classCount; classIndex++) {
            long ejectedForMicros = classEjectedForMicros.get(classIndex);
            if (ejectedForMicros > ageMicros) {
                // Treated as an ejection by another balancer, since the snapshot contains neither
                // the class's backoff nor its failure ratio.
                endpoint.classHealth(classIndex)
                        .onRemoteEjection(now + ejectedForMicros - ageMicros);
            }
        }
    }
}

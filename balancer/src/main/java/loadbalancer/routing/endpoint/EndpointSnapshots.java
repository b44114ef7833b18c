package loadbalancer.routing.endpoint;

import java.util.List;
import java.util.stream.IntStream;
import loadbalancer.routing.api.PolicySnapshot.EndpointSnapshot;

/** Converts between the state of an endpoint and what a snapshot holds of it. */
final class EndpointSnapshots {
    private EndpointSnapshots() {}

    /**
     * What is worth restoring of an endpoint.
     *
     * @param scale weight of one event now; counts are stored as if it were 1
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

    /** Whether a snapshot was taken of the process that now runs at the endpoint. */
    static boolean isOfSameProcess(EndpointState endpoint, EndpointSnapshot snapshot) {
        return endpoint.descriptor().startedAtMicros() == snapshot.startedAtMicros();
    }

    /**
     * Restores what a snapshot of the same process holds. Ejections continue for what is left of
     * them; the endpoint is half-open afterwards, as after any ejection.
     *
     * @param scale weight by which the snapshot's counts now count
     * @param ageMicros age of the snapshot
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
                // As one by another balancer: neither its backoff nor its failure ratio is stored
                endpoint.classHealth(classIndex)
                        .onRemoteEjection(now + ejectedForMicros - ageMicros);
            }
        }
    }
}

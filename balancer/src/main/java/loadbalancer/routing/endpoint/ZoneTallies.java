package loadbalancer.routing.endpoint;

import java.util.List;
import java.util.function.IntToLongFunction;
import java.util.function.Predicate;
import java.util.stream.IntStream;

/**
 * Counts the unresponsive and the responding endpoints of each zone. Confined to the thread of the
 * routing policy.
 */
final class ZoneTallies {
    private final int[] unresponsiveByZone;
    private final int[] respondingByZone;

    private ZoneTallies(int zoneCount) {
        this.unresponsiveByZone = new int[zoneCount];
        this.respondingByZone = new int[zoneCount];
    }

    /**
     * Returns the tally of each zone of the totals, indexed by zone number.
     *
     * @param activeEndpoints the active endpoints; all others are neither unresponsive nor
     *     responding
     * @param isUnresponsive tests whether an endpoint does not respond
     * @param evidenceSinceMicros gives, for a zone, the earliest time in µs at which a success
     *     counts as evidence that an endpoint responds
     */
    static List<ZoneTally> of(
            EndpointTotals totals,
            List<EndpointState> activeEndpoints,
            Predicate<EndpointState> isUnresponsive,
            IntToLongFunction evidenceSinceMicros) {
        ZoneTallies tallies = new ZoneTallies(totals.zoneCount());
        for (EndpointState endpoint : activeEndpoints) {
            tallies.count(endpoint, isUnresponsive, evidenceSinceMicros);
        }
        return IntStream.range(0, totals.zoneCount())
                .mapToObj(zone -> tallies.tally(zone, totals.endpointsInZone(zone)))
                .toList();
    }

    private void count(
            EndpointState endpoint,
            Predicate<EndpointState> isUnresponsive,
            IntToLongFunction evidenceSinceMicros) {
        int zone = endpoint.descriptor().zone();
        if (zone < 0) {
            return;
        }
        if (isUnresponsive.test(endpoint)) {
            unresponsiveByZone[zone]++;
        } else if (endpoint.decayedSuccesses() > 0
                && endpoint.lastSuccessAtMicros() >= evidenceSinceMicros.applyAsLong(zone)) {
            respondingByZone[zone]++;
        }
    }

    private ZoneTally tally(int zone, int endpointCount) {
        return new ZoneTally(endpointCount, unresponsiveByZone[zone], respondingByZone[zone]);
    }
}

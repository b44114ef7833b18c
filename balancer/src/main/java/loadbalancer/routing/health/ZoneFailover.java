package loadbalancer.routing.health;

import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.function.Consumer;
import loadbalancer.routing.endpoint.EndpointState;
import loadbalancer.routing.endpoint.PendingRequest;
import loadbalancer.routing.endpoint.ZoneTally;

/**
 * Zones as wholes: left when the news of their servers says that they are lost, met again in steps.
 * Guards against a lost zone that is found server by server at the price of requests, and against
 * one that is back and is met by all at once. Each balancer judges for itself; never are all zones
 * left.
 */
public final class ZoneFailover {
    // Of the servers there is news of, out: the zone is
    private static final double LOST_FRACTION = 0.8;
    // In doubt from here on
    private static final double SUSPECT_FRACTION = 0.5;
    // Of its servers, of which there must be news
    private static final double MIN_OBSERVED_FRACTION = 0.2;
    // µs for which an answer shows that a server serves
    private static final long EVIDENCE_TTL_MICROS = 1_000_000;
    // µs of doubt before it is left
    private static final long MIN_SUSPECT_MICROS = 200_000;
    // Then single servers are to blame, and it is whole
    private static final long MAX_SUSPECT_MICROS = 2_000_000;
    // µs in which it is not doubted again after that
    private static final long SUSPECT_COOLDOWN_MICROS = 5_000_000;
    // µs that it is left at least; doubles each time
    private static final long BASE_FAILOVER_MICROS = 500_000;
    // Up to 16 s
    private static final int MAX_FAILOVER_DOUBLINGS = 5;
    // µs whole, after which its past is forgotten
    private static final long HISTORY_EXPIRY_MICROS = 30_000_000;
    // µs between requests that try a zone that is left
    private static final long PROBE_INTERVAL_MICROS = 100_000;
    // Answers that show it is back
    private static final int SUCCESSES_TO_RECOVER = 2;
    // Part of the requests that meet it first; doubles
    private static final double INITIAL_RECOVERY_FRACTION = 0.25;
    // µs each part lasts at least
    private static final long RECOVERY_STEP_MICROS = 250_000;

    // By number, as servers have named them
    private final List<ZoneHealth> zones = new ArrayList<>();

    /** A zone's; servers that name none (-1) are in one that is always whole. */
    public ZoneHealth healthOf(int zoneIndex) {
        while (zones.size() <= zoneIndex + 1) {
            zones.add(new ZoneHealth());
        }
        return zones.get(zoneIndex + 1);
    }

    /** From when on an answer shows that a server there serves: not from before it was doubted. */
    public long evidenceSinceMicros(int zoneIndex, long now) {
        return Math.max(
                healthOf(zoneIndex).status == ZoneStatus.SUSPECT
                        ? healthOf(zoneIndex).statusSinceMicros
                        : 0,
                now - EVIDENCE_TTL_MICROS);
    }

    /**
     * Whether a request may go to a server's zone; {@code isIdempotent}: to one that is left too,
     * now and then.
     */
    public boolean allowsAttempt(
            EndpointState endpoint, PendingRequest request, boolean isIdempotent, long now) {
        ZoneHealth zone = healthOf(endpoint.descriptor.zone());
        return switch (zone.status) {
            case HEALTHY, SUSPECT -> true;
            case FAILED_OVER ->
                    isIdempotent && now >= zone.lastProbedAtMicros + PROBE_INTERVAL_MICROS;
            case RECOVERING ->
                    request.zoneSample(endpoint.descriptor.zone()) < zone.admittedFraction;
        };
    }

    /** A request goes to a server. */
    public void onAttemptStarted(EndpointState endpoint, long now) {
        healthOf(endpoint.descriptor.zone()).lastProbedAtMicros = now;
    }

    /** An attempt has ended: served, or for want of a connection. */
    public void onAttemptEnded(EndpointState endpoint, boolean succeeded) {
        healthOf(endpoint.descriptor.zone()).successes += succeeded ? 1 : 0;
        healthOf(endpoint.descriptor.zone()).connectFailures += succeeded ? 0 : 1;
    }

    /**
     * Looks at all zones anew, a tally for each; {@code isCapacityShort}: what is in reach can't
     * carry what comes; {@code log} hears of what changes.
     */
    public void update(
            List<ZoneTally> tallies, boolean isCapacityShort, long now, Consumer<String> log) {
        for (int zoneIndex = 0; zoneIndex < tallies.size(); zoneIndex++) {
            ZoneHealth zone = healthOf(zoneIndex);
            ZoneTally tally = tallies.get(zoneIndex);
            ZoneStatus nextStatus =
                    nextStatus(
                            zone,
                            tally,
                            isCapacityShort,
                            isAnotherZoneServing(zoneIndex, tallies),
                            now);
            if (nextStatus != zone.status) {
                zone.status = nextStatus;
                zone.restartPeriod(now);
                log.accept(
                        String.format(
                                Locale.ROOT,
                                "zone %d is %s: %d of %d servers out, %d answering",
                                zoneIndex,
                                nextStatus,
                                tally.unresponsive(),
                                tally.endpoints(),
                                tally.responding()));
            }
        }
    }

    private static ZoneStatus nextStatus(
            ZoneHealth zone,
            ZoneTally tally,
            boolean isCapacityShort,
            boolean anotherZoneServing,
            long now) {
        int observed = tally.unresponsive() + tally.responding();
        boolean isSuspicious =
                tally.unresponsive() > SUSPECT_FRACTION * observed
                        && observed
                                >= Math.min(
                                        tally.endpoints(),
                                        Math.max(2, MIN_OBSERVED_FRACTION * tally.endpoints()));
        long elapsedMicros = now - zone.statusSinceMicros;
        switch (zone.status) {
            case HEALTHY:
                zone.recentFailovers =
                        elapsedMicros > HISTORY_EXPIRY_MICROS ? 0 : zone.recentFailovers;
                return isSuspicious && now >= zone.suspectCooldownUntilMicros
                        ? ZoneStatus.SUSPECT
                        : ZoneStatus.HEALTHY;
            case SUSPECT:
                if (tally.unresponsive() >= LOST_FRACTION * observed
                        && isSuspicious
                        && elapsedMicros >= MIN_SUSPECT_MICROS
                        && anotherZoneServing) {
                    return failOver(zone);
                }
                zone.suspectCooldownUntilMicros =
                        isSuspicious ? now + SUSPECT_COOLDOWN_MICROS : now;
                return isSuspicious && elapsedMicros < MAX_SUSPECT_MICROS
                        ? ZoneStatus.SUSPECT
                        : ZoneStatus.HEALTHY;
            case FAILED_OVER:
                // Where it is needed nothing is held back: cold servers' budgets bound what they
                // get.
                zone.admittedFraction = isCapacityShort ? 1 : INITIAL_RECOVERY_FRACTION;
                return !anotherZoneServing
                                || isCapacityShort && zone.successes > 0
                                || zone.successes
                                                >= Math.min(SUCCESSES_TO_RECOVER, tally.endpoints())
                                        && elapsedMicros
                                                >= BASE_FAILOVER_MICROS
                                                        << Math.min(
                                                                MAX_FAILOVER_DOUBLINGS,
                                                                zone.recentFailovers - 1)
                        ? ZoneStatus.RECOVERING
                        : ZoneStatus.FAILED_OVER;
            default:
                if (anotherZoneServing && (zone.connectFailures > zone.successes || isSuspicious)) {
                    return failOver(zone);
                }
                if ((elapsedMicros >= RECOVERY_STEP_MICROS || isCapacityShort)
                        && (zone.successes > 0 || !anotherZoneServing)) {
                    zone.admittedFraction = Math.min(1, 2 * zone.admittedFraction);
                    zone.restartPeriod(now);
                }
                return zone.admittedFraction < 1 ? ZoneStatus.RECOVERING : ZoneStatus.HEALTHY;
        }
    }

    private static ZoneStatus failOver(ZoneHealth zone) {
        zone.recentFailovers++;
        zone.admittedFraction = 0;
        return ZoneStatus.FAILED_OVER;
    }

    // Whether servers answer in a zone that is neither left nor in doubt; else this balancer may be
    // the one
    // cut off.
    private boolean isAnotherZoneServing(int zoneIndex, List<ZoneTally> tallies) {
        for (int otherIndex = 0; otherIndex < tallies.size(); otherIndex++) {
            if (otherIndex != zoneIndex
                    && healthOf(otherIndex).status == ZoneStatus.HEALTHY
                    && tallies.get(otherIndex).responding()
                            > tallies.get(otherIndex).unresponsive()) {
                return true;
            }
        }
        return false;
    }
}

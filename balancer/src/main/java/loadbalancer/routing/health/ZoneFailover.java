package loadbalancer.routing.health;

import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.function.Consumer;
import loadbalancer.routing.endpoint.EndpointState;
import loadbalancer.routing.endpoint.PendingRequest;
import loadbalancer.routing.endpoint.ZoneTally;

/**
 * Failover of whole zones: stops using a zone when most of its observed endpoints are unresponsive,
 * and returns to it in steps. Endpoint by endpoint, a lost zone costs failed attempts for each of
 * them, and a zone that is back would get all of its requests at once.
 *
 * <pre>{@code
 * HEALTHY -> SUSPECT      more than half of the observed endpoints are unresponsive
 * SUSPECT -> HEALTHY      no longer, or for so long that single endpoints are at fault
 * SUSPECT -> FAILED_OVER  nearly all of them, for a while, and another zone serves
 * FAILED_OVER -> RECOVERING  probes succeed after the backoff, or no other zone serves, or the
 *                         capacity is short and a probe succeeded
 * RECOVERING -> HEALTHY   a quarter, a half, then all of the requests were admitted and served
 * RECOVERING -> FAILED_OVER  it fails again
 * }</pre>
 *
 * <p>Each balancer decides for itself, and never fails over all zones. Confined to the thread of
 * the routing policy.
 */
public final class ZoneFailover {
    // Of the observed endpoints, those that are unresponsive
    private static final double LOST_FRACTION = 0.8;
    private static final double SUSPECT_FRACTION = 0.5;
    // Of the listed endpoints, those that must be observed
    private static final double MIN_OBSERVED_FRACTION = 0.2;
    private static final int MIN_OBSERVED_ENDPOINTS = 2;
    // For how long a success shows that an endpoint responds
    private static final long EVIDENCE_TTL_MICROS = 1_000_000;

    private static final long MIN_SUSPECT_MICROS = 200_000;
    private static final long MAX_SUSPECT_MICROS = 2_000_000;
    private static final long SUSPECT_COOLDOWN_MICROS = 5_000_000;

    private static final long BASE_FAILOVER_MICROS = 500_000;
    // Bounds a failover at 16 s
    private static final int MAX_FAILOVER_DOUBLINGS = 5;
    private static final long HISTORY_EXPIRY_MICROS = 30_000_000;
    private static final long PROBE_INTERVAL_MICROS = 100_000;

    private static final int SUCCESSES_TO_RECOVER = 2;
    private static final double INITIAL_RECOVERY_FRACTION = 0.25;
    private static final long RECOVERY_STEP_MICROS = 250_000;

    // Zone -1, of endpoints that name none, has index 0; it is never updated and stays healthy
    private final List<ZoneHealth> healthByIndex = new ArrayList<>();

    /** State of a zone; {@code zone} -1 stands for endpoints that name none. */
    public ZoneHealth healthOf(int zone) {
        int index = zone + 1;
        while (healthByIndex.size() <= index) {
            healthByIndex.add(new ZoneHealth());
        }
        return healthByIndex.get(index);
    }

    /** Since when a success shows that an endpoint of a zone responds; not before a suspicion. */
    public long evidenceSinceMicros(int zone, long now) {
        ZoneHealth health = healthOf(zone);
        long suspectSinceMicros =
                health.status() == ZoneStatus.SUSPECT ? health.periodStartMicros() : 0;
        return Math.max(suspectSinceMicros, now - EVIDENCE_TTL_MICROS);
    }

    // ---------------------------------------------------------------- requests

    /**
     * Whether a request may be sent to an endpoint's zone.
     *
     * @param isIdempotent whether it may serve as a probe of a zone that is failed over
     */
    public boolean allowsAttempt(
            EndpointState endpoint, PendingRequest request, boolean isIdempotent, long now) {
        int zone = endpoint.descriptor().zone();
        ZoneHealth health = healthOf(zone);
        return switch (health.status()) {
            case HEALTHY, SUSPECT -> true;
            case FAILED_OVER ->
                    isIdempotent && now >= health.lastProbedAtMicros() + PROBE_INTERVAL_MICROS;
            case RECOVERING -> request.zoneSample(zone) < health.admittedFraction();
        };
    }

    /** An attempt was sent to an endpoint. */
    public void onAttemptStarted(EndpointState endpoint, long now) {
        healthOf(endpoint.descriptor().zone()).onAttemptStarted(now);
    }

    /** An attempt succeeded, or found nothing to connect to; other outcomes do not count. */
    public void onAttemptEnded(EndpointState endpoint, boolean succeeded) {
        ZoneHealth health = healthOf(endpoint.descriptor().zone());
        if (succeeded) {
            health.onSuccess();
        } else {
            health.onConnectFailure();
        }
    }

    // ---------------------------------------------------------------- transitions

    /**
     * Decides on the status of each zone.
     *
     * @param tallies of each zone, by its number
     * @param isCapacityShort whether the endpoints in use cannot carry the traffic
     * @param log accepts a line for each change of a status
     */
    public void update(
            List<ZoneTally> tallies, boolean isCapacityShort, long now, Consumer<String> log) {
        for (int zone = 0; zone < tallies.size(); zone++) {
            ZoneHealth health = healthOf(zone);
            ZoneTally tally = tallies.get(zone);
            boolean anotherZoneServes = isAnotherZoneServing(zone, tallies);
            ZoneStatus nextStatus =
                    nextStatus(health, tally, isCapacityShort, anotherZoneServes, now);
            if (nextStatus != health.status()) {
                health.transitionTo(nextStatus, now);
                log.accept(logLine(zone, nextStatus, tally));
            }
        }
    }

    private static String logLine(int zone, ZoneStatus status, ZoneTally tally) {
        return String.format(
                Locale.ROOT,
                "zone status changed: zone=%d status=%s unresponsive=%d responding=%d endpoints=%d",
                zone,
                status,
                tally.unresponsive(),
                tally.responding(),
                tally.endpoints());
    }

    private static ZoneStatus nextStatus(
            ZoneHealth health,
            ZoneTally tally,
            boolean isCapacityShort,
            boolean anotherZoneServes,
            long now) {
        return switch (health.status()) {
            case HEALTHY -> nextOfHealthy(health, tally, now);
            case SUSPECT -> nextOfSuspect(health, tally, anotherZoneServes, now);
            case FAILED_OVER ->
                    nextOfFailedOver(health, tally, isCapacityShort, anotherZoneServes, now);
            case RECOVERING ->
                    nextOfRecovering(health, tally, isCapacityShort, anotherZoneServes, now);
        };
    }

    private static ZoneStatus nextOfHealthy(ZoneHealth health, ZoneTally tally, long now) {
        if (now - health.periodStartMicros() > HISTORY_EXPIRY_MICROS) {
            health.forgetFailovers();
        }
        boolean isCooldownOver = now >= health.suspectCooldownUntilMicros();
        return isSuspicious(tally) && isCooldownOver ? ZoneStatus.SUSPECT : ZoneStatus.HEALTHY;
    }

    private static ZoneStatus nextOfSuspect(
            ZoneHealth health, ZoneTally tally, boolean anotherZoneServes, long now) {
        long elapsedMicros = now - health.periodStartMicros();
        boolean isSuspicious = isSuspicious(tally);
        boolean isLost = isSuspicious && tally.unresponsive() >= LOST_FRACTION * tally.observed();
        if (isLost && elapsedMicros >= MIN_SUSPECT_MICROS && anotherZoneServes) {
            health.onFailover();
            return ZoneStatus.FAILED_OVER;
        }
        health.setSuspectCooldown(isSuspicious ? now + SUSPECT_COOLDOWN_MICROS : now);
        return isSuspicious && elapsedMicros < MAX_SUSPECT_MICROS
                ? ZoneStatus.SUSPECT
                : ZoneStatus.HEALTHY;
    }

    private static ZoneStatus nextOfFailedOver(
            ZoneHealth health,
            ZoneTally tally,
            boolean isCapacityShort,
            boolean anotherZoneServes,
            long now) {
        // All at once where it is needed: the budgets of slow start bound what its endpoints get
        health.setInitialRecoveryFraction(isCapacityShort ? 1 : INITIAL_RECOVERY_FRACTION);
        boolean isNeeded = !anotherZoneServes || (isCapacityShort && health.successes() > 0);
        int requiredSuccesses = Math.min(SUCCESSES_TO_RECOVER, tally.endpoints());
        boolean hasRecovered =
                health.successes() >= requiredSuccesses
                        && now - health.periodStartMicros() >= minFailoverMicros(health);
        return isNeeded || hasRecovered ? ZoneStatus.RECOVERING : ZoneStatus.FAILED_OVER;
    }

    private static long minFailoverMicros(ZoneHealth health) {
        int doublings = Math.min(MAX_FAILOVER_DOUBLINGS, health.recentFailovers() - 1);
        return BASE_FAILOVER_MICROS << doublings;
    }

    private static ZoneStatus nextOfRecovering(
            ZoneHealth health,
            ZoneTally tally,
            boolean isCapacityShort,
            boolean anotherZoneServes,
            long now) {
        boolean failsAgain = health.connectFailures() > health.successes() || isSuspicious(tally);
        if (anotherZoneServes && failsAgain) {
            health.onFailover();
            return ZoneStatus.FAILED_OVER;
        }
        boolean isStepOver =
                now - health.periodStartMicros() >= RECOVERY_STEP_MICROS || isCapacityShort;
        if (isStepOver && (health.successes() > 0 || !anotherZoneServes)) {
            health.advanceRecovery(now);
        }
        return health.admittedFraction() < 1 ? ZoneStatus.RECOVERING : ZoneStatus.HEALTHY;
    }

    private static boolean isSuspicious(ZoneTally tally) {
        double minObserved =
                Math.min(
                        tally.endpoints(),
                        Math.max(
                                MIN_OBSERVED_ENDPOINTS, MIN_OBSERVED_FRACTION * tally.endpoints()));
        return tally.unresponsive() > SUSPECT_FRACTION * tally.observed()
                && tally.observed() >= minObserved;
    }

    // Whether endpoints respond in another zone, which is healthy itself. Otherwise this balancer
    // may be the one that is isolated.
    private boolean isAnotherZoneServing(int zone, List<ZoneTally> tallies) {
        for (int other = 0; other < tallies.size(); other++) {
            ZoneTally tally = tallies.get(other);
            if (other != zone
                    && healthOf(other).status() == ZoneStatus.HEALTHY
                    && tally.responding() > tally.unresponsive()) {
                return true;
            }
        }
        return false;
    }
}

package loadbalancer.routing.health;

import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.function.Consumer;
import loadbalancer.routing.endpoint.EndpointState;
import loadbalancer.routing.endpoint.PendingRequest;
import loadbalancer.routing.endpoint.ZoneTally;

/**
 * Decides on the failover of whole zones: stops using a zone when most of its observed endpoints
 * are unresponsive, and returns to it in steps. Without it, a lost zone would cost failed attempts
 * for each of its endpoints, and a zone that is back would get all of its requests at once.
 *
 * <pre>{@code
 * HEALTHY -> SUSPECT      more than half of the observed endpoints are unresponsive
 * SUSPECT -> HEALTHY      no longer more than half, or for so long that the cause is in single
 *                         endpoints
 * SUSPECT -> FAILED_OVER  nearly all observed endpoints are unresponsive for a while, and another
 *                         zone serves
 * FAILED_OVER -> RECOVERING  probes succeed after the backoff, or no other zone serves, or the
 *                         capacity is short and a probe succeeded
 * RECOVERING -> HEALTHY   a quarter, a half, then all of the requests were admitted and served
 * RECOVERING -> FAILED_OVER  the zone fails again
 * }</pre>
 *
 * <p>Each balancer decides independently and never fails over all zones. Confined to the thread of
 * the routing policy.
 */
public final class ZoneFailover {
    // Fractions of the observed endpoints that are unresponsive.
    private static final double LOST_FRACTION = 0.8;
    private static final double SUSPECT_FRACTION = 0.5;
    // Fraction of the listed endpoints that must be observed.
    private static final double MIN_OBSERVED_FRACTION = 0.2;
    private static final int MIN_OBSERVED_ENDPOINTS = 2;
    // Time for which a success is evidence that an endpoint responds.
    private static final long EVIDENCE_TTL_MICROS = 1_000_000;

    private static final long MIN_SUSPECT_MICROS = 200_000;
    private static final long MAX_SUSPECT_MICROS = 2_000_000;
    private static final long SUSPECT_COOLDOWN_MICROS = 5_000_000;

    private static final long BASE_FAILOVER_MICROS = 500_000;
    // Bounds the minimum length of a failover at 16 s.
    private static final int MAX_FAILOVER_DOUBLINGS = 5;
    private static final long HISTORY_EXPIRY_MICROS = 30_000_000;
    private static final long PROBE_INTERVAL_MICROS = 100_000;

    private static final int SUCCESSES_TO_RECOVER = 2;
    private static final double INITIAL_RECOVERY_FRACTION = 0.25;
    private static final long RECOVERY_STEP_MICROS = 250_000;

    // Index 0 is zone -1, for endpoints without a zone. It is never updated and stays healthy.
    private final List<ZoneHealth> healthByZoneIndex = new ArrayList<>();

    /** Returns the state of a zone; zone -1 is for endpoints without a zone. */
    public ZoneHealth healthOf(int zone) {
        int index = zone + 1;
        while (healthByZoneIndex.size() <= index) {
            healthByZoneIndex.add(new ZoneHealth());
        }
        return healthByZoneIndex.get(index);
    }

    /**
     * Returns the time since which a success is evidence that an endpoint of a zone responds. While
     * the zone is suspect, successes before the suspicion are no evidence.
     */
    public long evidenceSinceMicros(int zone, long now) {
        ZoneHealth health = healthOf(zone);
        long suspectSinceMicros =
                health.status() == ZoneStatus.SUSPECT ? health.periodStartMicros() : 0;
        return Math.max(suspectSinceMicros, now - EVIDENCE_TTL_MICROS);
    }

    /**
     * Returns whether a request may be sent to the zone of an endpoint.
     *
     * @param isIdempotent whether the request may be a probe of a failed-over zone
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

    /** Handles the start of an attempt. */
    public void onAttemptStarted(EndpointState endpoint, long now) {
        healthOf(endpoint.descriptor().zone()).onAttemptStarted(now);
    }

    /**
     * Handles the success or the failed connect of an attempt; not called for other outcomes.
     *
     * @param succeeded whether the attempt succeeded; false after a failed connect
     */
    public void onAttemptEnded(EndpointState endpoint, boolean succeeded) {
        ZoneHealth health = healthOf(endpoint.descriptor().zone());
        if (succeeded) {
            health.onSuccess();
        } else {
            health.onConnectFailure();
        }
    }

    /**
     * Updates the status of each zone.
     *
     * @param tallies counts of responding and unresponsive endpoints, indexed by zone
     * @param isCapacityShort whether the available endpoints cannot serve the traffic
     * @param log accepts a line for each status change
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
        // A recovery under short capacity admits all requests at once. The budgets of slow start
        // still limit the load of the zone's endpoints.
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

    // Returns whether another zone is healthy and most of its observed endpoints respond.
    // Otherwise this balancer itself may be isolated.
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

package loadbalancer.routing.health;

/**
 * Holds the state of one zone at this balancer: its status, the start of the current period, and
 * the outcomes of attempts in that period. A period begins with each status change and with each
 * step of a recovery. {@link ZoneFailover} decides on transitions. Confined to the thread of the
 * routing policy.
 */
public final class ZoneHealth {
    private ZoneStatus status = ZoneStatus.HEALTHY;
    private long periodStartMicros;
    private long suspectCooldownUntilMicros;
    private long lastProbedAtMicros;
    private int recentFailovers;
    private double admittedFraction = 1;
    private int successes;
    private int connectFailures;

    /** Returns the fraction of the requests that may be sent to the zone, from 0 to 1. */
    public double admittedFraction() {
        return admittedFraction;
    }

    ZoneStatus status() {
        return status;
    }

    /** Returns when the current status, or the current step of a recovery, began. */
    long periodStartMicros() {
        return periodStartMicros;
    }

    void transitionTo(ZoneStatus newStatus, long now) {
        status = newStatus;
        startPeriod(now);
    }

    private void startPeriod(long now) {
        periodStartMicros = now;
        successes = 0;
        connectFailures = 0;
    }

    /** Returns the number of attempts that succeeded in this period. */
    int successes() {
        return successes;
    }

    /** Returns the number of attempts that failed to connect in this period. */
    int connectFailures() {
        return connectFailures;
    }

    void onSuccess() {
        successes++;
    }

    void onConnectFailure() {
        connectFailures++;
    }

    long lastProbedAtMicros() {
        return lastProbedAtMicros;
    }

    void onAttemptStarted(long now) {
        lastProbedAtMicros = now;
    }

    /** Returns the time until which the zone is not suspected again. */
    long suspectCooldownUntilMicros() {
        return suspectCooldownUntilMicros;
    }

    void setSuspectCooldown(long untilMicros) {
        suspectCooldownUntilMicros = untilMicros;
    }

    /** Returns the number of failovers that count for the backoff. */
    int recentFailovers() {
        return recentFailovers;
    }

    void forgetFailovers() {
        recentFailovers = 0;
    }

    /** Stops admitting requests and lengthens the next failover. */
    void onFailover() {
        recentFailovers++;
        admittedFraction = 0;
    }

    /** Sets the fraction of requests that is admitted when the recovery begins. */
    void setInitialRecoveryFraction(double fraction) {
        admittedFraction = fraction;
    }

    /** Doubles the admitted fraction and starts a new period. */
    void advanceRecovery(long now) {
        admittedFraction = Math.min(1, 2 * admittedFraction);
        startPeriod(now);
    }

    /** Copies the state of another zone. Model checkers use it to restore explored states. */
    void copyFrom(ZoneHealth source) {
        status = source.status;
        periodStartMicros = source.periodStartMicros;
        suspectCooldownUntilMicros = source.suspectCooldownUntilMicros;
        lastProbedAtMicros = source.lastProbedAtMicros;
        recentFailovers = source.recentFailovers;
        admittedFraction = source.admittedFraction;
        successes = source.successes;
        connectFailures = source.connectFailures;
    }
}

package loadbalancer.routing.health;

/**
 * State of one zone at this balancer: its status, since when it has it, and what attempts have
 * shown in that period. {@link ZoneFailover} decides on transitions. A period begins with each
 * status and with each step of a recovery. Confined to the thread of the routing policy.
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

    /** Part of the requests that may be sent to the zone, from 0 to 1. */
    public double admittedFraction() {
        return admittedFraction;
    }

    ZoneStatus status() {
        return status;
    }

    /** Start of the status, or of the step of a recovery. */
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

    /** Attempts that succeeded in this period. */
    int successes() {
        return successes;
    }

    /** Attempts in this period that found nothing to connect to. */
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

    /** Until when the zone is not suspected again. */
    long suspectCooldownUntilMicros() {
        return suspectCooldownUntilMicros;
    }

    void setSuspectCooldown(long untilMicros) {
        suspectCooldownUntilMicros = untilMicros;
    }

    /** Failovers that count for the backoff. */
    int recentFailovers() {
        return recentFailovers;
    }

    void forgetFailovers() {
        recentFailovers = 0;
    }

    /** Admits nothing, and makes the next failover longer. */
    void onFailover() {
        recentFailovers++;
        admittedFraction = 0;
    }

    /** Sets the part that is admitted when the recovery begins. */
    void setInitialRecoveryFraction(double fraction) {
        admittedFraction = fraction;
    }

    /** Doubles the part that is admitted, and starts a period. */
    void advanceRecovery(long now) {
        admittedFraction = Math.min(1, 2 * admittedFraction);
        startPeriod(now);
    }

    /** Takes over the state of another zone; for models that explore many states. */
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

package loadbalancer.routing.health;

/** A zone, as this balancer sees it. */
public final class ZoneHealth {
    ZoneStatus status = ZoneStatus.HEALTHY;
    // Of the state, or of its part
    long statusSinceMicros;
    // It is not doubted before
    long suspectCooldownUntilMicros;
    long lastProbedAtMicros;
    // That it was left, of late
    int recentFailovers;
    // Of the requests that may meet it
    public double admittedFraction = 1;
    // Answers since then
    int successes;
    // Attempts since then that found nobody
    int connectFailures;

    /** A state, or a part, begins. */
    void restartPeriod(long now) {
        statusSinceMicros = now;
        successes = 0;
        connectFailures = 0;
    }
}

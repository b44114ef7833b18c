package loadbalancer.routing.endpoint;

import java.util.ArrayDeque;
import java.util.stream.Stream;
import loadbalancer.routing.api.Endpoint;
import loadbalancer.routing.api.LoadReport;
import loadbalancer.util.Hashing;

/** A server, as this balancer sees it. */
public final class EndpointState {
    /** Successes in a row that end the half-open state of an ejected endpoint. */
    public static final int SUCCESSES_TO_RECOVER = 3;

    // Requests in hand that a report may name
    private static final double MAX_REPORTED_IN_FLIGHT = 1e6;
    // µs, time constant of the memory of slowness
    private static final double LATENCY_RATIO_DECAY_MICROS = 10e6;
    // Weight of one answer in it
    private static final double LATENCY_RATIO_SMOOTHING = 0.25;
    // One answer counts no more than this
    private static final double MAX_LATENCY_RATIO_SAMPLE = 4;

    public Endpoint descriptor;
    // As listed() and its sums have it; null: they don't
    Endpoint countedDescriptor;
    // Hears of what is out of the ordinary
    final ActiveEndpoints activeEndpoints;
    boolean isActive;
    // By the number of the class
    public final ClassHealth[] classHealth;
    // In the order of listed servers
    long listPosition;
    // The last list that named it
    int lastListGeneration;
    // Its neighbours among those of its weight
    EndpointState previousOfWeight;
    EndpointState nextOfWeight;
    public final long idHash;
    // Seeded shuffle: breaks ties of equal counts
    public final int tieBreaker;
    // Accomplishment: faded dispatches
    public double accomplishment;
    // That it has on the ring
    int ringPointCount;
    // The last walk from home that met it
    int homeVisitGeneration;
    // The last walk over the ring that met it
    public int visitGeneration;
    public int inFlight;
    // Requests in hand, by its last report
    public double reportedInFlight;
    // 0 = none yet
    public long reportedAtMicros;
    // Moving mean of latency / usual latency
    private double latencyRatio = 1;
    private long latencyRatioAtMicros;
    // Oldest first; null: none yet, as for most
    private ArrayDeque<Attempt> sentAttempts;
    // Until when failed attempts keep slots, or null
    private ArrayDeque<Long> penaltyExpiriesMicros;
    // Faded
    public double decayedSuccesses;
    // Faded
    public double decayedFailures;
    public long lastSuccessAtMicros;
    // Attempts turned away since one was served
    public int consecutiveRejections;
    // Failed connects since one came up
    public int consecutiveConnectFailures;
    // By another balancer, not found so by this one
    public boolean reportedUnreachable;
    public long ejectedUntilMicros;
    public int consecutiveEjections;
    // Turned an attempt away: rests for a moment
    public long rejectionBackoffUntilMicros;
    // Successes still wanted, 0 = not on trial
    public int halfOpenSuccessesLeft;
    // Cold budget, in attempts
    public double slowStartTokens;
    public long slowStartTokensAtMicros;

    public EndpointState(Endpoint descriptor, int tieBreaker, int classCount) {
        this(descriptor, tieBreaker, classCount, new ActiveEndpoints());
    }

    EndpointState(
            Endpoint descriptor, int tieBreaker, int classCount, ActiveEndpoints activeEndpoints) {
        this.descriptor = descriptor;
        this.activeEndpoints = activeEndpoints;
        this.classHealth =
                Stream.generate(() -> new ClassHealth(this))
                        .limit(classCount)
                        .toArray(ClassHealth[]::new);
        this.idHash = Hashing.hash(descriptor.id());
        this.tieBreaker = tieBreaker;
    }

    /**
     * Takes a report; what is missing, negative or absurd, as no server can mean it, is passed
     * over.
     */
    public void recordLoadReport(LoadReport report, long now) {
        if (report != null
                && report.inFlight() >= 0
                && report.inFlight() < MAX_REPORTED_IN_FLIGHT) {
            reportedInFlight = report.inFlight();
            reportedAtMicros = now;
        }
    }

    /** How many times the usual its latency is; without news that fades to 1. */
    public double latencyRatio(long now) {
        return 1
                + (latencyRatio - 1)
                        * Math.exp(-(now - latencyRatioAtMicros) / LATENCY_RATIO_DECAY_MICROS);
    }

    public void recordLatencyRatio(double ratio, long now) {
        double previous = latencyRatio(now);
        latencyRatio =
                previous
                        + LATENCY_RATIO_SMOOTHING
                                * (Math.min(MAX_LATENCY_RATIO_SAMPLE, ratio) - previous);
        latencyRatioAtMicros = now;
    }

    /** Slots that failed attempts still keep. */
    public int penaltySlots(long now) {
        while (penaltyExpiriesMicros != null && penaltyExpiriesMicros.peekFirst() <= now) {
            penaltyExpiriesMicros.pollFirst();
            penaltyExpiriesMicros = penaltyExpiriesMicros.isEmpty() ? null : penaltyExpiriesMicros;
        }
        return penaltyExpiriesMicros == null ? 0 : penaltyExpiriesMicros.size();
    }

    /** A failed attempt keeps its slot. */
    public void addPenalty(long untilMicros) {
        penaltyExpiriesMicros =
                penaltyExpiriesMicros == null ? new ArrayDeque<>(1) : penaltyExpiriesMicros;
        penaltyExpiriesMicros.add(untilMicros);
        markActive();
    }

    /** The attempt that has been out for longest, or null. */
    public Attempt oldestInFlight() {
        while (sentAttempts != null
                && !sentAttempts.isEmpty()
                && !sentAttempts.peekFirst().inFlight) {
            sentAttempts.pollFirst();
        }
        return sentAttempts == null ? null : sentAttempts.peekFirst();
    }

    void recordSend(Attempt attempt) {
        sentAttempts = sentAttempts == null ? new ArrayDeque<>(1) : sentAttempts;
        sentAttempts.add(attempt);
        markActive();
    }

    /** Something is out of the ordinary, or about to be: looks at servers must not pass it over. */
    public void markActive() {
        activeEndpoints.add(this);
    }

    /**
     * Whether, but for its start, all is as for a server that was never sent to, or not of late.
     */
    boolean isSteady(long quietSinceMicros, long now) {
        if (inFlight > 0
                || consecutiveConnectFailures > 0
                || reportedUnreachable
                || ejectedUntilMicros > now
                || rejectionBackoffUntilMicros > now
                || decayedSuccesses > 0 && lastSuccessAtMicros > quietSinceMicros) {
            return false;
        }
        for (ClassHealth each : classHealth) {
            if (each.isEjected(now)) {
                return false;
            }
        }
        return true;
    }
}

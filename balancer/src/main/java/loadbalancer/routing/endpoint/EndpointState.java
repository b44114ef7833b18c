package loadbalancer.routing.endpoint;

import java.util.ArrayDeque;
import java.util.stream.Stream;
import loadbalancer.routing.api.Endpoint;
import loadbalancer.routing.api.LoadReport;
import loadbalancer.util.Hashing;

/**
 * What this balancer knows of one endpoint: its entry in the endpoint list, its load, its recent
 * successes and failures, and its health.
 *
 * <p>Counts named "decayed" are exponentially weighted: the increment of one event grows with time
 * (see {@link TrafficCounters#scale()}), so that old counts lose weight without being touched.
 * Instants are µs of the clock that the routing policy is driven by. Confined to the thread of the
 * routing policy.
 */
public final class EndpointState extends EndpointListEntry {
    /** Upper bound of a plausible load report, in requests. */
    private static final double MAX_REPORTED_IN_FLIGHT = 1e6;

    private static final double LATENCY_RATIO_DECAY_MICROS = 10e6;
    private static final double LATENCY_RATIO_SMOOTHING = 0.25;
    private static final double MAX_LATENCY_RATIO_SAMPLE = 4;

    // Identity
    private Endpoint descriptor;
    private final long idHash;
    private final int tieBreaker;

    private final ActiveEndpoints activeEndpoints;
    private EndpointState previousOfSameWeight;
    private EndpointState nextOfSameWeight;
    private int visitGeneration;

    // Load. Both queues stay null until they are first needed, which for most endpoints of a large
    // fleet is never.
    private int inFlight;
    private double accomplishment;
    private ArrayDeque<Attempt> dispatchedAttempts;
    private ArrayDeque<Long> penaltyExpiriesMicros;
    private double reportedInFlight;
    private long reportedAtMicros;
    private double latencyRatio = 1;
    private long latencyRatioAtMicros;

    // Health
    private final ClassHealth[] classHealth;
    private double decayedSuccesses;
    private double decayedFailures;
    private long lastSuccessAtMicros;
    private int consecutiveRejections;
    private long rejectionBackoffUntilMicros;
    private int consecutiveConnectFailures;
    private boolean reportedUnreachable;
    private long ejectedUntilMicros;
    private int consecutiveEjections;
    private int halfOpenSuccessesLeft;

    // Slow start
    private double slowStartTokens;
    private long slowStartTokensAtMicros;

    /** An endpoint outside of a registry, for tests and models. */
    public EndpointState(Endpoint descriptor, int tieBreaker, int classCount) {
        this(descriptor, tieBreaker, classCount, new ActiveEndpoints(), 0);
    }

    /**
     * @param tieBreaker random, orders endpoints of equal accomplishment
     * @param classCount number of request classes
     * @param activeEndpoints notified when this endpoint leaves the steady state
     * @param listPosition place in the order of listed endpoints
     */
    EndpointState(
            Endpoint descriptor,
            int tieBreaker,
            int classCount,
            ActiveEndpoints activeEndpoints,
            long listPosition) {
        super(listPosition);
        this.descriptor = descriptor;
        this.activeEndpoints = activeEndpoints;
        this.classHealth =
                Stream.generate(() -> new ClassHealth(this))
                        .limit(classCount)
                        .toArray(ClassHealth[]::new);
        this.idHash = Hashing.hash(descriptor.id());
        this.tieBreaker = tieBreaker;
    }

    // ---------------------------------------------------------------- identity

    /** The entry of the endpoint list as last received. */
    public Endpoint descriptor() {
        return descriptor;
    }

    /** Hash of the endpoint's id; the same on every balancer. */
    @Override
    public long idHash() {
        return idHash;
    }

    /** Random number that orders endpoints of equal accomplishment. */
    public int tieBreaker() {
        return tieBreaker;
    }

    void updateDescriptor(Endpoint newDescriptor) {
        descriptor = newDescriptor;
    }

    // ---------------------------------------------------------------- scans and searches

    /**
     * Registers the endpoint as active: it has left its steady state, or is about to, so periodic
     * scans must include it.
     */
    public void markActive() {
        activeEndpoints.add(this);
    }

    /** Puts this endpoint in front of a chain of endpoints of its weight ({@code head} or null). */
    void linkBefore(EndpointState head) {
        nextOfSameWeight = head;
        if (head != null) {
            head.previousOfSameWeight = this;
        }
    }

    /** Takes this endpoint out of the chain of its weight. */
    void unlinkFromSameWeight() {
        if (nextOfSameWeight != null) {
            nextOfSameWeight.previousOfSameWeight = previousOfSameWeight;
        }
        if (previousOfSameWeight != null) {
            previousOfSameWeight.nextOfSameWeight = nextOfSameWeight;
        }
        previousOfSameWeight = null;
        nextOfSameWeight = null;
    }

    boolean isFirstOfSameWeight() {
        return previousOfSameWeight == null;
    }

    /** The next endpoint of the same weight, or null at the end of the chain. */
    EndpointState nextOfSameWeight() {
        return nextOfSameWeight;
    }

    /** Marks the endpoint as visited by a search for candidates; false if it was already. */
    public boolean markVisited(int generation) {
        boolean isFirstVisit = visitGeneration != generation;
        visitGeneration = generation;
        return isFirstVisit;
    }

    // ---------------------------------------------------------------- load

    /** Attempts of this balancer that are in flight at the endpoint. */
    public int inFlight() {
        return inFlight;
    }

    /** Accomplishment as JSQ-DAS defines it: the decayed count of dispatches. */
    public double accomplishment() {
        return accomplishment;
    }

    /**
     * Counts an attempt that is sent to the endpoint.
     *
     * @param accomplishmentIncrement weight of one dispatch now
     */
    void onDispatched(Attempt attempt, double accomplishmentIncrement) {
        dispatchedAttempts = dispatchedAttempts == null ? new ArrayDeque<>(1) : dispatchedAttempts;
        dispatchedAttempts.add(attempt);
        markActive();
        inFlight++;
        accomplishment += accomplishmentIncrement;
        slowStartTokens--;
    }

    /** Counts the end of an attempt, which is no longer in flight itself. */
    void onAttemptEnded() {
        inFlight--;
        dropEndedAttempts();
    }

    /** The attempt that has been in flight for longest, or null. */
    public Attempt oldestInFlight() {
        dropEndedAttempts();
        return dispatchedAttempts == null ? null : dispatchedAttempts.peekFirst();
    }

    private void dropEndedAttempts() {
        while (dispatchedAttempts != null
                && !dispatchedAttempts.isEmpty()
                && !dispatchedAttempts.peekFirst().isInFlight()) {
            dispatchedAttempts.pollFirst();
        }
    }

    /** Counts a slot as occupied until then: the endpoint may still run the failed attempt. */
    public void addPenalty(long untilMicros) {
        if (penaltyExpiriesMicros == null) {
            penaltyExpiriesMicros = new ArrayDeque<>(1);
        }
        penaltyExpiriesMicros.add(untilMicros);
        markActive();
    }

    /** Slots that still count as occupied after failed attempts. */
    public int penaltySlots(long now) {
        while (penaltyExpiriesMicros != null && penaltyExpiriesMicros.peekFirst() <= now) {
            penaltyExpiriesMicros.pollFirst();
            penaltyExpiriesMicros = penaltyExpiriesMicros.isEmpty() ? null : penaltyExpiriesMicros;
        }
        return penaltyExpiriesMicros == null ? 0 : penaltyExpiriesMicros.size();
    }

    /** Records a load report; a missing, negative or implausibly large one is ignored. */
    public void recordLoadReport(LoadReport report, long now) {
        if (report != null
                && report.inFlight() >= 0
                && report.inFlight() < MAX_REPORTED_IN_FLIGHT) {
            reportedInFlight = report.inFlight();
            reportedAtMicros = now;
        }
    }

    /** Requests in flight at the endpoint from all balancers, by its last load report. */
    public double reportedInFlight() {
        return reportedInFlight;
    }

    /** When the last load report came in; 0 if there was none. */
    public long reportedAtMicros() {
        return reportedAtMicros;
    }

    /** Moving mean of latency over usual latency; decays towards 1 without samples. */
    public double latencyRatio(long now) {
        double decay = Math.exp(-(now - latencyRatioAtMicros) / LATENCY_RATIO_DECAY_MICROS);
        return 1 + (latencyRatio - 1) * decay;
    }

    /** Adds a sample to {@link #latencyRatio}. */
    public void recordLatencyRatio(double ratio, long now) {
        double previous = latencyRatio(now);
        double sample = Math.min(MAX_LATENCY_RATIO_SAMPLE, ratio);
        latencyRatio = previous + LATENCY_RATIO_SMOOTHING * (sample - previous);
        latencyRatioAtMicros = now;
    }

    // ---------------------------------------------------------------- successes and failures

    /** Health for the class of this number. */
    public ClassHealth classHealth(int classIndex) {
        return classHealth[classIndex];
    }

    /** Number of request classes. */
    public int classCount() {
        return classHealth.length;
    }

    /** Decayed count of successful attempts. */
    public double decayedSuccesses() {
        return decayedSuccesses;
    }

    /** Decayed count of failed attempts. */
    public double decayedFailures() {
        return decayedFailures;
    }

    /** When an attempt last succeeded; at first, when the endpoint was listed. */
    public long lastSuccessAtMicros() {
        return lastSuccessAtMicros;
    }

    /**
     * Counts a successful attempt.
     *
     * @param increment weight of one success now
     */
    public void recordSuccess(double increment, long now) {
        decayedSuccesses += increment;
        lastSuccessAtMicros = now;
    }

    /**
     * Counts a failed attempt, which also loses the endpoint one dispatch of accomplishment.
     *
     * @param failureWeight share of a whole failure that it counts for
     * @param countScale weight of one event now
     * @param penaltyUntilMicros until when the attempt's slot counts as occupied
     */
    public void recordFailure(double failureWeight, double countScale, long penaltyUntilMicros) {
        accomplishment = Math.max(0, accomplishment - countScale);
        addPenalty(penaltyUntilMicros);
        decayedFailures += failureWeight * countScale;
    }

    /** Divides the decayed counts, when the weight of one event is reset. */
    void rescale(double scale) {
        accomplishment /= scale;
        decayedSuccesses /= scale;
        decayedFailures /= scale;
    }

    // ---------------------------------------------------------------- reachability

    /** Failed connects since one last succeeded. */
    public int consecutiveConnectFailures() {
        return consecutiveConnectFailures;
    }

    /** Whether only another balancer has found the endpoint unreachable, not this one. */
    public boolean isReportedUnreachable() {
        return reportedUnreachable;
    }

    /** A connection was established, or an existing one was used. */
    public void onConnected() {
        consecutiveConnectFailures = 0;
        reportedUnreachable = false;
    }

    /** A connection could not be established. */
    public void onConnectFailed() {
        consecutiveConnectFailures++;
        reportedUnreachable = false;
    }

    /**
     * Another balancer reported the endpoint unreachable: ejects it.
     *
     * @param connectFailures number of failed connects that the report stands for
     */
    public void onReportedUnreachable(int connectFailures, long untilMicros) {
        markActive();
        reportedUnreachable = true;
        consecutiveConnectFailures = connectFailures;
        enterEjection(untilMicros);
    }

    // ---------------------------------------------------------------- rejections

    /** Rejected attempts since one last succeeded. */
    public int consecutiveRejections() {
        return consecutiveRejections;
    }

    /** The endpoint rejected an attempt and gets no other before the backoff ends. */
    public void onRejected(long backoffUntilMicros) {
        consecutiveRejections++;
        rejectionBackoffUntilMicros = backoffUntilMicros;
    }

    /** Whether the endpoint gets no attempt since it has just rejected one. */
    public boolean isInRejectionBackoff(long now) {
        return rejectionBackoffUntilMicros > now;
    }

    // ---------------------------------------------------------------- ejection

    /** Whether the endpoint as a whole is ejected. */
    public boolean isEjected(long now) {
        return ejectedUntilMicros > now;
    }

    long ejectedUntilMicros() {
        return ejectedUntilMicros;
    }

    /** Ejections that count for the backoff, since the endpoint last recovered. */
    public int consecutiveEjections() {
        return consecutiveEjections;
    }

    /** Whether the endpoint is or was ejected and has not yet recovered. */
    public boolean isHalfOpen() {
        return halfOpenSuccessesLeft > 0;
    }

    /**
     * Ejects the endpoint; afterwards it is half-open.
     *
     * @param lengthensBackoff whether the next ejection is to be longer
     */
    public void eject(long untilMicros, boolean lengthensBackoff) {
        if (lengthensBackoff) {
            consecutiveEjections++;
        }
        enterEjection(untilMicros);
    }

    private void enterEjection(long untilMicros) {
        ejectedUntilMicros = untilMicros;
        halfOpenSuccessesLeft = EjectionBackoff.SUCCESSES_TO_RECOVER;
    }

    /**
     * An attempt succeeded: ends the run of rejections and counts towards recovery.
     *
     * @return whether the endpoint has recovered by it
     */
    public boolean advanceRecovery() {
        consecutiveRejections = 0;
        if (halfOpenSuccessesLeft > 0 && --halfOpenSuccessesLeft == 0) {
            consecutiveEjections = 0;
            decayedFailures = 0;
            return true;
        }
        return false;
    }

    // ---------------------------------------------------------------- slow start

    /** Tokens of the slow start budget, in attempts, as of {@link #slowStartTokensAtMicros}. */
    public double slowStartTokens() {
        return slowStartTokens;
    }

    /** When the slow start budget was last refilled. */
    public long slowStartTokensAtMicros() {
        return slowStartTokensAtMicros;
    }

    /** Sets the slow start budget, in attempts. */
    public void refillSlowStartTokens(double tokens, long now) {
        slowStartTokens = tokens;
        slowStartTokensAtMicros = now;
    }

    // ---------------------------------------------------------------- as a whole

    /**
     * Starts the slow start budget and the time without success; called once, when first listed.
     */
    void start(double initialSlowStartTokens, long now) {
        refillSlowStartTokens(initialSlowStartTokens, now);
        lastSuccessAtMicros = now;
    }

    /** Replaces the decayed counts by those of a snapshot. */
    void restoreCounts(
            double restoredAccomplishment, double restoredSuccesses, double restoredFailures) {
        markActive();
        accomplishment = restoredAccomplishment;
        decayedSuccesses = restoredSuccesses;
        decayedFailures = restoredFailures;
    }

    /** Continues an ejection of a snapshot. */
    void restoreEjection(
            long untilMicros, int restoredConsecutiveEjections, int restoredConnectFailures) {
        consecutiveEjections = restoredConsecutiveEjections;
        consecutiveConnectFailures = restoredConnectFailures;
        enterEjection(untilMicros);
    }

    /**
     * Whether the endpoint, leaving its slow start aside, is as one that was never sent to, or not
     * since {@code quietSinceMicros}: idle, reachable, neither ejected nor in backoff.
     */
    boolean isSteady(long quietSinceMicros, long now) {
        boolean hasRecentSuccess = decayedSuccesses > 0 && lastSuccessAtMicros > quietSinceMicros;
        if (inFlight > 0
                || consecutiveConnectFailures > 0
                || reportedUnreachable
                || isEjected(now)
                || isInRejectionBackoff(now)
                || hasRecentSuccess) {
            return false;
        }
        for (ClassHealth health : classHealth) {
            if (health.isEjected(now)) {
                return false;
            }
        }
        return true;
    }
}

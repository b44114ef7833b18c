package loadbalancer.routing.endpoint;

import java.util.ArrayDeque;
import java.util.LinkedHashSet;
import java.util.Set;
import java.util.stream.Stream;
import loadbalancer.routing.api.Endpoint;
import loadbalancer.routing.api.LoadReport;
import loadbalancer.util.Hashing;

/**
 * State of one endpoint as this balancer sees it: its entry in the endpoint list, its load, its
 * recent successes and failures, and its health.
 *
 * <p>Counts named "decayed" are exponentially weighted: the increment of one event grows with time
 * (see {@link TrafficCounters#scale()}), so that old counts lose weight without being updated.
 * Points in time are µs of the routing policy's clock. Confined to the thread of the routing
 * policy.
 */
public final class EndpointState extends EndpointListEntry {
    /** Exclusive upper bound of a plausible load report, in requests. */
    private static final double MAX_REPORTED_IN_FLIGHT = 1e6;

    private static final double LATENCY_RATIO_DECAY_MICROS = 10e6;
    private static final double LATENCY_RATIO_SMOOTHING = 0.25;
    private static final double MAX_LATENCY_RATIO_SAMPLE = 4;

    private Endpoint descriptor;
    private final long idHash;
    private final int tieBreaker;

    private final ActiveEndpoints activeEndpoints;
    private EndpointState previousOfSameWeight;
    private EndpointState nextOfSameWeight;
    private int visitGeneration;

    // Both queues are null until first used, which saves memory: in a large fleet, most endpoints
    // never need them.
    private int inFlight;
    private double accomplishment;
    private Set<Attempt> attemptsInFlight;
    private ArrayDeque<Long> penaltyExpiriesMicros;
    private double reportedInFlight;
    private long reportedAtMicros;
    private double latencyRatio = 1;
    private long latencyRatioAtMicros;

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

    private double slowStartTokens;
    private long slowStartTokensAtMicros;

    /** Creates an endpoint that belongs to no registry, for tests and models. */
    public EndpointState(Endpoint descriptor, int tieBreaker, int classCount) {
        this(descriptor, tieBreaker, classCount, new ActiveEndpoints(), 0);
    }

    /**
     * Creates an endpoint of a registry.
     *
     * @param tieBreaker random number that orders endpoints of equal accomplishment
     * @param classCount number of request classes
     * @param activeEndpoints receives this endpoint when it leaves the steady state
     * @param listPosition position in the order of listed endpoints
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

    /** Returns the endpoint's entry in the endpoint list, as last received. */
    public Endpoint descriptor() {
        return descriptor;
    }

    /** Returns the hash of the endpoint's id, which is the same on every balancer. */
    @Override
    public long idHash() {
        return idHash;
    }

    /** Returns the random number that orders endpoints of equal accomplishment. */
    public int tieBreaker() {
        return tieBreaker;
    }

    void updateDescriptor(Endpoint newDescriptor) {
        descriptor = newDescriptor;
    }

    /**
     * Registers the endpoint as active, so that periodic scans include it. Called when the endpoint
     * leaves its steady state or is about to.
     */
    public void markActive() {
        activeEndpoints.add(this);
    }

    /**
     * Inserts this endpoint at the front of the linked list of endpoints of the same weight.
     *
     * @param head current first endpoint of the list, or null if it is empty
     */
    void linkBefore(EndpointState head) {
        nextOfSameWeight = head;
        if (head != null) {
            head.previousOfSameWeight = this;
        }
    }

    /** Removes this endpoint from the linked list of endpoints of the same weight. */
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

    /** Returns the next endpoint of the same weight, or null at the end of the linked list. */
    EndpointState nextOfSameWeight() {
        return nextOfSameWeight;
    }

    /**
     * Marks the endpoint as visited by a search for candidates.
     *
     * @param generation number of the search
     * @return whether this search had not visited it before
     */
    public boolean markVisited(int generation) {
        boolean isFirstVisit = visitGeneration != generation;
        visitGeneration = generation;
        return isFirstVisit;
    }

    /** Returns the number of this balancer's attempts that are in flight at the endpoint. */
    public int inFlight() {
        return inFlight;
    }

    /** Returns the accomplishment as JSQ-DAS defines it: the decayed count of dispatches. */
    public double accomplishment() {
        return accomplishment;
    }

    /**
     * Counts an attempt that is sent to the endpoint.
     *
     * @param accomplishmentIncrement current weight of one dispatch
     */
    void onDispatched(Attempt attempt, double accomplishmentIncrement) {
        attemptsInFlight = attemptsInFlight == null ? new LinkedHashSet<>(2) : attemptsInFlight;
        attemptsInFlight.add(attempt);
        markActive();
        inFlight++;
        accomplishment += accomplishmentIncrement;
        slowStartTokens--;
    }

    /** Counts the end of an attempt. */
    void onAttemptEnded(Attempt attempt) {
        inFlight--;
        attemptsInFlight.remove(attempt);
    }

    /** Returns the attempt that has been in flight the longest, or null if there is none. */
    public Attempt oldestInFlight() {
        return attemptsInFlight == null || attemptsInFlight.isEmpty()
                ? null
                : attemptsInFlight.iterator().next();
    }

    /** Returns the number of attempts that this endpoint retains. */
    int retainedAttempts() {
        return attemptsInFlight == null ? 0 : attemptsInFlight.size();
    }

    /**
     * Counts one slot as occupied until {@code untilMicros}, since the endpoint may still be
     * running a failed attempt.
     */
    public void addPenalty(long untilMicros) {
        if (penaltyExpiriesMicros == null) {
            penaltyExpiriesMicros = new ArrayDeque<>(1);
        }
        penaltyExpiriesMicros.add(untilMicros);
        markActive();
    }

    /** Returns the number of slots that still count as occupied after failed attempts. */
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

    /** Returns the requests in flight from all balancers, according to the last load report. */
    public double reportedInFlight() {
        return reportedInFlight;
    }

    /** Returns when the last load report was received, or 0 if there was none. */
    public long reportedAtMicros() {
        return reportedAtMicros;
    }

    /**
     * Returns the moving mean of the ratio of measured to usual latency. Without new samples, it
     * decays towards 1.
     */
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

    /** Returns the health for the request class with the given index. */
    public ClassHealth classHealth(int classIndex) {
        return classHealth[classIndex];
    }

    /** Returns the number of request classes. */
    public int classCount() {
        return classHealth.length;
    }

    /** Returns the decayed count of successful attempts. */
    public double decayedSuccesses() {
        return decayedSuccesses;
    }

    /** Returns the decayed count of failed attempts. */
    public double decayedFailures() {
        return decayedFailures;
    }

    /** Returns when an attempt last succeeded, or when the endpoint was listed if none has. */
    public long lastSuccessAtMicros() {
        return lastSuccessAtMicros;
    }

    /**
     * Counts a successful attempt.
     *
     * @param increment current weight of one success
     */
    public void recordSuccess(double increment, long now) {
        decayedSuccesses += increment;
        lastSuccessAtMicros = now;
    }

    /**
     * Counts a failed attempt, and reduces the accomplishment by one dispatch.
     *
     * @param failureWeight fraction of a full failure that it counts as
     * @param countScale current weight of one event
     * @param penaltyUntilMicros time until which the attempt's slot counts as occupied
     */
    public void recordFailure(double failureWeight, double countScale, long penaltyUntilMicros) {
        accomplishment = Math.max(0, accomplishment - countScale);
        addPenalty(penaltyUntilMicros);
        decayedFailures += failureWeight * countScale;
    }

    /** Divides the decayed counts; called when the event weight is reset. */
    void rescale(double scale) {
        accomplishment /= scale;
        decayedSuccesses /= scale;
        decayedFailures /= scale;
    }

    /** Returns the number of failed connects since the last successful one. */
    public int consecutiveConnectFailures() {
        return consecutiveConnectFailures;
    }

    /** Returns whether another balancer has found the endpoint unreachable and this one has not. */
    public boolean isReportedUnreachable() {
        return reportedUnreachable;
    }

    /** Records that a connection was established or an existing one was used. */
    public void onConnected() {
        consecutiveConnectFailures = 0;
        reportedUnreachable = false;
    }

    /** Records that a connection could not be established. */
    public void onConnectFailed() {
        consecutiveConnectFailures++;
        reportedUnreachable = false;
    }

    /**
     * Ejects the endpoint because another balancer reported it unreachable.
     *
     * @param connectFailures number of failed connects that the report counts as
     */
    public void onReportedUnreachable(int connectFailures, long untilMicros) {
        markActive();
        reportedUnreachable = true;
        consecutiveConnectFailures = connectFailures;
        enterEjection(untilMicros);
    }

    /** Returns the number of rejected attempts since the last successful one. */
    public int consecutiveRejections() {
        return consecutiveRejections;
    }

    /** Records a rejected attempt; the endpoint gets no other before the backoff ends. */
    public void onRejected(long backoffUntilMicros) {
        consecutiveRejections++;
        rejectionBackoffUntilMicros = backoffUntilMicros;
    }

    /** Returns whether the endpoint gets no attempts because it has recently rejected one. */
    public boolean isInRejectionBackoff(long now) {
        return rejectionBackoffUntilMicros > now;
    }

    /** Returns whether the endpoint as a whole is ejected. */
    public boolean isEjected(long now) {
        return ejectedUntilMicros > now;
    }

    long ejectedUntilMicros() {
        return ejectedUntilMicros;
    }

    /** Returns the number of ejections since the last recovery that count for the backoff. */
    public int consecutiveEjections() {
        return consecutiveEjections;
    }

    /** Returns whether the endpoint is ejected, or was ejected and has not recovered yet. */
    public boolean isHalfOpen() {
        return halfOpenSuccessesLeft > 0;
    }

    /**
     * Ejects the endpoint; it is half-open afterwards.
     *
     * @param lengthensBackoff whether the next ejection will be longer
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
     * Counts a successful attempt towards recovery, and resets the count of rejections.
     *
     * @return whether the endpoint has recovered with this attempt
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

    /** Returns the slow start budget in attempts, as of {@link #slowStartTokensAtMicros}. */
    public double slowStartTokens() {
        return slowStartTokens;
    }

    /** Returns when the slow start budget was last refilled. */
    public long slowStartTokensAtMicros() {
        return slowStartTokensAtMicros;
    }

    /** Sets the slow start budget, in attempts. */
    public void refillSlowStartTokens(double tokens, long now) {
        slowStartTokens = tokens;
        slowStartTokensAtMicros = now;
    }

    /**
     * Initializes the slow start budget and the time since the last success; called once, when the
     * endpoint is first listed.
     */
    void start(double initialSlowStartTokens, long now) {
        refillSlowStartTokens(initialSlowStartTokens, now);
        lastSuccessAtMicros = now;
    }

    /** Replaces the decayed counts with those of a snapshot. */
    void restoreCounts(
            double restoredAccomplishment, double restoredSuccesses, double restoredFailures) {
        markActive();
        accomplishment = restoredAccomplishment;
        decayedSuccesses = restoredSuccesses;
        decayedFailures = restoredFailures;
    }

    /** Resumes an ejection that a snapshot contains. */
    void restoreEjection(
            long untilMicros, int restoredConsecutiveEjections, int restoredConnectFailures) {
        consecutiveEjections = restoredConsecutiveEjections;
        consecutiveConnectFailures = restoredConnectFailures;
        enterEjection(untilMicros);
    }

    /**
     * Returns whether the endpoint is steady: idle, reachable, neither ejected nor in backoff, and
     * without successes since {@code quietSinceMicros}. Slow start is not considered.
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

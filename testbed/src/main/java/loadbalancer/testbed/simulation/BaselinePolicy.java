package loadbalancer.testbed.simulation;

import java.util.ArrayList;
import java.util.Collections;
import java.util.Comparator;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import loadbalancer.routing.api.AttemptOutcome;
import loadbalancer.routing.api.Endpoint;
import loadbalancer.routing.api.EndpointListKind;
import loadbalancer.routing.api.EndpointStatus;
import loadbalancer.routing.api.Idempotency;
import loadbalancer.routing.api.LoadReport;
import loadbalancer.routing.api.RoutingActions;
import loadbalancer.routing.api.RoutingPolicy;
import loadbalancer.routing.api.RoutingSettings;

/**
 * A baseline for comparisons with the routing policy, which only has an algorithm that selects an
 * upstream. It forwards each request to a listed upstream. A failed attempt is retried if the
 * request cannot have been executed, or if it is idempotent and the attempt did not time out;
 * otherwise the request fails. The policy knows only its own requests in flight. Used only by the
 * thread that runs the simulation.
 */
public final class BaselinePolicy implements RoutingPolicy {
    private static final int MAX_ATTEMPTS = 4;
    // Called d in the JSQ-DAS paper.
    private static final int SAMPLE_SIZE = 4;
    // Called a in the JSQ-DAS paper.
    private static final int ACCOMPLISHED_SAMPLE_SIZE = 2;

    /** The selection algorithm. */
    public enum Algorithm {
        /** Selects an upstream at random. */
        RANDOM,
        /** Selects the upstreams in turn. */
        ROUND_ROBIN,
        /** Selects the upstream with the shorter queue of two chosen at random. */
        TWO_CHOICES,
        /** Selects the upstream with the shortest of all queues. */
        LEAST_QUEUE,
        /** Selects the upstream with the shortest of the queues that JSQ-DAS samples. */
        JSQ_DAS
    }

    private final Algorithm algorithm;
    private final double accomplishedFraction;
    private final SplittableRandom random;
    private final RoutingSettings settings;
    private final Map<String, Candidate> candidates = new LinkedHashMap<>();
    private List<Candidate> available = new ArrayList<>();
    private final Map<String, PendingRequest> pendingRequests = new HashMap<>();
    private int roundRobinIndex;

    private static final class Candidate {
        private final String id;
        private int inFlight;
        private long dispatchCount;

        Candidate(String id) {
            this.id = id;
        }
    }

    private static final class PendingRequest {
        private final Idempotency idempotency;
        private final List<Candidate> attempts = new ArrayList<>(1);

        PendingRequest(Idempotency idempotency) {
            this.idempotency = idempotency;
        }
    }

    /**
     * Creates a policy without upstreams.
     *
     * @param accomplishedFraction fraction of the upstreams that counts as accomplished, called p
     *     in the JSQ-DAS paper
     */
    public BaselinePolicy(
            Algorithm algorithm, double accomplishedFraction, RoutingSettings settings, long seed) {
        this.algorithm = algorithm;
        this.accomplishedFraction = accomplishedFraction;
        this.settings = settings;
        this.random = new SplittableRandom(seed);
    }

    @Override
    public void onEndpointList(
            long now, EndpointListKind kind, List<Endpoint> endpoints, RoutingActions actions) {
        if (kind == EndpointListKind.FAILED) {
            return;
        }
        if (kind != EndpointListKind.DELTA) {
            candidates.keySet().retainAll(endpoints.stream().map(Endpoint::id).toList());
        }
        for (Endpoint endpoint : endpoints) {
            if (endpoint.status() == EndpointStatus.UP) {
                candidates.computeIfAbsent(endpoint.id(), Candidate::new);
            } else {
                candidates.remove(endpoint.id());
            }
        }
        available = new ArrayList<>(candidates.values());
    }

    @Override
    public void onRequest(
            long now,
            String requestId,
            int classIndex,
            int tenantIndex,
            String key,
            long remainingMicros,
            long workHint,
            boolean resubmission,
            RoutingActions actions) {
        PendingRequest pendingRequest =
                new PendingRequest(settings.requestClasses().get(classIndex).idempotency());
        pendingRequests.put(requestId, pendingRequest);
        sendAttempt(requestId, pendingRequest, actions);
    }

    private void sendAttempt(
            String requestId, PendingRequest pendingRequest, RoutingActions actions) {
        if (available.isEmpty() || pendingRequest.attempts.size() == MAX_ATTEMPTS) {
            pendingRequests.remove(requestId);
            actions.fail(requestId);
            return;
        }
        Candidate candidate = selectCandidate();
        candidate.inFlight++;
        candidate.dispatchCount++;
        pendingRequest.attempts.add(candidate);
        actions.send(requestId, candidate.id, 0);
    }

    private Candidate selectCandidate() {
        return switch (algorithm) {
            case RANDOM -> available.get(random.nextInt(available.size()));
            case ROUND_ROBIN -> available.get(roundRobinIndex++ % available.size());
            case TWO_CHOICES -> shortestQueue(sample(available, 2));
            case LEAST_QUEUE -> shortestQueue(sample(available, available.size()));
            case JSQ_DAS -> selectByJsqDas();
        };
    }

    // Candidates are ranked by dispatch count. Among equally short queues the more accomplished
    // candidate wins because it comes first.
    private Candidate selectByJsqDas() {
        List<Candidate> ranked = new ArrayList<>(available);
        ranked.sort(Comparator.comparingLong(candidate -> -candidate.dispatchCount));
        if (ranked.size() == 1) {
            return ranked.get(0);
        }
        long fractionCount = Math.round(accomplishedFraction * ranked.size());
        int accomplishedCount = (int) Math.max(1, Math.min(ranked.size() - 1, fractionCount));
        List<Candidate> sampled =
                sample(ranked.subList(0, accomplishedCount), ACCOMPLISHED_SAMPLE_SIZE);
        sampled.addAll(
                sample(
                        ranked.subList(accomplishedCount, ranked.size()),
                        SAMPLE_SIZE - ACCOMPLISHED_SAMPLE_SIZE));
        sampled.sort(Comparator.comparingLong(candidate -> -candidate.dispatchCount));
        return shortestQueue(sampled);
    }

    private List<Candidate> sample(List<Candidate> population, int count) {
        List<Candidate> remaining = new ArrayList<>(population);
        int sampleSize = Math.min(count, remaining.size());
        for (int i = 0; i < sampleSize; i++) {
            Collections.swap(remaining, i, i + random.nextInt(remaining.size() - i));
        }
        return new ArrayList<>(remaining.subList(0, sampleSize));
    }

    private static Candidate shortestQueue(List<Candidate> sampled) {
        Candidate best = sampled.get(0);
        for (Candidate candidate : sampled) {
            best = candidate.inFlight < best.inFlight ? candidate : best;
        }
        return best;
    }

    @Override
    public void onAttemptEnded(
            long now,
            String requestId,
            int attemptNumber,
            AttemptOutcome outcome,
            long latencyMicros,
            boolean closed,
            LoadReport load,
            RoutingActions actions) {
        PendingRequest pendingRequest = pendingRequests.get(requestId);
        if (pendingRequest == null) {
            return;
        }
        pendingRequest.attempts.get(attemptNumber).inFlight--;
        if (closed) {
            pendingRequests.remove(requestId);
        } else if (outcome.neverRan()
                || (pendingRequest.idempotency == Idempotency.IDEMPOTENT
                        && outcome != AttemptOutcome.TIMEOUT)) {
            sendAttempt(requestId, pendingRequest, actions);
        } else {
            pendingRequests.remove(requestId);
            actions.fail(requestId);
        }
    }

    @Override
    public void onStreamStarted(
            long now, String requestId, int attemptNumber, RoutingActions actions) {
        // Scenarios have no streaming classes.
    }

    @Override
    public void onClientDisconnected(long now, String requestId, RoutingActions actions) {
        PendingRequest pendingRequest = pendingRequests.remove(requestId);
        if (pendingRequest != null) {
            actions.cancel(requestId, pendingRequest.attempts.size() - 1);
            pendingRequest.attempts.get(pendingRequest.attempts.size() - 1).inFlight--;
        }
    }

    @Override
    public void onHealthCheckResult(
            long now,
            String endpointId,
            AttemptOutcome outcome,
            long latencyMicros,
            LoadReport load,
            RoutingActions actions) {
        // This policy requests no health checks.
    }

    @Override
    public void onTimer(long now, RoutingActions actions) {
        // This policy schedules no timers.
    }
}

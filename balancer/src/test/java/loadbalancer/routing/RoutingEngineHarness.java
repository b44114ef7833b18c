package loadbalancer.routing;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import loadbalancer.routing.api.AttemptOutcome;
import loadbalancer.routing.api.DeduplicationScope;
import loadbalancer.routing.api.DiscoveryMode;
import loadbalancer.routing.api.Endpoint;
import loadbalancer.routing.api.EndpointListKind;
import loadbalancer.routing.api.EndpointStatus;
import loadbalancer.routing.api.Idempotency;
import loadbalancer.routing.api.LoadReport;
import loadbalancer.routing.api.LoadReportSource;
import loadbalancer.routing.api.ObjectiveWeights;
import loadbalancer.routing.api.RequestClass;
import loadbalancer.routing.api.RoutingActions;
import loadbalancer.routing.api.RoutingBounds;
import loadbalancer.routing.api.RoutingCosts;
import loadbalancer.routing.api.RoutingLimits;
import loadbalancer.routing.api.RoutingPolicy;
import loadbalancer.routing.api.RoutingSettings;
import loadbalancer.routing.api.Tenant;

/**
 * Drives one routing policy with a simulated clock and records the actions that it requests. Used
 * by one test thread.
 */
public final class RoutingEngineHarness implements RoutingActions {
    static final long START_MICROS = 1_000_000_000L;
    static final long LATENCY_OBJECTIVE_MICROS = 600_000;
    public static final long DEADLINE_MICROS = 3_000_000;
    static final long KEY_COOLDOWN_MICROS = 100_000;

    /** Request class whose requests may be repeated at any endpoint. */
    public static final RequestClass IDEMPOTENT =
            requestClass(Idempotency.IDEMPOTENT, DeduplicationScope.ALL);

    /** Request class whose requests must not be repeated. */
    public static final RequestClass NON_IDEMPOTENT =
            requestClass(Idempotency.NON_IDEMPOTENT, DeduplicationScope.ALL);

    /** Represents a sent attempt; {@code ended} is set when its outcome is reported. */
    public static final class SentAttempt {
        public final String requestId;
        final int attemptNumber;
        public final String endpointId;
        final long sentAtMicros;
        final long timeoutMicros;
        public boolean ended;

        SentAttempt(
                String requestId,
                int attemptNumber,
                String endpointId,
                long sentAtMicros,
                long timeoutMicros) {
            this.requestId = requestId;
            this.attemptNumber = attemptNumber;
            this.endpointId = endpointId;
            this.sentAtMicros = sentAtMicros;
            this.timeoutMicros = timeoutMicros;
        }
    }

    public final RoutingPolicy policy;
    public final List<SentAttempt> sentAttempts = new ArrayList<>();
    public final Map<String, Integer> attemptCounts = new LinkedHashMap<>();
    public final Map<String, String> finalResponses = new LinkedHashMap<>();
    final List<String> cancelledAttempts = new ArrayList<>();
    public final List<String> logLines = new ArrayList<>();
    public final List<byte[]> gossipMessages = new ArrayList<>();
    // Receivers of the gossip messages, in the same order.
    public final List<Integer> gossipReceivers = new ArrayList<>();
    public long now = START_MICROS;
    long timerAtMicros = Long.MAX_VALUE;
    int watchCount;
    int duplicateFinalResponses;
    // In-flight count in the load reports of outcomes, or NaN for none.
    double reportedInFlight = Double.NaN;

    public RoutingEngineHarness(RoutingSettings settings, long seed) {
        policy = new RoutingEngine(settings, seed);
    }

    /** Returns a harness whose policy has the given number of endpoints, which may be 0. */
    static RoutingEngineHarness withEndpoints(
            long seed, int endpointCount, RequestClass... requestClasses) {
        return new RoutingEngineHarness(settings(requestClasses), seed)
                .updateEndpoints(EndpointListKind.CACHED, endpoints(endpointCount));
    }

    /** Returns a harness whose policy has six endpoints and has served 60 requests of the class. */
    static RoutingEngineHarness warmedUp(long seed, RequestClass requestClass) {
        RoutingEngineHarness harness = withEndpoints(seed, 6, requestClass);
        harness.warmUp(60, 0, 40_000);
        return harness;
    }

    /** Returns a class with the latency objective, deadline and window of the harness. */
    public static RequestClass requestClass(Idempotency idempotency, DeduplicationScope scope) {
        return new RequestClass(
                idempotency,
                scope,
                2_000_000,
                LATENCY_OBJECTIVE_MICROS,
                DEADLINE_MICROS,
                0,
                1,
                0.3,
                false);
    }

    public static RoutingSettings settings(RequestClass... requestClasses) {
        return settings(1, true, DiscoveryMode.PUSH, List.of(), requestClasses);
    }

    /** Returns settings for rank 0 of the given number of balancers; the rest are usual values. */
    public static RoutingSettings settings(
            int balancerCount,
            boolean hedgingAllowed,
            DiscoveryMode discoveryMode,
            List<Tenant> tenants,
            RequestClass... requestClasses) {
        return new RoutingSettings(
                balancerCount,
                0,
                0,
                List.of(requestClasses),
                tenants,
                0.1,
                new ObjectiveWeights(1, 0, 0, 0),
                new RoutingCosts(0, 0),
                true,
                discoveryMode,
                LoadReportSource.NONE,
                false,
                new RoutingLimits(5, hedgingAllowed, true, true, 250_000, 0),
                new RoutingBounds(
                        20_000,
                        1_000_000,
                        10_000_000,
                        0.2,
                        20_000_000,
                        2.5,
                        1_500_000,
                        KEY_COOLDOWN_MICROS),
                5_000);
    }

    public static Endpoint upEndpoint(String id) {
        return new Endpoint(id, EndpointStatus.UP, 0, 1, 0, 0, 0);
    }

    /**
     * Returns endpoints s0, s1, ... that are up and alternate between two zones, cells and types.
     */
    public static List<Endpoint> endpoints(int endpointCount) {
        List<Endpoint> endpoints = new ArrayList<>();
        for (int i = 0; i < endpointCount; i++) {
            endpoints.add(new Endpoint("s" + i, EndpointStatus.UP, 0, 1, i % 2, i % 2, i % 2));
        }
        return endpoints;
    }

    public RoutingEngineHarness updateEndpoints(EndpointListKind kind, List<Endpoint> endpoints) {
        policy.onEndpointList(now, kind, endpoints, this);
        return this;
    }

    /** Submits a request and returns the attempt that is sent immediately, or null. */
    public SentAttempt request(String requestId, int classIndex) {
        return request(requestId, classIndex, 0, DEADLINE_MICROS);
    }

    SentAttempt request(String requestId, int classIndex, int tenantIndex, long remainingMicros) {
        return request(requestId, classIndex, tenantIndex, remainingMicros, false);
    }

    /** Submits a request that is marked as a resubmission. */
    SentAttempt resubmit(String requestId, int classIndex, long remainingMicros) {
        return request(requestId, classIndex, 0, remainingMicros, true);
    }

    /** Submits a request with a key. */
    SentAttempt requestWithKey(String requestId, int classIndex, String key) {
        return request(requestId, classIndex, 0, key, DEADLINE_MICROS, false);
    }

    private SentAttempt request(
            String requestId,
            int classIndex,
            int tenantIndex,
            long remainingMicros,
            boolean resubmission) {
        return request(requestId, classIndex, tenantIndex, null, remainingMicros, resubmission);
    }

    SentAttempt request(
            String requestId,
            int classIndex,
            int tenantIndex,
            String key,
            long remainingMicros,
            boolean resubmission) {
        int sentBefore = sentAttempts.size();
        policy.onRequest(
                now,
                requestId,
                classIndex,
                tenantIndex,
                key,
                remainingMicros,
                -1,
                resubmission,
                this);
        return sentAttempts.size() > sentBefore ? sentAttempts.get(sentAttempts.size() - 1) : null;
    }

    /** Ends an attempt; a success becomes the final response of its request. */
    public void endAttempt(SentAttempt sent, AttemptOutcome outcome) {
        sent.ended = true;
        boolean closed = outcome == AttemptOutcome.OK || finalResponses.containsKey(sent.requestId);
        if (outcome == AttemptOutcome.OK) {
            finalResponses.putIfAbsent(sent.requestId, "ok");
        }
        policy.onAttemptEnded(
                now,
                sent.requestId,
                sent.attemptNumber,
                outcome,
                now - sent.sentAtMicros,
                closed,
                new LoadReport(
                        reportedInFlight,
                        Double.NaN,
                        Double.NaN,
                        Double.NaN,
                        Double.NaN,
                        Double.NaN),
                this);
    }

    /** Advances the clock and delivers the timer events that the policy has scheduled. */
    public void advanceTime(long durationMicros) {
        long until = now + durationMicros;
        while (timerAtMicros <= until) {
            now = timerAtMicros;
            timerAtMicros = Long.MAX_VALUE;
            policy.onTimer(now, this);
        }
        now = until;
    }

    /** Serves requests one after another so that the policy learns the usual latency. */
    void warmUp(int requestCount, int classIndex, long latencyMicros) {
        for (int i = 0; i < requestCount; i++) {
            SentAttempt sent = request("warm-" + now + "-" + i, classIndex);
            advanceTime(latencyMicros);
            endAttempt(sent, AttemptOutcome.OK);
        }
    }

    /**
     * Serves four concurrent requests per round.
     *
     * @param latencyMicros time after which the attempts of a round end
     * @param failureOutcomes outcomes by endpoint; attempts at other endpoints end with OK
     */
    void serveConcurrently(
            int rounds, long latencyMicros, Map<String, AttemptOutcome> failureOutcomes) {
        for (int i = 0; i < rounds; i++) {
            for (int j = 0; j < 4; j++) {
                request("q" + now + "/" + i + "/" + j, 0);
            }
            advanceTime(latencyMicros);
            sentAttempts.stream()
                    .filter(attempt -> !attempt.ended)
                    .toList()
                    .forEach(
                            attempt ->
                                    endAttempt(
                                            attempt,
                                            failureOutcomes.getOrDefault(
                                                    attempt.endpointId, AttemptOutcome.OK)));
        }
    }

    /**
     * Serves requests one by one, each after the given latency; returns the number of requests that
     * were sent immediately.
     */
    int serveSequentially(int requestCount, int classIndex, int tenantIndex, long latencyMicros) {
        int sentCount = 0;
        for (int i = 0; i < requestCount; i++) {
            SentAttempt attempt =
                    request("o" + now + "/" + i, classIndex, tenantIndex, DEADLINE_MICROS);
            advanceTime(latencyMicros);
            if (attempt != null) {
                sentCount++;
                endAttempt(attempt, AttemptOutcome.OK);
                attemptsOf(attempt.requestId).stream()
                        .filter(hedge -> !hedge.ended)
                        .forEach(hedge -> endAttempt(hedge, AttemptOutcome.CANCELLED));
            }
        }
        return sentCount;
    }

    /** Returns the number of attempts sent to an endpoint since the given time. */
    public long countSentTo(String endpointId, long sinceMicros) {
        return sentAttempts.stream()
                .filter(
                        attempt ->
                                attempt.endpointId.equals(endpointId)
                                        && attempt.sentAtMicros >= sinceMicros)
                .count();
    }

    List<SentAttempt> attemptsOf(String requestId) {
        return sentAttempts.stream()
                .filter(attempt -> attempt.requestId.equals(requestId))
                .toList();
    }

    @Override
    public void send(String requestId, String endpointId, long timeoutMicros) {
        int attemptNumber = attemptCounts.merge(requestId, 1, Integer::sum) - 1;
        sentAttempts.add(new SentAttempt(requestId, attemptNumber, endpointId, now, timeoutMicros));
        logLines.add(now + " send " + requestId + " " + endpointId + " " + timeoutMicros);
    }

    private void recordFinalResponse(String requestId, String response) {
        if (finalResponses.putIfAbsent(requestId, response) != null) {
            duplicateFinalResponses++;
        }
        logLines.add(now + " " + response + " " + requestId);
    }

    @Override
    public void reject(String requestId, long retryAfterMicros) {
        logLines.add(now + " refuse " + requestId + " " + retryAfterMicros);
        recordFinalResponse(requestId, "refused");
    }

    @Override
    public void fail(String requestId) {
        recordFinalResponse(requestId, "failed");
    }

    @Override
    public void cancel(String requestId, int attemptNumber) {
        cancelledAttempts.add(requestId + "/" + attemptNumber);
        logLines.add(now + " cancel " + requestId + " " + attemptNumber);
    }

    @Override
    public void checkHealth(String endpointId) {
        logLines.add(now + " probe " + endpointId);
    }

    @Override
    public void watchEndpoints(boolean enabled) {
        watchCount++;
    }

    @Override
    public void fetchEndpointList() {
        logLines.add(now + " fetch");
    }

    @Override
    public void closeIdleConnections(String endpointId) {
        logLines.add(now + " close " + endpointId);
    }

    @Override
    public void sendToPeer(int peer, byte[] payload) {
        logLines.add(now + " tell " + peer);
        gossipMessages.add(payload);
        gossipReceivers.add(peer);
    }

    @Override
    public void scheduleTimer(long delayMicros) {
        timerAtMicros = Math.min(timerAtMicros, now + delayMicros);
    }

    @Override
    public void log(String message) {
        logLines.add(now + " remark " + message);
    }
}

package loadbalancer.routing;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.stream.LongStream;
import loadbalancer.routing.api.AttemptOutcome;
import loadbalancer.routing.api.DeduplicationScope;
import loadbalancer.routing.api.Endpoint;
import loadbalancer.routing.api.EndpointListKind;
import loadbalancer.routing.api.EndpointStatus;
import loadbalancer.routing.api.Idempotency;
import loadbalancer.routing.api.RequestClass;
import loadbalancer.routing.api.RoutingBounds;
import loadbalancer.routing.api.RoutingSettings;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * Tests four rules with random legal events: one response by the deadline, safe retries, no use of
 * draining endpoints, and the slow start budget. The checker itself is tested to detect violations.
 */
class RandomizedRoutingInvariantsTest {
    private static final long RESPONSE_SLACK_MICROS = 20_000;

    /** Holds the state of one request and of its attempts. */
    private static final class TrackedRequest {
        RequestClass requestClass;
        long deadline;
        String finalResponse;
        final List<Endpoint> endpoints = new ArrayList<>();
        final List<Long> sentAt = new ArrayList<>();
        // Outcome by attempt number; null while the attempt is in flight.
        final List<AttemptOutcome> outcomes = new ArrayList<>();
    }

    /** Receives events in order; each check returns a description of the violation, or null. */
    private static final class InvariantChecker {
        private final Map<String, TrackedRequest> requests = new HashMap<>();

        void onRequest(String requestId, RequestClass requestClass, long deadline) {
            TrackedRequest request = new TrackedRequest();
            request.requestClass = requestClass;
            request.deadline = deadline;
            requests.put(requestId, request);
        }

        String checkSent(String requestId, Endpoint endpoint, boolean usable, long now) {
            TrackedRequest request = requests.get(requestId);
            if (request.finalResponse != null) {
                return "sent after its answer";
            }
            if (!usable) {
                return "sent to a draining or removed endpoint";
            }
            for (int i = 0; i < request.outcomes.size(); i++) {
                boolean mayHaveRun =
                        request.outcomes.get(i) == null || !request.outcomes.get(i).neverRan();
                if (mayHaveRun
                        && request.requestClass.idempotency() == Idempotency.NON_IDEMPOTENT) {
                    return "a non-idempotent request may run twice";
                }
                boolean outsideScope =
                        switch (request.requestClass.deduplicationScope()) {
                            case ALL -> false;
                            case CELL -> request.endpoints.get(i).cell() != endpoint.cell();
                            case ZONE -> request.endpoints.get(i).zone() != endpoint.zone();
                        };
                if (mayHaveRun
                        && request.requestClass.idempotency() == Idempotency.IDEMPOTENCY_KEY
                        && (outsideScope
                                || now - request.sentAt.get(i)
                                        >= request.requestClass.idempotencyWindowMicros())) {
                    return "a request was resent outside its deduplication scope or window";
                }
            }
            request.endpoints.add(endpoint);
            request.sentAt.add(now);
            request.outcomes.add(null);
            return null;
        }

        String checkResponse(String requestId, String response, long now) {
            TrackedRequest request = requests.get(requestId);
            if (request.finalResponse != null) {
                return "answered twice";
            }
            request.finalResponse = response;
            if (now > request.deadline + RESPONSE_SLACK_MICROS) {
                return "answered too late";
            }
            boolean mayHaveRun =
                    request.outcomes.stream()
                            .anyMatch(outcome -> outcome == null || !outcome.neverRan());
            boolean repeatable =
                    request.requestClass.idempotency() == Idempotency.IDEMPOTENT
                            || (request.requestClass.idempotency() == Idempotency.IDEMPOTENCY_KEY
                                    && request.requestClass.deduplicationScope()
                                            == DeduplicationScope.ALL);
            return response.equals("refused") && mayHaveRun && !repeatable
                    ? "refused though it may have run"
                    : null;
        }

        String checkNothingLost(long now) {
            return requests.values().stream()
                            .anyMatch(
                                    request ->
                                            request.finalResponse == null
                                                    && now
                                                            > request.deadline
                                                                    + RESPONSE_SLACK_MICROS)
                    ? "a request was lost"
                    : null;
        }
    }

    /**
     * Checks the attempts sent to a warming endpoint in any overload window against its budget;
     * returns a description of the violation, or null.
     *
     * @param sendTimes times of the attempts in µs
     * @param startedAt start time of the endpoint in µs
     * @param warmPerSecond rate of a warm endpoint
     */
    static String checkSlowStartBudget(
            List<Long> sendTimes, long startedAt, double warmPerSecond, RoutingBounds bounds) {
        for (int i = 0; i < sendTimes.size(); i++) {
            long windowStart = sendTimes.get(i);
            double capacityFraction =
                    bounds.initialCapacityFraction()
                            + (1 - bounds.initialCapacityFraction())
                                    * (windowStart - startedAt)
                                    / bounds.slowStartMicros();
            long windowEnd = windowStart + bounds.overloadWindowMicros();
            long sentInWindow =
                    sendTimes.stream()
                            .filter(time -> time >= windowStart && time < windowEnd)
                            .count();
            double allowed =
                    bounds.overloadFactor()
                                    * capacityFraction
                                    * warmPerSecond
                                    * bounds.overloadWindowMicros()
                                    / 1e6
                            + 2;
            if (sentInWindow > allowed && windowStart - startedAt < bounds.slowStartMicros()) {
                return sentInWindow + " attempts sent in a window, allowed: " + allowed;
            }
        }
        return null;
    }

    @Test
    void checkerDetectsEveryViolation() {
        Endpoint firstEndpoint = new Endpoint("a", EndpointStatus.UP, 0, 1, 0, 0, 0);
        Endpoint secondEndpoint = new Endpoint("b", EndpointStatus.UP, 0, 1, 1, 0, 1);
        InvariantChecker checker = new InvariantChecker();
        checker.onRequest(
                "u",
                RoutingEngineHarness.requestClass(
                        Idempotency.NON_IDEMPOTENT, DeduplicationScope.ALL),
                100);
        assertNull(checker.checkSent("u", firstEndpoint, true, 0));
        assertTrue(checker.checkSent("u", secondEndpoint, true, 1).contains("twice"));
        assertTrue(checker.checkResponse("u", "refused", 1).contains("may have run"));
        assertTrue(checker.checkResponse("u", "failed", 1).contains("answered twice"));
        assertTrue(checker.checkSent("u", firstEndpoint, true, 2).contains("after its answer"));
        checker.onRequest(
                "k",
                RoutingEngineHarness.requestClass(
                        Idempotency.IDEMPOTENCY_KEY, DeduplicationScope.CELL),
                100);
        assertTrue(checker.checkSent("k", firstEndpoint, false, 0).contains("draining"));
        assertNull(checker.checkSent("k", firstEndpoint, true, 0));
        assertTrue(
                checker.checkSent("k", secondEndpoint, true, 0)
                        .contains("outside its deduplication scope"));
        assertTrue(checker.checkSent("k", firstEndpoint, true, 2_000_000).contains("window"));
        assertTrue(checker.checkNothingLost(100 + RESPONSE_SLACK_MICROS + 1).contains("lost"));
        assertTrue(
                checker.checkResponse("k", "failed", 100 + RESPONSE_SLACK_MICROS + 1)
                        .contains("too late"));
        RoutingBounds bounds =
                RoutingEngineHarness.settings(
                                RoutingEngineHarness.requestClass(
                                        Idempotency.IDEMPOTENT, DeduplicationScope.ALL))
                        .bounds();
        assertTrue(
                checkSlowStartBudget(LongStream.range(0, 30).boxed().toList(), 0, 10, bounds)
                        != null);
        assertNull(checkSlowStartBudget(List.of(0L, 900_000L), 0, 10, bounds));
    }

    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3, 4, 5, 6, 7, 8})
    void randomEventsKeepTheInvariants(long seed) {
        SplittableRandom random = new SplittableRandom(seed);
        List<RequestClass> requestClasses = requestClassesOfAllKinds();
        RoutingEngineHarness harness =
                new RoutingEngineHarness(
                        RoutingEngineHarness.settings(requestClasses.toArray(new RequestClass[0])),
                        seed);
        InvariantChecker checker = new InvariantChecker();
        Map<String, Endpoint> endpointsById = new HashMap<>();
        RoutingEngineHarness.endpoints(8)
                .forEach(endpoint -> endpointsById.put(endpoint.id(), endpoint));
        harness.updateEndpoints(EndpointListKind.CACHED, RoutingEngineHarness.endpoints(8));
        int checkedAttempts = 0;
        int checkedResponses = 0;
        for (int step = 0; step < 4000; step++) {
            int eventRoll = random.nextInt(100);
            List<RoutingEngineHarness.SentAttempt> inFlight =
                    harness.sentAttempts.stream().filter(attempt -> !attempt.ended).toList();
            if (eventRoll < 40) {
                RequestClass requestClass =
                        requestClasses.get(random.nextInt(requestClasses.size()));
                long remainingMicros = 100_000 + random.nextLong(2_000_000);
                checker.onRequest("r" + step, requestClass, harness.now + remainingMicros);
                harness.request(
                        "r" + step, requestClasses.indexOf(requestClass), 0, remainingMicros);
            } else if (eventRoll < 80 && !inFlight.isEmpty()) {
                RoutingEngineHarness.SentAttempt attempt =
                        inFlight.get(random.nextInt(inFlight.size()));
                endAttempt(harness, checker, attempt, randomOutcome(random));
            } else if (eventRoll < 84) {
                String id = "s" + random.nextInt(8);
                endpointsById.computeIfPresent(
                        id,
                        (i, endpoint) ->
                                endpoint.withStatus(EndpointStatus.values()[random.nextInt(3)]));
                harness.updateEndpoints(EndpointListKind.DELTA, List.of(endpointsById.get(id)));
            } else {
                harness.advanceTime(random.nextLong(20_000));
            }
            checkedAttempts = endOverdueAttempts(harness, checker, endpointsById, checkedAttempts);
            checkedAttempts = checkNewAttempts(harness, checker, endpointsById, checkedAttempts);
            checkedResponses = checkNewResponses(harness, checker, checkedResponses);
            assertNull(checker.checkNothingLost(harness.now));
        }
        assertEquals(0, harness.duplicateFinalResponses);
        assertTrue(checkedAttempts > 800, "too few attempts were checked: " + checkedAttempts);
    }

    private static List<RequestClass> requestClassesOfAllKinds() {
        return List.of(
                RoutingEngineHarness.requestClass(Idempotency.IDEMPOTENT, DeduplicationScope.ALL),
                RoutingEngineHarness.requestClass(
                        Idempotency.NON_IDEMPOTENT, DeduplicationScope.ALL),
                RoutingEngineHarness.requestClass(
                        Idempotency.IDEMPOTENCY_KEY, DeduplicationScope.ALL),
                RoutingEngineHarness.requestClass(
                        Idempotency.IDEMPOTENCY_KEY, DeduplicationScope.CELL),
                RoutingEngineHarness.requestClass(
                        Idempotency.IDEMPOTENCY_KEY, DeduplicationScope.ZONE));
    }

    /** Returns OK in two of three cases, otherwise any outcome except the last of the enum. */
    static AttemptOutcome randomOutcome(SplittableRandom random) {
        AttemptOutcome[] allOutcomes = AttemptOutcome.values();
        return random.nextInt(3) > 0
                ? AttemptOutcome.OK
                : allOutcomes[random.nextInt(allOutcomes.length - 1)];
    }

    /** Times out attempts past their request's deadline; returns the number of checked attempts. */
    private static int endOverdueAttempts(
            RoutingEngineHarness harness,
            InvariantChecker checker,
            Map<String, Endpoint> endpointsById,
            int firstIndex) {
        int checkedAttempts = firstIndex;
        for (RoutingEngineHarness.SentAttempt attempt : new ArrayList<>(harness.sentAttempts)) {
            if (!attempt.ended && harness.now >= checker.requests.get(attempt.requestId).deadline) {
                checkedAttempts =
                        checkNewAttempts(harness, checker, endpointsById, checkedAttempts);
                endAttempt(harness, checker, attempt, AttemptOutcome.TIMEOUT);
            }
        }
        return checkedAttempts;
    }

    private static int checkNewResponses(
            RoutingEngineHarness harness, InvariantChecker checker, int firstIndex) {
        List<String> answeredIds = List.copyOf(harness.finalResponses.keySet());
        for (int i = firstIndex; i < answeredIds.size(); i++) {
            String id = answeredIds.get(i);
            assertNull(checker.checkResponse(id, harness.finalResponses.get(id), harness.now));
        }
        return answeredIds.size();
    }

    private static void endAttempt(
            RoutingEngineHarness harness,
            InvariantChecker checker,
            RoutingEngineHarness.SentAttempt attempt,
            AttemptOutcome outcome) {
        checker.requests.get(attempt.requestId).outcomes.set(attempt.attemptNumber, outcome);
        harness.endAttempt(attempt, outcome);
    }

    private static int checkNewAttempts(
            RoutingEngineHarness harness,
            InvariantChecker checker,
            Map<String, Endpoint> endpointsById,
            int firstIndex) {
        for (int i = firstIndex; i < harness.sentAttempts.size(); i++) {
            RoutingEngineHarness.SentAttempt attempt = harness.sentAttempts.get(i);
            Endpoint endpoint = endpointsById.get(attempt.endpointId);
            assertNull(
                    checker.checkSent(
                            attempt.requestId,
                            endpoint,
                            endpoint.status() == EndpointStatus.UP,
                            attempt.sentAtMicros),
                    attempt.requestId);
        }
        return harness.sentAttempts.size();
    }

    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3, 4, 5, 6})
    void randomTrafficKeepsSlowStartBudget(long seed) {
        SplittableRandom random = new SplittableRandom(seed);
        RoutingSettings settings =
                RoutingEngineHarness.settings(
                        RoutingEngineHarness.requestClass(
                                Idempotency.IDEMPOTENT, DeduplicationScope.ALL));
        RoutingEngineHarness harness =
                new RoutingEngineHarness(settings, seed)
                        .updateEndpoints(
                                EndpointListKind.CACHED, RoutingEngineHarness.endpoints(5));
        long startedAt = 0;
        for (int i = 0; i < 1500; i++) {
            // Each of the five warm endpoints serves 40 requests a second.
            if (i == 500) {
                harness.updateEndpoints(
                        EndpointListKind.DELTA,
                        List.of(new Endpoint("cold", EndpointStatus.UP, harness.now, 1, 0, 0, 0)));
            }
            for (int j = 0; j < 4; j++) {
                harness.request("x" + i + "/" + j, 0);
            }
            harness.advanceTime(10_000 + random.nextLong(20_000));
            harness.sentAttempts.stream()
                    .filter(
                            attempt ->
                                    !attempt.ended && harness.now - attempt.sentAtMicros >= 30_000)
                    .toList()
                    .forEach(attempt -> harness.endAttempt(attempt, AttemptOutcome.OK));
            startedAt = i < 500 ? harness.now : startedAt;
        }
        List<Long> sendTimes =
                harness.sentAttempts.stream()
                        .filter(attempt -> attempt.endpointId.equals("cold"))
                        .map(attempt -> attempt.sentAtMicros)
                        .toList();
        assertTrue(
                sendTimes.size() > 20,
                "attempts sent to the warming endpoint: " + sendTimes.size());
        assertNull(checkSlowStartBudget(sendTimes, startedAt, 40, settings.bounds()));
    }
}

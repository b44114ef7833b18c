package loadbalancer.routing;

import static loadbalancer.routing.RoutingEngineHarness.DEADLINE_MICROS;
import static loadbalancer.routing.RoutingEngineHarness.IDEMPOTENT;
import static loadbalancer.routing.RoutingEngineHarness.NON_IDEMPOTENT;
import static loadbalancer.routing.RoutingEngineHarness.requestClass;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.TreeMap;
import loadbalancer.routing.RoutingEngineHarness.SentAttempt;
import loadbalancer.routing.api.AttemptOutcome;
import loadbalancer.routing.api.DeduplicationScope;
import loadbalancer.routing.api.DiscoveryMode;
import loadbalancer.routing.api.Endpoint;
import loadbalancer.routing.api.EndpointListKind;
import loadbalancer.routing.api.EndpointStatus;
import loadbalancer.routing.api.Idempotency;
import loadbalancer.routing.api.RequestClass;
import loadbalancer.routing.api.Tenant;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Tests the invariants of routing with random legal event sequences. */
class RoutingInvariantsTest {
    private static final int STEP_COUNT = 6000;
    private static final int ENDPOINT_COUNT = 8;
    private static final List<RequestClass> REQUEST_CLASSES =
            List.of(
                    IDEMPOTENT,
                    NON_IDEMPOTENT,
                    requestClass(Idempotency.IDEMPOTENCY_KEY, DeduplicationScope.ALL),
                    requestClass(Idempotency.IDEMPOTENCY_KEY, DeduplicationScope.CELL),
                    requestClass(Idempotency.IDEMPOTENCY_KEY, DeduplicationScope.ZONE));

    /**
     * Covers unusual legal events: late outcomes, endpoint lists that are stale, empty or partial,
     * endpoint restarts, and client disconnects.
     */
    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3, 4, 5, 6, 7, 8, 9, 10, 11, 12})
    void randomEventsKeepTheInvariants(long seed) {
        RandomEvents events = new RandomEvents(seed);
        for (int step = 0; step < STEP_COUNT; step++) {
            events.next(step);
            events.endExpiredAttempts();
            events.checkNewAttempts();
        }
        events.finish();
        events.checkFinalResponses();
    }

    /** Delivers random events to one policy and records what is needed to check its actions. */
    private static final class RandomEvents {
        private final SplittableRandom random;
        private final boolean hedgingAllowed;
        private final RoutingEngineHarness harness;
        private final Map<String, Long> deadlineByRequest = new TreeMap<>();
        private final Map<String, Integer> classByRequest = new TreeMap<>();
        private final Map<String, Long> unusableSince = new TreeMap<>();
        private final Map<String, Map<Integer, AttemptOutcome>> outcomesByRequest = new TreeMap<>();
        private final List<String> disconnectedRequests = new ArrayList<>();
        private int checkedAttempts;

        RandomEvents(long seed) {
            random = new SplittableRandom(seed);
            hedgingAllowed = random.nextBoolean();
            harness =
                    new RoutingEngineHarness(
                            RoutingEngineHarness.settings(
                                    1 + random.nextInt(4),
                                    hedgingAllowed,
                                    random.nextBoolean() ? DiscoveryMode.POLL : DiscoveryMode.PUSH,
                                    List.of(new Tenant(5), new Tenant(50)),
                                    REQUEST_CLASSES.toArray(new RequestClass[0])),
                            seed);
            harness.updateEndpoints(
                    EndpointListKind.CACHED,
                    RoutingEngineHarness.endpoints(random.nextInt(ENDPOINT_COUNT)));
        }

        void next(int step) {
            int eventRoll = random.nextInt(100);
            if (eventRoll < 45) {
                sendRequest("r" + step);
            } else if (eventRoll < 88) {
                endRandomAttempt();
            } else if (eventRoll < 90 && !deadlineByRequest.isEmpty()) {
                disconnectClient("r" + random.nextInt(step + 1));
            } else if (eventRoll < 93) {
                changeEndpoint("s" + random.nextInt(ENDPOINT_COUNT));
            } else if (eventRoll < 94) {
                harness.updateEndpoints(EndpointListKind.FAILED, List.of());
            } else {
                harness.advanceTime(random.nextLong(60_000));
            }
        }

        private void sendRequest(String requestId) {
            int classIndex = random.nextInt(REQUEST_CLASSES.size());
            long remainingMicros =
                    random.nextInt(10) == 0
                            ? random.nextLong(30_000)
                            : 200_000 + random.nextLong(2_800_000);
            deadlineByRequest.put(requestId, harness.now + remainingMicros);
            classByRequest.put(requestId, classIndex);
            harness.request(requestId, classIndex, random.nextInt(2), remainingMicros);
        }

        private void endRandomAttempt() {
            List<SentAttempt> inFlight =
                    harness.sentAttempts.stream().filter(attempt -> !attempt.ended).toList();
            if (inFlight.isEmpty()) {
                return;
            }
            SentAttempt attempt = inFlight.get(random.nextInt(inFlight.size()));
            AttemptOutcome[] allOutcomes = AttemptOutcome.values();
            AttemptOutcome outcome =
                    random.nextInt(3) > 0
                            ? AttemptOutcome.OK
                            : allOutcomes[random.nextInt(allOutcomes.length)];
            boolean disconnected = disconnectedRequests.contains(attempt.requestId);
            endAttempt(
                    attempt,
                    outcome == AttemptOutcome.OK && disconnected
                            ? AttemptOutcome.CANCELLED
                            : outcome);
        }

        private void endAttempt(SentAttempt attempt, AttemptOutcome outcome) {
            outcomesByRequest
                    .computeIfAbsent(attempt.requestId, requestId -> new TreeMap<>())
                    .put(attempt.attemptNumber, outcome);
            harness.endAttempt(attempt, outcome);
        }

        private void disconnectClient(String requestId) {
            if (deadlineByRequest.containsKey(requestId)
                    && !harness.finalResponses.containsKey(requestId)) {
                harness.finalResponses.put(requestId, "gone");
                disconnectedRequests.add(requestId);
                harness.policy.onClientDisconnected(harness.now, requestId, harness);
            }
        }

        private void changeEndpoint(String endpointId) {
            EndpointStatus status = EndpointStatus.values()[random.nextInt(3)];
            long startedAt = random.nextBoolean() ? 0 : harness.now - random.nextLong(5_000_000);
            Endpoint endpoint =
                    new Endpoint(
                            endpointId,
                            status,
                            startedAt,
                            1 + random.nextInt(3),
                            random.nextInt(2),
                            random.nextInt(2),
                            random.nextInt(2));
            harness.updateEndpoints(EndpointListKind.DELTA, List.of(endpoint));
            if (status == EndpointStatus.UP) {
                unusableSince.remove(endpointId);
            } else {
                unusableSince.put(endpointId, harness.now);
            }
        }

        /** Ends the attempts whose timeout or request deadline has passed, as a caller would. */
        void endExpiredAttempts() {
            for (SentAttempt attempt : new ArrayList<>(harness.sentAttempts)) {
                long deadline = deadlineByRequest.get(attempt.requestId);
                long endsAt =
                        attempt.timeoutMicros > 0
                                ? Math.min(attempt.sentAtMicros + attempt.timeoutMicros, deadline)
                                : deadline;
                if (!attempt.ended && harness.now >= endsAt) {
                    endAttempt(attempt, AttemptOutcome.TIMEOUT);
                }
            }
        }

        void checkNewAttempts() {
            for (; checkedAttempts < harness.sentAttempts.size(); checkedAttempts++) {
                SentAttempt attempt = harness.sentAttempts.get(checkedAttempts);
                Long unusableFrom = unusableSince.get(attempt.endpointId);
                assertTrue(
                        unusableFrom == null || attempt.sentAtMicros <= unusableFrom,
                        "sent to a draining or removed endpoint: " + attempt.endpointId);
                assertRetryAllowed(attempt);
            }
        }

        private void assertRetryAllowed(SentAttempt attempt) {
            RequestClass requestClass = REQUEST_CLASSES.get(classByRequest.get(attempt.requestId));
            for (SentAttempt earlier : harness.attemptsOf(attempt.requestId)) {
                if (earlier.attemptNumber >= attempt.attemptNumber) {
                    continue;
                }
                AttemptOutcome outcome =
                        outcomesByRequest
                                .getOrDefault(attempt.requestId, Map.of())
                                .get(earlier.attemptNumber);
                boolean inFlight = outcome == null;
                assertTrue(
                        hedgingAllowed || !inFlight,
                        "two attempts in flight with hedging disabled");
                if (inFlight || !outcome.neverRan()) {
                    assertTrue(
                            requestClass.idempotency() != Idempotency.NON_IDEMPOTENT,
                            "a non-idempotent request was sent twice");
                    assertTrue(
                            requestClass.idempotency() != Idempotency.IDEMPOTENCY_KEY
                                    || attempt.sentAtMicros - earlier.sentAtMicros
                                            < requestClass.idempotencyWindowMicros(),
                            "sent after its idempotency window");
                }
                assertTrue(outcome != AttemptOutcome.OK, "sent after a successful attempt");
            }
        }

        void finish() {
            harness.advanceTime(DEADLINE_MICROS + 100_000);
            for (SentAttempt attempt : new ArrayList<>(harness.sentAttempts)) {
                if (!attempt.ended) {
                    harness.endAttempt(attempt, AttemptOutcome.TIMEOUT);
                }
            }
            harness.advanceTime(DEADLINE_MICROS + 100_000);
        }

        void checkFinalResponses() {
            assertEquals(0, harness.duplicateFinalResponses);
            for (String requestId : deadlineByRequest.keySet()) {
                assertTrue(
                        harness.finalResponses.containsKey(requestId),
                        "no final response to " + requestId);
            }
        }
    }
}

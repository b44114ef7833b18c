package loadbalancer.routing;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.SplittableRandom;
import loadbalancer.routing.api.AttemptOutcome;
import loadbalancer.routing.api.DeduplicationScope;
import loadbalancer.routing.api.Endpoint;
import loadbalancer.routing.api.EndpointListKind;
import loadbalancer.routing.api.EndpointStatus;
import loadbalancer.routing.api.Idempotency;
import loadbalancer.routing.api.RequestClass;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Tests key ordering and placement with random legal event sequences and a separate checker. */
class RandomizedOrderingAndPlacementTest {
    /** Tracks the requests of each key in order of acceptance, and checks each sent attempt. */
    private static final class OrderingChecker {
        private final Map<String, List<String>> accepted = new LinkedHashMap<>();
        private final Map<String, String> keyByRequest = new LinkedHashMap<>();
        private final Map<String, Integer> inFlightCounts = new LinkedHashMap<>();
        private final Map<String, Boolean> answered = new LinkedHashMap<>();
        private final Map<String, Long> cooldownUntil = new LinkedHashMap<>();

        void accepted(String requestId, String key) {
            accepted.computeIfAbsent(key, k -> new ArrayList<>()).add(requestId);
            keyByRequest.put(requestId, key);
        }

        void attemptEnded(String requestId, AttemptOutcome outcome, long now) {
            inFlightCounts.merge(requestId, -1, Integer::sum);
            if (Set.of(AttemptOutcome.TIMEOUT, AttemptOutcome.RESET, AttemptOutcome.CANCELLED)
                    .contains(outcome)) {
                cooldownUntil.put(requestId, now + RoutingEngineHarness.KEY_COOLDOWN_MICROS);
            }
        }

        String checkSend(String requestId, long now) {
            String key = keyByRequest.get(requestId);
            for (String earlierId : key == null ? List.<String>of() : accepted.get(key)) {
                if (earlierId.equals(requestId)) {
                    break;
                }
                if (!answered.getOrDefault(earlierId, false)
                        || inFlightCounts.getOrDefault(earlierId, 0) > 0) {
                    return requestId + " was sent before " + earlierId + " was over";
                }
                if (cooldownUntil.getOrDefault(earlierId, 0L) > now) {
                    return requestId
                            + " was sent during the cooldown of the key after "
                            + earlierId;
                }
            }
            inFlightCounts.merge(requestId, 1, Integer::sum);
            return null;
        }

        static String checkPlacement(RequestClass requestClass, Endpoint endpoint) {
            boolean zoneAllowed =
                    requestClass.allowedZones().isEmpty()
                            || requestClass.allowedZones().contains(endpoint.zone());
            boolean machineTypeAllowed =
                    requestClass.allowedMachineTypes().isEmpty()
                            || requestClass.allowedMachineTypes().contains(endpoint.machineType());
            return zoneAllowed && machineTypeAllowed
                    ? null
                    : "sent to " + endpoint.id() + ", which the placement of the class excludes";
        }
    }

    @Test
    void checkerDetectsViolations() {
        OrderingChecker checker = new OrderingChecker();
        checker.accepted("a", "k");
        checker.accepted("b", "k");
        assertEquals(null, checker.checkSend("a", 0));
        assertTrue(checker.checkSend("b", 1).contains("before a was over"));
        checker.answered.put("a", true);
        assertTrue(
                checker.checkSend("b", 1).contains("before a was over"),
                "an attempt of request a is still in flight");
        checker.attemptEnded("a", AttemptOutcome.TIMEOUT, 2);
        assertTrue(checker.checkSend("b", 3).contains("during the cooldown"));
        assertEquals(null, checker.checkSend("b", 2 + RoutingEngineHarness.KEY_COOLDOWN_MICROS));
        RequestClass placedClass =
                requestClass(Idempotency.IDEMPOTENT, false, Set.of(1), Set.of(0));
        assertTrue(
                OrderingChecker.checkPlacement(
                                placedClass, new Endpoint("s", EndpointStatus.UP, 0, 1, 0, 0, 0))
                        != null);
        assertTrue(
                OrderingChecker.checkPlacement(
                                placedClass, new Endpoint("s", EndpointStatus.UP, 0, 1, 0, 1, 1))
                        != null);
        assertEquals(
                null,
                OrderingChecker.checkPlacement(
                        placedClass, new Endpoint("s", EndpointStatus.UP, 0, 1, 0, 0, 1)));
    }

    private static RequestClass requestClass(
            Idempotency idempotency,
            boolean ordered,
            Set<Integer> zones,
            Set<Integer> machineTypes) {
        return new RequestClass(
                idempotency,
                DeduplicationScope.ALL,
                2_000_000,
                RoutingEngineHarness.LATENCY_OBJECTIVE_MICROS,
                RoutingEngineHarness.DEADLINE_MICROS,
                0,
                1,
                0.3,
                false,
                ordered,
                zones,
                machineTypes);
    }

    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3, 4, 5, 6, 7, 8})
    void randomEventsKeepOrderAndPlacement(long seed) {
        SplittableRandom random = new SplittableRandom(seed);
        List<RequestClass> requestClasses = orderedAndPlacedClasses();
        RoutingEngineHarness harness =
                new RoutingEngineHarness(
                        RoutingEngineHarness.settings(requestClasses.toArray(new RequestClass[0])),
                        seed);
        OrderingChecker checker = new OrderingChecker();
        Map<String, Integer> classByRequest = new LinkedHashMap<>();
        Map<String, Endpoint> endpointsById = endpointsOfTwoZonesAndTypes();
        harness.updateEndpoints(EndpointListKind.CACHED, List.copyOf(endpointsById.values()));
        RandomRun run =
                new RandomRun(harness, checker, requestClasses, classByRequest, endpointsById);
        int checkedAttempts = 0;
        for (int step = 0; step < 3000; step++) {
            int eventRoll = random.nextInt(100);
            String key = "k" + random.nextInt(6);
            if (eventRoll < 40) {
                String requestId = "r" + step;
                int classIndex = random.nextInt(requestClasses.size());
                classByRequest.put(requestId, classIndex);
                if (requestClasses.get(classIndex).ordered()) {
                    checker.accepted(requestId, key);
                }
                harness.request(
                        requestId, classIndex, 0, key, 500_000 + random.nextLong(2_000_000), false);
            } else if (eventRoll < 80) {
                List<RoutingEngineHarness.SentAttempt> inFlight =
                        harness.sentAttempts.stream().filter(attempt -> !attempt.ended).toList();
                if (!inFlight.isEmpty()) {
                    RoutingEngineHarness.SentAttempt sent =
                            inFlight.get(random.nextInt(inFlight.size()));
                    AttemptOutcome outcome = RandomizedRoutingInvariantsTest.randomOutcome(random);
                    checkedAttempts = endAttempt(run, sent, outcome, checkedAttempts);
                }
            } else if (eventRoll < 84) {
                Endpoint endpoint = endpointsById.get("s" + random.nextInt(8));
                harness.updateEndpoints(
                        EndpointListKind.DELTA,
                        List.of(endpoint.withStatus(EndpointStatus.values()[random.nextInt(3)])));
            } else if (eventRoll < 86 && !classByRequest.isEmpty()) {
                List<String> requestIds = List.copyOf(classByRequest.keySet());
                disconnect(harness, checker, requestIds.get(random.nextInt(requestIds.size())));
            } else {
                harness.advanceTime(random.nextLong(40_000));
            }
            checkedAttempts = checkNewAttempts(run, checkedAttempts);
        }
        assertTrue(checkedAttempts > 500, "too few attempts were checked: " + checkedAttempts);
    }

    /** Holds the harness, the checker, and the requests and endpoints of a random run. */
    private record RandomRun(
            RoutingEngineHarness harness,
            OrderingChecker checker,
            List<RequestClass> requestClasses,
            Map<String, Integer> classByRequest,
            Map<String, Endpoint> endpointsById) {}

    private static List<RequestClass> orderedAndPlacedClasses() {
        return List.of(
                requestClass(Idempotency.IDEMPOTENT, true, Set.of(), Set.of()),
                requestClass(Idempotency.NON_IDEMPOTENT, true, Set.of(0), Set.of()),
                requestClass(Idempotency.IDEMPOTENCY_KEY, false, Set.of(), Set.of(1)),
                requestClass(Idempotency.IDEMPOTENT, false, Set.of(1), Set.of(0)));
    }

    private static Map<String, Endpoint> endpointsOfTwoZonesAndTypes() {
        Map<String, Endpoint> endpointsById = new LinkedHashMap<>();
        for (int i = 0; i < 8; i++) {
            endpointsById.put(
                    "s" + i, new Endpoint("s" + i, EndpointStatus.UP, 0, 1, 0, i / 2 % 2, i % 2));
        }
        return endpointsById;
    }

    /** Disconnects the client of a request unless the request has its final response. */
    private static void disconnect(
            RoutingEngineHarness harness, OrderingChecker checker, String requestId) {
        if (harness.finalResponses.putIfAbsent(requestId, "gone") == null) {
            checker.answered.put(requestId, true);
            harness.policy.onClientDisconnected(harness.now, requestId, harness);
        }
    }

    private static int endAttempt(
            RandomRun run,
            RoutingEngineHarness.SentAttempt sent,
            AttemptOutcome outcome,
            int checkedAttempts) {
        run.checker.attemptEnded(sent.requestId, outcome, run.harness.now);
        if (outcome == AttemptOutcome.OK) {
            run.checker.answered.put(sent.requestId, true);
        }
        run.harness.endAttempt(sent, outcome);
        return checkNewAttempts(run, checkedAttempts);
    }

    private static int checkNewAttempts(RandomRun run, int firstIndex) {
        run.harness
                .finalResponses
                .keySet()
                .forEach(requestId -> run.checker.answered.put(requestId, true));
        int checkedAttempts = firstIndex;
        for (; checkedAttempts < run.harness.sentAttempts.size(); checkedAttempts++) {
            RoutingEngineHarness.SentAttempt attempt =
                    run.harness.sentAttempts.get(checkedAttempts);
            int classIndex = run.classByRequest.get(attempt.requestId);
            assertEquals(null, run.checker.checkSend(attempt.requestId, attempt.sentAtMicros));
            assertEquals(
                    null,
                    OrderingChecker.checkPlacement(
                            run.requestClasses.get(classIndex),
                            run.endpointsById.get(attempt.endpointId)));
        }
        return checkedAttempts;
    }
}

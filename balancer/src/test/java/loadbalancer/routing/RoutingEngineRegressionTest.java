package loadbalancer.routing;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.stream.IntStream;
import loadbalancer.routing.api.AttemptOutcome;
import loadbalancer.routing.api.DeduplicationScope;
import loadbalancer.routing.api.DiscoveryMode;
import loadbalancer.routing.api.EndpointListKind;
import loadbalancer.routing.api.Idempotency;
import loadbalancer.routing.api.RequestClass;
import loadbalancer.routing.api.RoutingSettings;
import loadbalancer.routing.api.Tenant;
import org.junit.jupiter.api.Test;

/** One test for each failure found: it fails without the answer to it in Rules. */
class RoutingEngineRegressionTest {
    private static final RequestClass IDEMPOTENT =
            RoutingEngineHarness.requestClass(Idempotency.IDEMPOTENT, DeduplicationScope.ALL);
    private static final RequestClass NON_IDEMPOTENT =
            RoutingEngineHarness.requestClass(Idempotency.NON_IDEMPOTENT, DeduplicationScope.ALL);

    private static RoutingEngineHarness harness(int endpointCount, RequestClass... requestClasses) {
        return new RoutingEngineHarness(RoutingEngineHarness.settings(requestClasses), 11)
                .updateEndpoints(
                        EndpointListKind.CACHED, RoutingEngineHarness.endpoints(endpointCount));
    }

    /** Serves four requests at a time for a while; attempts on the bad servers end as told. */
    private static void serveRequests(
            RoutingEngineHarness harness,
            int rounds,
            long latencyMicros,
            Map<String, AttemptOutcome> failureOutcomes) {
        for (int i = 0; i < rounds; i++) {
            for (int j = 0; j < 4; j++) {
                harness.request("q" + harness.now + "/" + i + "/" + j, 0);
            }
            harness.advanceTime(latencyMicros);
            harness.sentAttempts.stream()
                    .filter(attempt -> !attempt.ended)
                    .toList()
                    .forEach(
                            attempt ->
                                    harness.endAttempt(
                                            attempt,
                                            failureOutcomes.getOrDefault(
                                                    attempt.endpointId, AttemptOutcome.OK)));
        }
    }

    @Test
    void fastFailingEndpointIsEjectedAndRecovers() {
        RoutingEngineHarness harness = harness(6, IDEMPOTENT);
        serveRequests(harness, 100, 20_000, Map.of());
        long measuredFrom = harness.now;
        serveRequests(harness, 200, 20_000, Map.of("s1", AttemptOutcome.ERROR));
        assertTrue(
                harness.countSentTo("s1", measuredFrom) < 20,
                "4 s of failures took " + harness.countSentTo("s1", measuredFrom));
        assertTrue(harness.logLines.stream().anyMatch(line -> line.contains("ejected s1")));
        serveRequests(harness, 1200, 20_000, Map.of());
        assertTrue(harness.logLines.stream().anyMatch(line -> line.contains("recovered s1")));
    }

    @Test
    void rejectingEndpointIsEjected() {
        // A hung server fills up, then turns attempts away: 8% of attempts were lost on such ones.
        RoutingEngineHarness harness = harness(6, NON_IDEMPOTENT);
        serveRequests(harness, 100, 20_000, Map.of());
        long measuredFrom = harness.now;
        serveRequests(harness, 300, 20_000, Map.of("s1", AttemptOutcome.REJECTED));
        assertTrue(harness.logLines.stream().anyMatch(line -> line.contains("ejected s1")));
        assertTrue(
                harness.countSentTo("s1", measuredFrom) < 40,
                "6 s of refusals took " + harness.countSentTo("s1", measuredFrom));
    }

    @Test
    void stalledEndpointIsAvoidedBeforeTimeouts() {
        RoutingEngineHarness harness = harness(3, NON_IDEMPOTENT);
        serveRequests(harness, 100, 30_000, Map.of());
        RoutingEngineHarness.SentAttempt stalledAttempt = harness.request("stuck", 0);
        harness.advanceTime(200_000);
        long measuredFrom = harness.now;
        for (int i = 0; i < 40; i++) {
            // Three at a time: the third finds all queues alike
            for (int j = 0; j < 3; j++) {
                harness.request("n" + i + "/" + j, 0);
            }
            harness.advanceTime(20_000);
            harness.sentAttempts.stream()
                    .filter(attempt -> !attempt.ended && attempt != stalledAttempt)
                    .toList()
                    .forEach(attempt -> harness.endAttempt(attempt, AttemptOutcome.OK));
        }
        assertEquals(0, harness.countSentTo(stalledAttempt.endpointId, measuredFrom));
    }

    @Test
    void serviceResumesAfterAllEndpointsFailed() {
        RoutingEngineHarness harness = harness(4, IDEMPOTENT);
        serveRequests(harness, 60, 20_000, Map.of());
        Map<String, AttemptOutcome> failureOutcomes = new HashMap<>();
        List.of("s0", "s1", "s2", "s3").forEach(s -> failureOutcomes.put(s, AttemptOutcome.ERROR));
        serveRequests(harness, 60, 20_000, failureOutcomes);
        long measuredFrom = harness.now;
        serveRequests(harness, 20, 20_000, Map.of());
        assertTrue(
                harness.sentAttempts.stream()
                                .filter(attempt -> attempt.sentAtMicros >= measuredFrom)
                                .count()
                        >= 10,
                "requests are still sent");
    }

    @Test
    void concurrencyRecoversAfterOverload() {
        // Idle servers kept their old strain, which held the limit down for 20 s after the load had
        // gone.
        RoutingEngineHarness harness = harness(6, IDEMPOTENT);
        serveRequests(harness, 200, 30_000, Map.of());
        for (int i = 0; i < 60; i++) {
            // Everything takes ten times as long
            harness.request("slow" + i, 0);
            harness.advanceTime(50_000);
            harness.sentAttempts.stream()
                    .filter(
                            attempt ->
                                    !attempt.ended && harness.now - attempt.sentAtMicros >= 400_000)
                    .toList()
                    .forEach(attempt -> harness.endAttempt(attempt, AttemptOutcome.OK));
        }
        harness.sentAttempts.stream()
                .filter(attempt -> !attempt.ended)
                .toList()
                .forEach(attempt -> harness.endAttempt(attempt, AttemptOutcome.OK));
        harness.advanceTime(4_000_000);
        int sentAtOnce = 0;
        for (int i = 0; i < 10 * 12; i++) {
            // Twelve at a time
            sentAtOnce += harness.request("after" + i, 0) != null ? 1 : 0;
            while (i % 12 == 11
                    && i < 9 * 12
                    && harness.sentAttempts.stream().anyMatch(attempt -> !attempt.ended)) {
                harness.advanceTime(30_000);
                harness.sentAttempts.stream()
                        .filter(attempt -> !attempt.ended)
                        .toList()
                        .forEach(attempt -> harness.endAttempt(attempt, AttemptOutcome.OK));
                sentAtOnce = 0;
            }
        }
        assertTrue(sentAtOnce >= 8, "only " + sentAtOnce + " of 12 were sent at once");
    }

    @Test
    void tenantOverQuotaLosesOnlyItsExcess() {
        // All requests of a tenant over its share were marked, so its share starved too.
        RoutingEngineHarness harness =
                new RoutingEngineHarness(
                                RoutingEngineHarness.settings(
                                        1,
                                        true,
                                        DiscoveryMode.PUSH,
                                        List.of(new Tenant(20), new Tenant(20)),
                                        NON_IDEMPOTENT),
                                3)
                        .updateEndpoints(
                                EndpointListKind.CACHED, RoutingEngineHarness.endpoints(2));
        Map<Integer, int[]> servedByTenant = Map.of(0, new int[2], 1, new int[2]);
        for (int i = 0; i < 1200; i++) {
            // Tenant 0 brings 80 a second, tenant 1 20
            int tenant = i % 5 == 4 ? 1 : 0;
            servedByTenant.get(tenant)[0]++;
            harness.request(tenant + "-" + i, 0, tenant, 2_000_000);
            harness.advanceTime(10_000);
            harness.sentAttempts.stream()
                    .filter(
                            attempt ->
                                    !attempt.ended && harness.now - attempt.sentAtMicros >= 300_000)
                    .toList()
                    .forEach(attempt -> harness.endAttempt(attempt, AttemptOutcome.OK));
        }
        harness.finalResponses.forEach(
                (requestId, response) -> {
                    if (response.equals("ok")) {
                        servedByTenant.get(requestId.charAt(0) - '0')[1]++;
                    }
                });
        double overQuotaRate = servedByTenant.get(0)[1] / 12.0;
        double withinQuotaFraction = servedByTenant.get(1)[1] / (double) servedByTenant.get(1)[0];
        assertTrue(
                withinQuotaFraction > 0.1,
                "the tenant within its share comes first: " + withinQuotaFraction);
        assertTrue(
                overQuotaRate >= 12,
                "the other keeps most of its share of 20 a second: " + overQuotaRate);
    }

    @Test
    void longClockGapIsHandled() {
        // With every server idle for 13 minutes all weights of the middle strain are 0.
        RoutingEngineHarness harness = harness(1, IDEMPOTENT);
        for (int i = 0; i < 10; i++) {
            harness.endAttempt(harness.request("r" + i, 0), AttemptOutcome.OK);
        }
        harness.now += 2_000_000_000L;
        harness.policy.onTimer(harness.now, harness);
        assertTrue(harness.request("after", 0) != null);
    }

    /** A harness without a usable server: what comes in is held. */
    private static RoutingEngineHarness harnessWithoutEndpoints(RequestClass... requestClasses) {
        return new RoutingEngineHarness(RoutingEngineHarness.settings(requestClasses), 11)
                .updateEndpoints(EndpointListKind.CACHED, List.of());
    }

    @Test
    void lateResubmissionIsRejected() {
        // A third of all answers came after the first try's aim: worthless work that crowded out
        // the rest.
        RoutingEngineHarness harness = harness(6, IDEMPOTENT);
        serveRequests(harness, 20, 20_000, Map.of());
        harness.resubmit(
                "late",
                0,
                RoutingEngineHarness.DEADLINE_MICROS
                        - RoutingEngineHarness.LATENCY_OBJECTIVE_MICROS
                        - 200_000);
        // This one can still be in time
        harness.resubmit("quick", 0, RoutingEngineHarness.DEADLINE_MICROS - 150_000);
        assertEquals(1, harness.attemptsOf("quick").size());
        assertEquals("refused", harness.finalResponses.get("late"));
    }

    @Test
    void timelyResubmissionIsServed() {
        RoutingEngineHarness harness = harness(6, IDEMPOTENT);
        serveRequests(harness, 20, 20_000, Map.of());
        // As much time as a first try: age unknown
        harness.resubmit("again", 0, RoutingEngineHarness.DEADLINE_MICROS);
        assertEquals(1, harness.attemptsOf("again").size());
    }

    @Test
    void mostUrgentPendingRequestIsSentFirst() {
        // In order of arrival requests with a short aim ran out behind those with a long one.
        RequestClass patient =
                new RequestClass(
                        Idempotency.IDEMPOTENT,
                        DeduplicationScope.ALL,
                        0,
                        4 * RoutingEngineHarness.LATENCY_OBJECTIVE_MICROS,
                        4 * RoutingEngineHarness.DEADLINE_MICROS,
                        0,
                        1,
                        0,
                        false);
        RoutingEngineHarness harness = harnessWithoutEndpoints(IDEMPOTENT, patient);
        harness.request("patient", 1, 0, 4 * RoutingEngineHarness.DEADLINE_MICROS);
        harness.request("urgent", 0);
        harness.updateEndpoints(EndpointListKind.DELTA, RoutingEngineHarness.endpoints(1));
        assertEquals(
                List.of("urgent", "patient"),
                harness.sentAttempts.stream().map(attempt -> attempt.requestId).toList());
    }

    /** A change counts as told 6 s after discovery could be reached, however often calls failed. */
    @Test
    void repeatedDiscoveryFailureIsRetriedInTime() {
        RoutingEngineHarness harness =
                new RoutingEngineHarness(
                                RoutingEngineHarness.settings(
                                        2, true, DiscoveryMode.POLL, List.of(), IDEMPOTENT),
                                3)
                        .updateEndpoints(
                                EndpointListKind.CACHED, RoutingEngineHarness.endpoints(2));
        for (int i = 0; i < 200; i++) {
            harness.updateEndpoints(EndpointListKind.FAILED, List.of());
            int watchesBefore = harness.watchCount;
            long failedAt = harness.now;
            while (harness.watchCount == watchesBefore) {
                harness.advanceTime(10_000);
            }
            assertTrue(
                    harness.now - failedAt <= 1_510_000,
                    "after " + (harness.now - failedAt) + " us");
        }
        int watchesBefore = harness.watchCount;
        // Of silence: nobody tells that a call has failed
        harness.advanceTime(4_700_000);
        assertEquals(watchesBefore + 1, harness.watchCount);
    }

    @Test
    void discoveryIsRetriedWithBackoff() {
        RoutingEngineHarness harness =
                new RoutingEngineHarness(
                                RoutingEngineHarness.settings(
                                        2, true, DiscoveryMode.POLL, List.of(), IDEMPOTENT),
                                3)
                        .updateEndpoints(
                                EndpointListKind.CACHED, RoutingEngineHarness.endpoints(2));
        assertEquals(1, harness.watchCount);
        // Silence: asked again within AskWithin
        harness.advanceTime(7_000_000);
        assertEquals(2, harness.watchCount);
        for (int i = 0; i < 20; i++) {
            // 20 s of errors
            harness.updateEndpoints(EndpointListKind.FAILED, List.of());
            harness.advanceTime(1_000_000);
        }
        assertTrue(
                harness.watchCount >= 5 && harness.watchCount <= 16,
                "asked " + harness.watchCount + " times in 27 s");
        int watchesBefore = harness.watchCount;
        harness.updateEndpoints(EndpointListKind.DELTA, List.of());
        harness.advanceTime(60_000_000);
        assertEquals(watchesBefore, harness.watchCount, "subscribed: nothing more to ask");
        RoutingEngineHarness empty =
                new RoutingEngineHarness(RoutingEngineHarness.settings(IDEMPOTENT), 3);
        assertNull(empty.updateEndpoints(EndpointListKind.CACHED, List.of()).request("r", 0));
    }

    /**
     * Serves requests one by one, each answered after its latency; returns how many of them were
     * sent.
     */
    private static int countSent(
            RoutingEngineHarness harness,
            int requestCount,
            int classIndex,
            int tenantIndex,
            long latencyMicros) {
        int sentCount = 0;
        for (int i = 0; i < requestCount; i++) {
            RoutingEngineHarness.SentAttempt attempt =
                    harness.request(
                            "o" + harness.now + "/" + i,
                            classIndex,
                            tenantIndex,
                            RoutingEngineHarness.DEADLINE_MICROS);
            harness.advanceTime(latencyMicros);
            if (attempt != null) {
                sentCount++;
                harness.endAttempt(attempt, AttemptOutcome.OK);
                harness.attemptsOf(attempt.requestId).stream()
                        .filter(hedge -> !hedge.ended)
                        .forEach(hedge -> harness.endAttempt(hedge, AttemptOutcome.CANCELLED));
            }
        }
        return sentCount;
    }

    @Test
    void overloadShedsLoadAndRecovers() {
        // A limit on attempts in flight, about one for most balancers, refused most of a calm day.
        RoutingEngineHarness harness = harness(6, IDEMPOTENT);
        assertEquals(40, countSent(harness, 40, 0, 0, 50_000), "a calm day is served whole");
        countSent(harness, 30, 0, 0, 900_000);
        int sentUnderOverload = countSent(harness, 20, 0, 0, 900_000);
        assertTrue(
                sentUnderOverload < 14,
                "with all late a part is turned away at once: sent "
                        + sentUnderOverload
                        + " of 20");
        countSent(harness, 200, 0, 0, 50_000);
        assertTrue(countSent(harness, 40, 0, 0, 50_000) >= 39, "and let in again");
    }

    @Test
    void staleOverloadEstimateExpires() {
        // Refusing nearly all left no answers to learn from: the balancer never came back.
        RoutingEngineHarness harness = harness(6, IDEMPOTENT);
        countSent(harness, 60, 0, 0, 1_800_000);
        harness.advanceTime(20_000_000);
        assertTrue(countSent(harness, 20, 0, 0, 50_000) >= 19);
    }

    @Test
    void lowestPriorityIsShedFirst() {
        RequestClass highPriority =
                new RequestClass(
                        Idempotency.NON_IDEMPOTENT,
                        DeduplicationScope.ALL,
                        0,
                        RoutingEngineHarness.LATENCY_OBJECTIVE_MICROS,
                        RoutingEngineHarness.DEADLINE_MICROS,
                        0,
                        9,
                        0,
                        false);
        RoutingEngineHarness harness = harness(6, NON_IDEMPOTENT, highPriority);
        for (int i = 0; i < 30; i++) {
            countSent(harness, 1, 0, 0, 350_000);
            countSent(harness, 1, 1, 0, 350_000);
        }
        int lowPrioritySent = countSent(harness, 10, 0, 0, 1_000);
        int highPrioritySent = countSent(harness, 10, 1, 0, 1_000);
        assertTrue(
                highPrioritySent >= 8 && lowPrioritySent <= 2,
                "sent: " + highPrioritySent + " dear, " + lowPrioritySent + " cheap");
    }

    @Test
    void excessOfOneTenantDoesNotRaiseQuotas() {
        // A tenant at three times its share made all shares 1.75 times as wide: servers were
        // overdriven.
        List<Tenant> tenants = List.of(new Tenant(8.4), new Tenant(8.4), new Tenant(8.4));
        RoutingEngineHarness harness =
                new RoutingEngineHarness(
                                RoutingEngineHarness.settings(
                                        10, true, DiscoveryMode.PUSH, tenants, NON_IDEMPOTENT),
                                3)
                        .updateEndpoints(
                                EndpointListKind.CACHED, RoutingEngineHarness.endpoints(6));
        int sentCount = 0;
        for (int i = 0; i < 60; i++) {
            // 71 s of 270 ms each: this balancer's part of a share is 60
            sentCount += countSent(harness, 3, 0, 0, 270_000);
            countSent(harness, i % 10 < 7 ? 1 : 0, 0, 1, 270_000);
            countSent(harness, i % 10 < 7 ? 1 : 0, 0, 2, 270_000);
        }
        assertTrue(
                sentCount >= 55 && sentCount <= 80,
                "its share of 60 is served, not its excess: " + sentCount);
    }

    @Test
    void subsetGrowsWhenItsEndpointsFail() {
        // Every balancer opened a connection to every server: handshakes overran servers at a
        // start.
        RoutingEngineHarness harness = harness(40, IDEMPOTENT);
        serveRequests(harness, 4, 20_000, Map.of());
        List<String> initialSubset =
                harness.sentAttempts.stream()
                        .map(attempt -> attempt.endpointId)
                        .distinct()
                        .toList();
        assertTrue(initialSubset.size() <= 7, "a subset of six: " + initialSubset);
        Map<String, AttemptOutcome> failureOutcomes = new HashMap<>();
        initialSubset.forEach(s -> failureOutcomes.put(s, AttemptOutcome.ERROR));
        serveRequests(harness, 100, 20_000, failureOutcomes);
        long measuredFrom = harness.now;
        serveRequests(harness, 20, 20_000, failureOutcomes);
        long sentElsewhere =
                harness.sentAttempts.stream()
                        .filter(
                                attempt ->
                                        attempt.sentAtMicros >= measuredFrom
                                                && !initialSubset.contains(attempt.endpointId))
                        .count();
        assertTrue(sentElsewhere >= 70, "others have taken over: " + sentElsewhere + " of 80");
    }

    @Test
    void subsetIsStableAcrossRestartsAndListChanges() {
        List<String> originalSubset = usedEndpoints(40, 11);
        assertEquals(
                originalSubset,
                usedEndpoints(40, 12),
                "another seed is another life of the same balancer");
        long retained = usedEndpoints(39, 12).stream().filter(originalSubset::contains).count();
        assertTrue(
                retained >= originalSubset.size() - 1,
                retained + " of " + originalSubset.size() + " kept");
    }

    private static List<String> usedEndpoints(int endpointCount, long seed) {
        RoutingEngineHarness harness =
                new RoutingEngineHarness(RoutingEngineHarness.settings(IDEMPOTENT), seed)
                        .updateEndpoints(
                                EndpointListKind.CACHED,
                                RoutingEngineHarness.endpoints(endpointCount));
        for (int i = 0; i < 40; i++) {
            harness.request("r" + i, 0);
        }
        return harness.sentAttempts.stream()
                .map(attempt -> attempt.endpointId)
                .distinct()
                .sorted()
                .toList();
    }

    @Test
    void plausibleLoadReportsSteerSelection() {
        // Own queues are empty nearly always: ties sent 94% of all to half of the servers.
        for (double reportedQueue : new double[] {50, Double.NaN, -3, 1e18}) {
            RoutingEngineHarness harness = harness(4, IDEMPOTENT);
            for (int i = 0; i < 200; i++) {
                RoutingEngineHarness.SentAttempt attempt = harness.request("r" + i, 0);
                harness.now += 20_000;
                harness.reportedInFlight = attempt.endpointId.equals("s1") ? reportedQueue : 2;
                harness.endAttempt(attempt, AttemptOutcome.OK);
            }
            long recentlySent =
                    harness.sentAttempts.stream()
                            .skip(100)
                            .filter(attempt -> attempt.endpointId.equals("s1"))
                            .count();
            assertTrue(
                    reportedQueue != 50 || recentlySent <= 15,
                    "a long reported queue is avoided: " + recentlySent);
        }
    }

    @Test
    void nonIdempotentAttemptTimesOutAtObjective() {
        // After a burst work whose aim had passed filled the queues before work that could be in
        // time.
        RoutingEngineHarness harness = harness(6, IDEMPOTENT, NON_IDEMPOTENT);
        assertEquals(
                RoutingEngineHarness.LATENCY_OBJECTIVE_MICROS,
                harness.request("once", 1).timeoutMicros);
        assertEquals(
                0, harness.request("safe", 0).timeoutMicros, "its client would only come again");
        RoutingEngineHarness.SentAttempt timedOut = harness.attemptsOf("once").get(0);
        harness.advanceTime(RoutingEngineHarness.LATENCY_OBJECTIVE_MICROS);
        harness.endAttempt(timedOut, AttemptOutcome.TIMEOUT);
        assertEquals("failed", harness.finalResponses.get("once"));
    }

    @Test
    void rejectingEndpointCoolsDown() {
        // It answers in no time, so it won again and again: two of five attempts were turned away.
        RoutingEngineHarness harness = harness(6, NON_IDEMPOTENT);
        serveRequests(harness, 50, 50_000, Map.of());
        RoutingEngineHarness.SentAttempt rejectedAttempt = harness.request("full", 0);
        harness.now += 300;
        harness.endAttempt(rejectedAttempt, AttemptOutcome.REJECTED);
        long measuredFrom = harness.now + 1;
        for (int i = 0; i < 20; i++) {
            harness.now += 100;
            harness.request("n" + i, 0);
        }
        assertEquals(0, harness.countSentTo(rejectedAttempt.endpointId, measuredFrom));
    }

    @Test
    void expiredRequestIsAnsweredAtOnce() {
        // Held until the next sweep it got its answer after its deadline: rule 1 was broken.
        RoutingEngineHarness harness = harnessWithoutEndpoints(IDEMPOTENT);
        harness.request("spent", 0, 0, 2_000);
        assertEquals("refused", harness.finalResponses.get("spent"));
    }

    @Test
    void slowIdempotentAttemptIsHedgedOnce() {
        // Answers that never came were waited out to the deadline: a third of the worth of some
        // days.
        for (RequestClass requestClass : List.of(IDEMPOTENT, NON_IDEMPOTENT)) {
            RoutingEngineHarness harness = harness(6, requestClass);
            serveRequests(harness, 60, 20_000, Map.of());
            RoutingEngineHarness.SentAttempt silentAttempt = harness.request("silent", 0);
            harness.advanceTime(RoutingEngineHarness.LATENCY_OBJECTIVE_MICROS - 5_000);
            int hedgeCount = harness.attemptsOf("silent").size() - 1;
            assertEquals(
                    requestClass == IDEMPOTENT ? 1 : 0,
                    hedgeCount,
                    "copies of " + requestClass.idempotency());
            assertTrue(
                    harness.attemptsOf("silent").stream()
                            .skip(1)
                            .noneMatch(
                                    attempt ->
                                            attempt.endpointId.equals(silentAttempt.endpointId)));
        }
    }

    @Test
    void hedgingIsBoundedAndPausedOnRejections() {
        // Copies at a full fleet fed the overload: Kano lost 0.18 of its figure to them.
        RoutingEngineHarness harness = harness(6, IDEMPOTENT);
        serveRequests(harness, 60, 20_000, Map.of());
        for (int i = 0; i < 60; i++) {
            harness.request("burst" + i, 0);
        }
        harness.advanceTime(RoutingEngineHarness.LATENCY_OBJECTIVE_MICROS);
        long hedgeCount =
                harness.sentAttempts.stream()
                        .filter(
                                attempt ->
                                        attempt.requestId.startsWith("burst")
                                                && attempt.attemptNumber > 0)
                        .count();
        assertTrue(
                hedgeCount > 0 && hedgeCount <= 10,
                "a budget of ten at most, not one for each of 60: " + hedgeCount);
        RoutingEngineHarness saturated = harness(6, IDEMPOTENT);
        serveRequests(saturated, 60, 20_000, Map.of());
        List<RoutingEngineHarness.SentAttempt> rejectedAttempts =
                IntStream.range(0, 8).mapToObj(i -> saturated.request("full" + i, 0)).toList();
        rejectedAttempts.forEach(attempt -> saturated.endAttempt(attempt, AttemptOutcome.REJECTED));
        saturated.request("wait", 0);
        saturated.advanceTime(RoutingEngineHarness.LATENCY_OBJECTIVE_MICROS);
        assertEquals(1, saturated.attemptsOf("wait").size());
    }

    @Test
    void perRequestWeightShedsClassesAlike() {
        // The light class starved for the heavy one: 10% of its worth was served by a half idle
        // fleet.
        RequestClass highPriority =
                new RequestClass(
                        Idempotency.NON_IDEMPOTENT,
                        DeduplicationScope.ALL,
                        0,
                        RoutingEngineHarness.LATENCY_OBJECTIVE_MICROS,
                        RoutingEngineHarness.DEADLINE_MICROS,
                        0,
                        9,
                        0,
                        false);
        RoutingSettings settings = RoutingEngineHarness.settings(NON_IDEMPOTENT, highPriority);
        RoutingEngineHarness harness =
                new RoutingEngineHarness(
                                new RoutingSettings(
                                        1,
                                        0,
                                        0,
                                        settings.requestClasses(),
                                        List.of(),
                                        0.1,
                                        settings.objectiveWeights(),
                                        settings.costs(),
                                        false,
                                        settings.discoveryMode(),
                                        settings.loadReportSource(),
                                        false,
                                        settings.limits(),
                                        settings.bounds(),
                                        settings.clockTickMicros()),
                                3)
                        .updateEndpoints(
                                EndpointListKind.CACHED, RoutingEngineHarness.endpoints(6));
        for (int i = 0; i < 40; i++) {
            countSent(harness, 1, 0, 0, 500_000);
            countSent(harness, 1, 1, 0, 500_000);
        }
        int lowPrioritySent = countSent(harness, 60, 0, 0, 1_000);
        int highPrioritySent = countSent(harness, 60, 1, 0, 1_000);
        assertTrue(
                lowPrioritySent >= highPrioritySent / 2,
                "sent: " + highPrioritySent + " dear, " + lowPrioritySent + " cheap");
    }

    @Test
    void hotKeyUsesMoreEndpointsThanColdKey() {
        // Four of fifty servers took a seventh of all requests: as many as the hottest key brought.
        RoutingSettings settings = RoutingEngineHarness.settings(IDEMPOTENT);
        RoutingEngineHarness harness =
                new RoutingEngineHarness(
                                new RoutingSettings(
                                        1,
                                        0,
                                        0,
                                        settings.requestClasses(),
                                        List.of(),
                                        0.1,
                                        settings.objectiveWeights(),
                                        settings.costs(),
                                        true,
                                        settings.discoveryMode(),
                                        settings.loadReportSource(),
                                        true,
                                        settings.limits(),
                                        settings.bounds(),
                                        settings.clockTickMicros()),
                                3)
                        .updateEndpoints(
                                EndpointListKind.CACHED, RoutingEngineHarness.endpoints(20));
        for (int i = 0; i < 600; i++) {
            RoutingEngineHarness.SentAttempt sent =
                    harness.requestWithKey("r" + i, 0, i % 2 == 0 ? "hot" : "k" + i % 75);
            harness.advanceTime(10_000);
            harness.sentAttempts.stream()
                    .filter(
                            attempt ->
                                    !attempt.ended && harness.now - attempt.sentAtMicros >= 60_000)
                    .toList()
                    .forEach(attempt -> harness.endAttempt(attempt, AttemptOutcome.OK));
            assertTrue(sent != null);
        }
        long hotKeyEndpoints = countEndpointsUsed(harness, 0, 2);
        long coldKeyEndpoints = countEndpointsUsed(harness, 3, 75);
        assertTrue(
                hotKeyEndpoints >= 8 && coldKeyEndpoints <= 5,
                "hot on " + hotKeyEndpoints + ", cold on " + coldKeyEndpoints);
    }

    private static long countEndpointsUsed(
            RoutingEngineHarness harness, int remainder, int modulus) {
        return harness.sentAttempts.stream()
                .filter(
                        attempt ->
                                Integer.parseInt(attempt.requestId.substring(1)) % modulus
                                        == remainder)
                .map(attempt -> attempt.endpointId)
                .distinct()
                .count();
    }

    @Test
    void lateResponsesDoNotShedEverything() {
        // Late answers counted twice their aim: refusal rose to 86% in seconds, fell back and rose
        // again.
        RoutingEngineHarness harness = harness(6, IDEMPOTENT);
        countSent(harness, 40, 0, 0, 50_000);
        for (int i = 0; i < 20; i++) {
            // Two seconds of late answers, ten a second
            RoutingEngineHarness.SentAttempt sent = harness.request("late" + i, 0);
            harness.advanceTime(100_000);
            if (sent != null) {
                harness.now += 1;
                harness.policy.onAttemptEnded(
                        harness.now,
                        sent.requestId,
                        sent.attemptNumber,
                        AttemptOutcome.OK,
                        2 * RoutingEngineHarness.LATENCY_OBJECTIVE_MICROS,
                        true,
                        null,
                        harness);
                sent.ended = true;
            }
        }
        assertTrue(countSent(harness, 40, 0, 0, 1_000) >= 35, "most of the level is still to come");
    }
}

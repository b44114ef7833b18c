package loadbalancer.routing;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.lang.reflect.Field;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Collection;
import java.util.List;
import java.util.Map;
import loadbalancer.routing.api.AttemptOutcome;
import loadbalancer.routing.api.DeduplicationScope;
import loadbalancer.routing.api.DiscoveryMode;
import loadbalancer.routing.api.Endpoint;
import loadbalancer.routing.api.EndpointListKind;
import loadbalancer.routing.api.EndpointStatus;
import loadbalancer.routing.api.Idempotency;
import loadbalancer.routing.api.InvalidSettingException;
import loadbalancer.routing.api.LoadReportSource;
import loadbalancer.routing.api.RequestClass;
import loadbalancer.routing.api.RoutingBounds;
import loadbalancer.routing.api.RoutingLimits;
import loadbalancer.routing.api.RoutingSettings;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Tests what code that embeds the routing module relies on. */
class RoutingPolicyEmbeddingTest {
    private static final RequestClass IDEMPOTENT =
            RoutingEngineHarness.requestClass(Idempotency.IDEMPOTENT, DeduplicationScope.ALL);

    @Test
    void readmeExampleRuns() throws IOException {
        String readme = Files.readString(Path.of("../README.md"));
        String example =
                Files.readString(
                        Path.of("src/test/java/loadbalancer/routing/EmbeddingExample.java"));
        int codeStart = readme.indexOf("```java\n") + 8;
        String readmeCode = readme.substring(codeStart, readme.indexOf("```\n", codeStart));
        assertTrue(
                example.contains(readmeCode.strip()),
                "README.md differs from the code of EmbeddingExample.java");
        assertEquals(List.of("send r1 to a:80"), EmbeddingExample.run());
    }

    @Test
    void invalidSettingIsNamed() {
        assertEquals(
                "invalid aim: 0",
                assertThrows(
                                InvalidSettingException.class,
                                () ->
                                        new RequestClass(
                                                Idempotency.IDEMPOTENT,
                                                DeduplicationScope.ALL,
                                                0,
                                                0,
                                                1,
                                                0,
                                                1,
                                                0,
                                                false))
                        .getMessage());
        assertEquals(
                "invalid coldFrom: 0.0",
                assertThrows(
                                InvalidSettingException.class,
                                () -> new RoutingBounds(1, 1, 1, 0, 1, 2, 1, 0))
                        .getMessage());
        assertEquals(
                "invalid maxAttempts: 0",
                assertThrows(
                                InvalidSettingException.class,
                                () -> new RoutingLimits(0, true, true, true, 1, 0))
                        .getMessage());
        assertEquals(
                "invalid classes: none",
                assertThrows(InvalidSettingException.class, () -> RoutingEngineHarness.settings())
                        .getMessage());
    }

    @ParameterizedTest
    @CsvSource({"0, 0, invalid balancers: 0", "2, 2, invalid rank: 2", "2, -1, invalid rank: -1"})
    void invalidBalancerCountOrRankIsNamed(int balancerCount, int rank, String expectedMessage) {
        RoutingSettings settings = RoutingEngineHarness.settings(IDEMPOTENT);
        assertEquals(
                expectedMessage,
                assertThrows(
                                InvalidSettingException.class,
                                () ->
                                        new RoutingSettings(
                                                balancerCount,
                                                rank,
                                                0,
                                                settings.requestClasses(),
                                                List.of(),
                                                1,
                                                settings.objectiveWeights(),
                                                settings.costs(),
                                                false,
                                                settings.discoveryMode(),
                                                settings.loadReportSource(),
                                                false,
                                                settings.limits(),
                                                settings.bounds(),
                                                1_000))
                        .getMessage());
    }

    private static RoutingSettings settingsWithoutReports(
            int balancerCount, RequestClass requestClass, RoutingLimits limits) {
        RoutingSettings baseSettings =
                RoutingEngineHarness.settings(
                        balancerCount,
                        limits.hedgingAllowed(),
                        DiscoveryMode.PUSH,
                        List.of(),
                        requestClass);
        return new RoutingSettings(
                balancerCount,
                0,
                0,
                baseSettings.requestClasses(),
                List.of(),
                1,
                baseSettings.objectiveWeights(),
                baseSettings.costs(),
                false,
                baseSettings.discoveryMode(),
                LoadReportSource.NONE,
                false,
                limits,
                baseSettings.bounds(),
                1_000);
    }

    /** With unusual settings every request gets one response, and at least 90% are served. */
    @ParameterizedTest
    @CsvSource({
        // Columns: endpoints, balancers, latency objective, deadline, attempts, hedging, requests
        // per second, latency. Times are in microseconds.
        "1, 1, 600000, 1200000, 3, true, 20, 20000",
        "60, 12, 600000, 1200000, 3, true, 200, 40000",
        "5, 2, 4000, 10000, 3, true, 500, 1000",
        "8, 3, 20000000, 60000000, 3, false, 8, 2000000",
        "6, 1, 600000, 1200000, 1, false, 50, 30000",
    })
    void unusualSettingsAreServed(
            int endpointCount,
            int balancerCount,
            long latencyObjectiveMicros,
            long deadlineMicros,
            int maxAttempts,
            boolean hedgingAllowed,
            int requestsPerSecond,
            long latencyMicros) {
        for (Idempotency idempotency : Idempotency.values()) {
            RequestClass requestClass =
                    new RequestClass(
                            idempotency,
                            DeduplicationScope.CELL,
                            deadlineMicros,
                            latencyObjectiveMicros,
                            deadlineMicros,
                            0,
                            1,
                            0,
                            false);
            RoutingLimits limits =
                    new RoutingLimits(maxAttempts, hedgingAllowed, false, false, 1000, 0);
            RoutingEngineHarness harness =
                    new RoutingEngineHarness(
                            settingsWithoutReports(balancerCount, requestClass, limits), 9);
            harness.updateEndpoints(
                    EndpointListKind.CACHED, RoutingEngineHarness.endpoints(endpointCount));
            for (int i = 0; i < 400; i++) {
                harness.request("r" + i, 0, 0, deadlineMicros);
                harness.advanceTime(1_000_000 / requestsPerSecond);
                harness.sentAttempts.stream()
                        .filter(
                                attempt ->
                                        !attempt.ended
                                                && harness.now - attempt.sentAtMicros
                                                        >= latencyMicros)
                        .toList()
                        .forEach(attempt -> harness.endAttempt(attempt, AttemptOutcome.OK));
            }
            harness.advanceTime(deadlineMicros);
            harness.sentAttempts.stream()
                    .filter(attempt -> !attempt.ended)
                    .toList()
                    .forEach(attempt -> harness.endAttempt(attempt, AttemptOutcome.TIMEOUT));
            harness.advanceTime(deadlineMicros);
            assertEquals(400, harness.finalResponses.size());
            assertEquals(0, harness.duplicateFinalResponses);
            long servedCount =
                    harness.finalResponses.values().stream().filter("ok"::equals).count();
            assertTrue(
                    servedCount >= 360,
                    "served " + servedCount + " of 400 requests, class " + idempotency);
        }
    }

    @Test
    void memoryStaysBounded() throws ReflectiveOperationException {
        RoutingEngineHarness harness =
                new RoutingEngineHarness(RoutingEngineHarness.settings(IDEMPOTENT), 1)
                        .updateEndpoints(
                                EndpointListKind.CACHED, RoutingEngineHarness.endpoints(4));
        for (int i = 0; i < 30_000; i++) {
            RoutingEngineHarness.SentAttempt sent = harness.request("r" + i, 0);
            harness.advanceTime(5_000);
            harness.sentAttempts.stream()
                    .filter(attempt -> !attempt.ended)
                    .toList()
                    .forEach(
                            attempt ->
                                    harness.endAttempt(
                                            attempt,
                                            attempt.attemptNumber % 7 == 6
                                                    ? AttemptOutcome.ERROR
                                                    : AttemptOutcome.OK));
            if (i % 50 == 0) {
                // Endpoints are replaced by new ones with other ids.
                harness.updateEndpoints(
                        EndpointListKind.COMPLETE,
                        List.of(
                                RoutingEngineHarness.upEndpoint("a" + i),
                                RoutingEngineHarness.upEndpoint("b" + i),
                                RoutingEngineHarness.upEndpoint("c")));
                harness.sentAttempts.clear();
                harness.attemptCounts.clear();
                harness.finalResponses.clear();
                harness.logLines.clear();
            }
            assertTrue(sent == null || sent.ended);
        }
        harness.updateEndpoints(
                EndpointListKind.COMPLETE,
                List.of(new Endpoint("c", EndpointStatus.UP, 0, 1, 0, 0, 0)));
        assertEquals(0, collectionSize(readField(harness.policy, "requests"), "openRequests"));
        assertTrue(collectionSize(readField(harness.policy, "registry"), "endpointsById") <= 1);
    }

    @Test
    void onCallPageContainsLogLinesOfThePolicy() throws IOException {
        String sources =
                Files.readString(Path.of("src/main/java/loadbalancer/routing/PolicyLog.java"))
                        + Files.readString(
                                Path.of(
                                        "src/main/java/loadbalancer/routing/health/ZoneFailover.java"))
                        + Files.readString(
                                Path.of(
                                        "src/main/java/loadbalancer/routing/gossip/LoadGossip.java"))
                        + Files.readString(
                                Path.of(
                                        "src/main/java/loadbalancer/routing/endpoint/EndpointRegistry.java"));
        String onCallPage = Files.readString(Path.of("../docs/on-call.md"));
        for (String line :
                List.of(
                        "shedding load: level=",
                        " overload=",
                        "endpoint ejected: endpoint=",
                        " duration_ms=",
                        " reason=failures",
                        "endpoint recovered: endpoint=",
                        " class=",
                        "discovery failed: consecutive_failures=",
                        "gossip message ignored: from=",
                        " reason=undecodable",
                        "zone status changed: zone=",
                        "fleet too large to aggregate: balancers=",
                        " max_balancers=",
                        "endpoint list too long: unused=",
                        " max_endpoints=")) {
            assertTrue(sources.contains(line), "not found in the log lines of the policy: " + line);
            assertTrue(onCallPage.contains(line.strip()), "not found in docs/on-call.md: " + line);
        }
    }

    private static Object readField(Object target, String name)
            throws ReflectiveOperationException {
        Field field = target.getClass().getDeclaredField(name);
        field.setAccessible(true);
        return field.get(target);
    }

    private static int collectionSize(Object target, String name)
            throws ReflectiveOperationException {
        Object value = readField(target, name);
        return value instanceof Map ? ((Map<?, ?>) value).size() : ((Collection<?>) value).size();
    }
}

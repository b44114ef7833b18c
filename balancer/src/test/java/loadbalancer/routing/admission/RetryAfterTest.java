package loadbalancer.routing.admission;

import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import loadbalancer.routing.RoutingEngineHarness;
import loadbalancer.routing.api.DeduplicationScope;
import loadbalancer.routing.api.EndpointListKind;
import loadbalancer.routing.api.Idempotency;
import loadbalancer.routing.api.RoutingLimits;
import loadbalancer.routing.api.RoutingSettings;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Tests the Retry-After time of rejected requests. */
class RetryAfterTest {
    /** Retry-After is the lifetime of overload samples, 2 s, bounded by the configured maximum. */
    @ParameterizedTest
    @CsvSource({"0, 0", "1, 1", "1999999, 1999999", "2000000, 2000000", "2500000, 2000000"})
    void rejectionCarriesBoundedRetryAfter(long maxRetryAfterMicros, long expectedMicros) {
        RoutingSettings baseSettings =
                RoutingEngineHarness.settings(
                        RoutingEngineHarness.requestClass(
                                Idempotency.NON_IDEMPOTENT, DeduplicationScope.ALL));
        RoutingLimits limits = baseSettings.limits();
        RoutingEngineHarness harness =
                new RoutingEngineHarness(
                        new RoutingSettings(
                                1,
                                0,
                                0,
                                baseSettings.requestClasses(),
                                List.of(),
                                1,
                                baseSettings.objectiveWeights(),
                                baseSettings.costs(),
                                false,
                                baseSettings.discoveryMode(),
                                baseSettings.loadReportSource(),
                                false,
                                new RoutingLimits(
                                        limits.maxAttempts(),
                                        limits.hedgingAllowed(),
                                        limits.cancellationAllowed(),
                                        limits.healthChecksAllowed(),
                                        limits.connectTimeoutMicros(),
                                        maxRetryAfterMicros),
                                baseSettings.bounds(),
                                baseSettings.clockTickMicros()),
                        3);
        harness.updateEndpoints(EndpointListKind.CACHED, List.of());
        harness.request("r", 0);
        harness.advanceTime(RoutingEngineHarness.DEADLINE_MICROS);
        assertTrue(
                harness.logLines.stream()
                        .anyMatch(line -> line.endsWith(" refuse r " + expectedMicros)),
                harness.logLines.toString());
    }
}

package loadbalancer.routing;

import static loadbalancer.routing.RoutingEngineHarness.NON_IDEMPOTENT;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import java.util.Map;
import loadbalancer.routing.api.AttemptOutcome;
import loadbalancer.routing.api.DiscoveryMode;
import loadbalancer.routing.api.EndpointListKind;
import loadbalancer.routing.api.Tenant;
import org.junit.jupiter.api.Test;

/** Requests within a tenant's quota precede those over it. */
class TenantQuotaTest {
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
    void excessOfOneTenantDoesNotRaiseQuotas() {
        // A tenant at three times its share made all shares 1.75 times as wide: endpoints were
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
            sentCount += harness.serveSequentially(3, 0, 0, 270_000);
            harness.serveSequentially(i % 10 < 7 ? 1 : 0, 0, 1, 270_000);
            harness.serveSequentially(i % 10 < 7 ? 1 : 0, 0, 2, 270_000);
        }
        assertTrue(
                sentCount >= 55 && sentCount <= 80,
                "its share of 60 is served, not its excess: " + sentCount);
    }
}

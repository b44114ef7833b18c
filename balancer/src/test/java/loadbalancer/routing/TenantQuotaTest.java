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

/** Tests that requests within a tenant's quota have priority over those that exceed it. */
class TenantQuotaTest {
    @Test
    void tenantOverQuotaLosesOnlyItsExcess() {
        // Guards against marking all requests of a tenant over its quota as over quota: then even
        // those within its quota were not served.
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
            // Tenant 0 sends 80 requests a second, tenant 1 sends 20.
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
        double overQuotaTenantRate = servedByTenant.get(0)[1] / 12.0;
        double withinQuotaTenantFraction =
                servedByTenant.get(1)[1] / (double) servedByTenant.get(1)[0];
        assertTrue(
                withinQuotaTenantFraction > 0.1,
                "served fraction of the tenant within its quota: " + withinQuotaTenantFraction);
        assertTrue(
                overQuotaTenantRate >= 12,
                "served per second of the tenant over its quota of 20 a second: "
                        + overQuotaTenantRate);
    }

    @Test
    void excessOfOneTenantDoesNotRaiseQuotas() {
        // Guards against higher quotas for all tenants because of one: a tenant at three times its
        // quota raised the quotas of all tenants 1.75 times, and endpoints were overloaded.
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
            // About 71 s pass, in which this balancer's share of a quota is 60 requests.
            sentCount += harness.serveSequentially(3, 0, 0, 270_000);
            harness.serveSequentially(i % 10 < 7 ? 1 : 0, 0, 1, 270_000);
            harness.serveSequentially(i % 10 < 7 ? 1 : 0, 0, 2, 270_000);
        }
        assertTrue(
                sentCount >= 55 && sentCount <= 80,
                "sent of 180 requests, of which 60 are within the quota: " + sentCount);
    }
}

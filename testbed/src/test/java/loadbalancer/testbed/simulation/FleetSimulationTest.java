package loadbalancer.testbed.simulation;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import loadbalancer.routing.RoutingEngine;
import loadbalancer.routing.api.AttemptOutcome;
import loadbalancer.routing.api.Endpoint;
import loadbalancer.routing.api.EndpointListKind;
import loadbalancer.routing.api.LoadReport;
import loadbalancer.routing.api.RoutingActions;
import loadbalancer.routing.api.RoutingPolicy;
import loadbalancer.testbed.scenario.ScenarioReader;
import loadbalancer.testbed.statistics.RunResult;
import loadbalancer.testbed.workload.WorkloadPlan;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.EnumSource;

/** The simulated fleet: the same to the byte, and every kind of fault shows. */
class FleetSimulationTest {
    private static final String SCENARIO =
            """
        length_s = 12
        [fleet]
        balancers = 6
        zones = ["a", "b", "c"]
        [upstreams]
        count = 12
        [load]
        rate = 200
        [[class]]
        name = "keyed"
        effect = "keyed"
        scope = "zone"
        [[class]]
        name = "unsafe"
        effect = "unsafe"
        """;

    private static WorkloadPlan plan(String faults, long seed) {
        String text = SCENARIO;
        for (String fault : faults.isEmpty() ? new String[0] : faults.split(" and ")) {
            text += "[[fault]]\n" + fault.replace("; ", "\n").replace('`', '"') + "\n";
        }
        return WorkloadPlan.generate(ScenarioReader.parse("s.toml", text, true), seed);
    }

    private static RunResult run(String faults, long seed) {
        return new FleetSimulation(plan(faults, seed), RoutingEngine::new, line -> {}).run();
    }

    @Test
    void sameSeedReproducesTheRun() {
        String faults =
                "kind = `kill`; at_s = 4; until_s = 5; on = `balancers:any=3` and "
                        + "kind = `loss`; at_s = 6; until_s = 9; on = `balancers`; to = "
                        + "`balancers`; amount = 0.3";
        List<String> logLines = new ArrayList<>();
        RunResult first =
                new FleetSimulation(plan(faults, 1), RoutingEngine::new, logLines::add).run();
        List<String> secondLogLines = new ArrayList<>();
        assertEquals(
                first.toString(),
                new FleetSimulation(plan(faults, 1), RoutingEngine::new, secondLogLines::add)
                        .run()
                        .toString());
        assertEquals(logLines, secondLogLines);
        assertNotEquals(first.metrics(), run(faults, 2).metrics());
    }

    @Test
    void quietFleetServesAlmostEverything() {
        RunResult result = run("", 1);
        assertTrue(result.metrics().get("served_share") > 0.98, result.metrics().toString());
        assertEquals(0, result.violationCount());
    }

    /**
     * What the module is to keep under each fault, and what the fault must be seen to cost or
     * change.
     */
    @ParameterizedTest
    @CsvSource(
            delimiter = '|',
            quoteCharacter = '\'',
            value = {
                "kind = `kill`; at_s = 4; until_s = 6; on = `balancers:0-3` | 4",
                "kind = `pause`; at_s = 4; until_s = 6; on = `balancers:0-3` | 4",
                "kind = `crash`; at_s = 4; until_s = 6; on = `upstreams:0-5` | 1",
                "kind = `vanish`; at_s = 4; until_s = 6; on = `upstreams:0-5` | 1",
                "kind = `hang`; at_s = 4; until_s = 6; on = `upstreams:0-5` | 1",
                "kind = `fail`; at_s = 4; until_s = 6; on = `upstreams:0-5`; class = `unsafe` | 1",
                "kind = `cut`; at_s = 4; until_s = 6; on = `zone:a`; to = `zone:b` | 0",
                "kind = `refuse`; at_s = 0; until_s = 2; on = `balancers`; to = `upstreams` | 100",
                "kind = `replace`; at_s = 4; until_s = 6; on = `upstreams:0-3` | 0",
            })
    void invariantsHoldUnderEachFault(String fault, int minUnserved) {
        RunResult result = run(fault, 3);
        assertEquals(List.of(), result.violations().stream().limit(3).toList());
        assertTrue(
                result.faults().get(0).unservedCount() >= minUnserved, result.faults().toString());
        assertEquals(
                result.slices().stream().mapToInt(RunResult.TimeSlice::requested).sum(),
                result.slices().stream()
                        .mapToInt(
                                slice ->
                                        slice.served()
                                                + slice.late()
                                                + slice.rejected()
                                                + slice.failed())
                        .sum());
    }

    @Test
    void oneWayPartitionDropsOneDirection() {
        FleetSimulation fleet =
                new FleetSimulation(
                        plan(
                                "kind = `cut`; at_s = 0; until_s = 12; on = `balancers:0`; "
                                        + "to = `balancers`; one_way = true",
                                1),
                        RoutingEngine::new,
                        line -> {});
        assertEquals(0, fleet.run().violationCount());
        for (int balancer = 1; balancer < 6; balancer++) {
            assertEquals(0, fleet.datagramsDelivered(0, balancer));
            assertTrue(
                    fleet.datagramsDelivered(balancer, 0) > 10
                            && fleet.datagramsDelivered(balancer, balancer == 1 ? 2 : 1) > 10);
        }
    }

    @Test
    void slowStartOverloadIsFound() {
        // Every server has just started, and random choice holds nothing back.
        String text =
                SCENARIO.replace("rate = 200", "rate = 900")
                        + "[[fault]]\nkind = \"crash\"\nat_s = 2\nuntil_s = 3\non = \"upstreams\"\n";
        RunResult result =
                new FleetSimulation(
                                WorkloadPlan.generate(
                                        ScenarioReader.parse("s.toml", text, true), 1),
                                (settings, seed) ->
                                        new BaselinePolicy(
                                                BaselinePolicy.Algorithm.RANDOM,
                                                0.5,
                                                settings,
                                                seed),
                                line -> {})
                        .run();
        assertTrue(
                result.violations().stream()
                        .anyMatch(violation -> violation.startsWith("cold budget")),
                result.violationCount() + " broken");
    }

    @Test
    void silentPolicyIsFound() {
        RunResult result =
                new FleetSimulation(plan("", 1), (settings, seed) -> new SilentPolicy(), line -> {})
                        .run();
        assertEquals(0.0, result.metrics().get("served_share"));
        // the balancer's own last resort answers in its place
        assertEquals(0, result.violationCount());
    }

    @ParameterizedTest
    @EnumSource(BaselinePolicy.Algorithm.class)
    void everyBaselineServesAQuietFleet(BaselinePolicy.Algorithm algorithm) {
        RunResult result =
                new FleetSimulation(
                                plan("", 1),
                                (settings, seed) ->
                                        new BaselinePolicy(algorithm, 0.5, settings, seed),
                                line -> {})
                        .run();
        assertTrue(
                result.metrics().get("served_share") > 0.95, algorithm + ": " + result.metrics());
        assertEquals(0, result.violationCount());
    }

    private static final class SilentPolicy implements RoutingPolicy {
        @Override
        public void onEndpointList(
                long now,
                EndpointListKind kind,
                List<Endpoint> endpoints,
                RoutingActions actions) {}

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
                RoutingActions actions) {}

        @Override
        public void onAttemptEnded(
                long now,
                String requestId,
                int attemptNumber,
                AttemptOutcome outcome,
                long latencyMicros,
                boolean closed,
                LoadReport load,
                RoutingActions actions) {}

        @Override
        public void onStreamStarted(
                long now, String requestId, int attemptNumber, RoutingActions actions) {}

        @Override
        public void onClientDisconnected(long now, String requestId, RoutingActions actions) {}

        @Override
        public void onHealthCheckResult(
                long now,
                String endpointId,
                AttemptOutcome outcome,
                long latencyMicros,
                LoadReport load,
                RoutingActions actions) {}

        @Override
        public void onTimer(long now, RoutingActions actions) {}
    }
}

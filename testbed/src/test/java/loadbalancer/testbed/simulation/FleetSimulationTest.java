package loadbalancer.testbed.simulation;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import loadbalancer.routing.RoutingEngine;
import loadbalancer.testbed.scenario.ScenarioReader;
import loadbalancer.testbed.statistics.RunResult;
import loadbalancer.testbed.workload.WorkloadPlan;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.EnumSource;

/**
 * Tests that runs are reproducible, that faults have an effect without breaking invariants, and
 * that policies which overload upstreams or do nothing are noticed.
 */
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

    private static final String KILL_THEN_LOSS =
            "kind = `kill`; at_s = 4; until_s = 5; on = `balancers:any=3` and "
                    + "kind = `loss`; at_s = 6; until_s = 9; on = `balancers`; to = `balancers`; "
                    + "amount = 0.3";

    private static WorkloadPlan plan(String scenario, String faults, long seed) {
        String text = scenario;
        for (String fault : faults.isEmpty() ? new String[0] : faults.split(" and ")) {
            text += "[[fault]]\n" + fault.replace("; ", "\n").replace('`', '"') + "\n";
        }
        return WorkloadPlan.generate(ScenarioReader.parse("s.toml", text, true), seed);
    }

    private static FleetSimulation simulation(String faults, long seed) {
        return new FleetSimulation(plan(SCENARIO, faults, seed), RoutingEngine::new, line -> {});
    }

    private static RunResult runBaseline(WorkloadPlan plan, BaselinePolicy.Algorithm algorithm) {
        return new FleetSimulation(
                        plan,
                        (settings, seed) -> new BaselinePolicy(algorithm, 0.5, settings, seed),
                        line -> {})
                .run();
    }

    @Test
    void sameSeedReproducesTheRun() {
        List<String> firstLog = new ArrayList<>();
        List<String> secondLog = new ArrayList<>();
        WorkloadPlan plan = plan(SCENARIO, KILL_THEN_LOSS, 1);
        RunResult first = new FleetSimulation(plan, RoutingEngine::new, firstLog::add).run();
        RunResult second =
                new FleetSimulation(
                                plan(SCENARIO, KILL_THEN_LOSS, 1),
                                RoutingEngine::new,
                                secondLog::add)
                        .run();
        assertEquals(first.toString(), second.toString());
        assertEquals(firstLog, secondLog);
    }

    @Test
    void otherSeedChangesTheRun() {
        assertNotEquals(
                simulation(KILL_THEN_LOSS, 1).run().metrics(),
                simulation(KILL_THEN_LOSS, 2).run().metrics());
    }

    @Test
    void quietFleetServesAlmostEverything() {
        RunResult result = simulation("", 1).run();
        assertTrue(result.metrics().get("served_share") > 0.98, result.metrics().toString());
        assertEquals(0, result.violationCount());
    }

    /** Rows: a fault, and the minimum of requests that go unserved within 10 s of its start. */
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
    void invariantsHoldAndRequestsAreAccountedForUnderEachFault(String fault, int minUnserved) {
        RunResult result = simulation(fault, 3).run();
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
                simulation(
                        "kind = `cut`; at_s = 0; until_s = 12; on = `balancers:0`; "
                                + "to = `balancers`; one_way = true",
                        1);
        assertEquals(0, fleet.run().violationCount());
        for (int balancer = 1; balancer < 6; balancer++) {
            assertEquals(0, fleet.datagramsDelivered(0, balancer));
            assertTrue(
                    fleet.datagramsDelivered(balancer, 0) > 10
                            && fleet.datagramsDelivered(balancer, balancer == 1 ? 2 : 1) > 10);
        }
    }

    @Test
    void slowStartOverloadIsReportedAsViolation() {
        // All upstreams have just restarted, and random selection ignores slow start.
        WorkloadPlan plan =
                plan(
                        SCENARIO.replace("rate = 200", "rate = 900"),
                        "kind = `crash`; at_s = 2; until_s = 3; on = `upstreams`",
                        1);
        RunResult result = runBaseline(plan, BaselinePolicy.Algorithm.RANDOM);
        assertTrue(
                result.violations().stream()
                        .anyMatch(violation -> violation.startsWith("cold budget")),
                result.violationCount() + " violations");
    }

    @Test
    void silentPolicyServesNothingWithoutViolations() {
        RunResult result =
                new FleetSimulation(
                                plan(SCENARIO, "", 1),
                                (settings, seed) -> new SilentPolicy(),
                                line -> {})
                        .run();
        assertEquals(0.0, result.metrics().get("served_share"));
        // The balancer fails the requests before their deadlines if the policy does not.
        assertEquals(0, result.violationCount());
    }

    @ParameterizedTest
    @EnumSource(BaselinePolicy.Algorithm.class)
    void everyBaselineServesAQuietFleet(BaselinePolicy.Algorithm algorithm) {
        RunResult result = runBaseline(plan(SCENARIO, "", 1), algorithm);
        assertTrue(
                result.metrics().get("served_share") > 0.95, algorithm + ": " + result.metrics());
        assertEquals(0, result.violationCount());
    }
}

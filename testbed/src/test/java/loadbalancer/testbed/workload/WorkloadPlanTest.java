package loadbalancer.testbed.workload;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.stream.LongStream;
import loadbalancer.testbed.scenario.Scenario;
import loadbalancer.testbed.scenario.ScenarioReader;
import org.junit.jupiter.api.Test;

class WorkloadPlanTest {
    private static final Scenario SCENARIO =
            ScenarioReader.parse(
                    "s.toml",
                    """
        length_s = 20
        [fleet]
        balancers = 10
        zones = ["a", "b"]
        [upstreams]
        count = 8
        [load]
        rate = 200
        zone_shares = [3, 1]
        [[class]]
        name = "x"
        [[fault]]
        kind = "kill"
        at_s = 5
        on = "balancers:any=7"
        [[fault]]
        kind = "replace"
        at_s = 6
        until_s = 8
        on = "upstreams:zone=b"
        """,
                    false);

    @Test
    void seedDeterminesArrivalsAndFaults() {
        assertEquals(
                WorkloadPlan.generate(SCENARIO, 7).digest(),
                WorkloadPlan.generate(SCENARIO, 7).digest());
        assertEquals(
                WorkloadPlan.generate(SCENARIO, 7).arrivals(),
                WorkloadPlan.generate(SCENARIO, 7).arrivals());
        assertNotEquals(
                WorkloadPlan.generate(SCENARIO, 7).digest(),
                WorkloadPlan.generate(SCENARIO, 8).digest());
    }

    @Test
    void neighbouringSeedsChooseDifferentTargets() {
        // There are 120 ways to choose 7 of 10 balancers, so 40 seeds give about 34 distinct ones.
        long choices =
                LongStream.range(0, 40)
                        .mapToObj(
                                seed ->
                                        WorkloadPlan.generate(SCENARIO, seed)
                                                .faults()
                                                .get(0)
                                                .balancers())
                        .distinct()
                        .count();
        assertTrue(choices > 24, choices + " distinct choices for 40 seeds");
    }

    @Test
    void arrivalsFollowTheLoad() {
        WorkloadPlan plan = WorkloadPlan.generate(SCENARIO, 7);
        // The tolerance is four standard deviations.
        assertEquals(4_000, plan.arrivals().size(), 250);
        long firstZoneCount =
                plan.arrivals().stream().filter(arrival -> arrival.zone() == 0).count();
        assertEquals(0.75, (double) firstZoneCount / plan.arrivals().size(), 0.03);
        assertTrue(
                plan.arrivals().stream()
                        .allMatch(
                                arrival ->
                                        arrival.atMicros() >= 0
                                                && arrival.atMicros() < 20_000_000));
    }

    @Test
    void faultPicksTargetsAndReplacementKeepsZone() {
        WorkloadPlan plan = WorkloadPlan.generate(SCENARIO, 7);
        assertEquals(7, plan.faults().get(0).balancers().size());
        assertEquals(12, plan.upstreams().size());
        assertEquals(1, plan.successor(3).zone());
        assertEquals(plan.upstreams().get(3).speed(), plan.successor(3).speed());
    }

    @Test
    void endpointIdsOfLargeFleetAreUnique() {
        Scenario largeScenario =
                ScenarioReader.parse(
                        "s.toml",
                        """
            length_s = 1
            [upstreams]
            count = 14000
            [load]
            rate = 0.1
            [[class]]
            name = "x"
            """,
                        true);
        // Seed 9 draws one uid twice.
        assertEquals(
                14_000,
                WorkloadPlan.generate(largeScenario, 9).upstreams().stream()
                        .map(WorkloadPlan.UpstreamSpec::uid)
                        .distinct()
                        .count());
    }
}

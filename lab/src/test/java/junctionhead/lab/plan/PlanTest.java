package junctionhead.lab.plan;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import junctionhead.lab.scenario.Scenario;
import junctionhead.lab.scenario.ScenarioReader;
import org.junit.jupiter.api.Test;

class PlanTest {
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
    void theSeedAloneDecidesArrivalsAndFaults() {
        assertEquals(Plan.of(SCENARIO, 7).digest(), Plan.of(SCENARIO, 7).digest());
        assertEquals(Plan.of(SCENARIO, 7).arrivals(), Plan.of(SCENARIO, 7).arrivals());
        assertNotEquals(Plan.of(SCENARIO, 7).digest(), Plan.of(SCENARIO, 8).digest());
        // 120 choices of seven from ten: of 40 neighbouring seeds some 34 differ.
        long choices =
                java.util.stream.LongStream.range(0, 40)
                        .mapToObj(seed -> Plan.of(SCENARIO, seed).faults().get(0).balancers())
                        .distinct()
                        .count();
        assertTrue(choices > 24, choices + " choices by 40 seeds");
    }

    @Test
    void arrivalsFollowTheLoad() {
        Plan plan = Plan.of(SCENARIO, 7);
        // Four standard deviations
        assertEquals(4_000, plan.arrivals().size(), 250);
        long first = plan.arrivals().stream().filter(a -> a.zone() == 0).count();
        assertEquals(0.75, (double) first / plan.arrivals().size(), 0.03);
        assertTrue(plan.arrivals().stream().allMatch(a -> a.at() >= 0 && a.at() < 20_000_000));
    }

    @Test
    void aFaultNamesAsManyAsItSaysAndAReplacedServerHasASuccessorInItsZone() {
        Plan plan = Plan.of(SCENARIO, 7);
        assertEquals(7, plan.faults().get(0).balancers().size());
        assertEquals(12, plan.servers().size());
        assertEquals(1, plan.successor(3).zone());
        assertEquals(plan.servers().get(3).speed(), plan.successor(3).speed());
    }

    @Test
    void noTwoServersOfALargeFleetHaveOneName() {
        Scenario large =
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
        // Seed 9 draws one name twice.
        assertEquals(
                14_000,
                Plan.of(large, 9).servers().stream().map(Plan.Server::uid).distinct().count());
    }
}

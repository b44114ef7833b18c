package junctionhead.lab.sim;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import junctionhead.Balance;
import junctionhead.Policy;
import junctionhead.lab.measure.Result;
import junctionhead.lab.plan.Plan;
import junctionhead.lab.scenario.ScenarioReader;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.EnumSource;

/** The simulated fleet: the same to the byte, and every kind of fault shows. */
class SimFleetTest {
    private static final String FLEET =
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

    private static Plan plan(String faults, long seed) {
        String text = FLEET;
        for (String fault : faults.isEmpty() ? new String[0] : faults.split(" and ")) {
            text += "[[fault]]\n" + fault.replace("; ", "\n").replace('`', '"') + "\n";
        }
        return Plan.of(ScenarioReader.parse("s.toml", text, true), seed);
    }

    private static Result play(String faults, long seed) {
        return new SimFleet(plan(faults, seed), Balance::new, line -> {}).play();
    }

    @Test
    void theSameSeedIsTheSameToTheByteAndAnotherIsNot() {
        String faults =
                "kind = `kill`; at_s = 4; until_s = 5; on = `balancers:any=3` and "
                        + "kind = `loss`; at_s = 6; until_s = 9; on = `balancers`; to = `balancers`; amount = 0.3";
        List<String> remarks = new ArrayList<>();
        Result first = new SimFleet(plan(faults, 1), Balance::new, remarks::add).play();
        List<String> again = new ArrayList<>();
        assertEquals(
                first.toString(),
                new SimFleet(plan(faults, 1), Balance::new, again::add).play().toString());
        assertEquals(remarks, again);
        assertNotEquals(first.figures(), play(faults, 2).figures());
    }

    @Test
    void aQuietFleetServesAlmostAll() {
        Result result = play("", 1);
        assertTrue(result.figures().get("served_share") > 0.98, result.figures().toString());
        assertEquals(0, result.broken());
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
    void everyRuleIsKeptUnderEachFault(String fault, int unserved) {
        Result result = play(fault, 3);
        assertEquals(List.of(), result.breaches().stream().limit(3).toList());
        assertTrue(result.faults().get(0).unserved() >= unserved, result.faults().toString());
        assertEquals(
                result.slices().stream().mapToInt(Result.Slice::asked).sum(),
                result.slices().stream()
                        .mapToInt(s -> s.served() + s.late() + s.refused() + s.failed())
                        .sum());
    }

    @Test
    void aPathCutOneWayLosesWhatGoesThatWayOnly() {
        SimFleet fleet =
                new SimFleet(
                        plan(
                                "kind = `cut`; at_s = 0; until_s = 12; on = `balancers:0`; "
                                        + "to = `balancers`; one_way = true",
                                1),
                        Balance::new,
                        line -> {});
        assertEquals(0, fleet.play().broken());
        for (int b = 1; b < 6; b++) {
            assertEquals(0, fleet.delivered(0, b));
            assertTrue(fleet.delivered(b, 0) > 10 && fleet.delivered(b, b == 1 ? 2 : 1) > 10);
        }
    }

    @Test
    void aFleetThatPushesAColdServerOverIsFound() {
        // Every server has just started, and random choice holds nothing back.
        String text =
                FLEET.replace("rate = 200", "rate = 900")
                        + "[[fault]]\nkind = \"crash\"\nat_s = 2\nuntil_s = 3\non = \"upstreams\"\n";
        Result result =
                new SimFleet(
                                Plan.of(ScenarioReader.parse("s.toml", text, true), 1),
                                (settings, seed) ->
                                        new Baseline(Baseline.Rule.RANDOM, 0.5, settings, seed),
                                line -> {})
                        .play();
        assertTrue(
                result.breaches().stream().anyMatch(b -> b.startsWith("cold budget")),
                result.broken() + " broken");
    }

    @Test
    void aModuleThatAnswersNothingIsFound() {
        Result result =
                new SimFleet(plan("", 1), (settings, seed) -> new Mute(), line -> {}).play();
        assertEquals(0.0, result.figures().get("served_share"));
        // the balancer's own last resort answers in its place
        assertEquals(0, result.broken());
    }

    @ParameterizedTest
    @EnumSource(Baseline.Rule.class)
    void everyBaselineServesAQuietFleet(Baseline.Rule rule) {
        Result result =
                new SimFleet(
                                plan("", 1),
                                (settings, seed) -> new Baseline(rule, 0.5, settings, seed),
                                line -> {})
                        .play();
        assertTrue(result.figures().get("served_share") > 0.95, rule + ": " + result.figures());
        assertEquals(0, result.broken());
    }

    private static final class Mute implements Policy {
        @Override
        public void servers(long now, ListKind kind, List<Server> servers, Actions out) {}

        @Override
        public void request(
                long now,
                String request,
                int requestClass,
                int tenant,
                String key,
                long timeLeft,
                long work,
                boolean resubmission,
                Actions out) {}

        @Override
        public void outcome(
                long now,
                String request,
                int attempt,
                Outcome outcome,
                long latency,
                boolean closed,
                Load load,
                Actions out) {}

        @Override
        public void streamStarted(long now, String request, int attempt, Actions out) {}

        @Override
        public void clientGone(long now, String request, Actions out) {}

        @Override
        public void probed(
                long now, String server, Outcome outcome, long latency, Load load, Actions out) {}

        @Override
        public void wake(long now, Actions out) {}
    }
}

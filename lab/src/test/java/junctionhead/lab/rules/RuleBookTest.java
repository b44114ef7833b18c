package junctionhead.lab.rules;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.ArrayList;
import java.util.List;
import junctionhead.lab.plan.Plan;
import junctionhead.lab.scenario.Scenario;
import junctionhead.lab.scenario.ScenarioReader;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** A breach of each rule is planted and found; what only looks like one is not. */
class RuleBookTest {
    private static final Scenario SCENARIO =
            ScenarioReader.parse(
                    "s.toml",
                    """
        length_s = 20
        [[class]]
        name = "safe"
        [[class]]
        name = "keyed"
        effect = "keyed"
        scope = "zone"
        key_memory_ms = 1000
        [[class]]
        name = "unsafe"
        effect = "unsafe"
        """,
                    false);
    private static final int SAFE = 0;
    private static final int KEYED = 1;
    private static final int UNSAFE = 2;

    private final List<Breach> found = new ArrayList<>();
    private final RuleBook rules = new RuleBook(SCENARIO, found::add);

    private Call taken(int requestClass) {
        Call call =
                new Call(
                        "r1",
                        new Order(new Plan.Arrival(0, 0, requestClass, 0, 1000, false)),
                        1_000_000);
        rules.taken(call, 0, 1_000_000);
        return call;
    }

    private void finds(String... names) {
        assertEquals(List.of(names), found.stream().map(Breach::rule).toList());
        assertEquals(names.length, rules.broken());
    }

    @Test
    void twoAnswersAreOneTooMany() {
        Call call = taken(SAFE);
        rules.answered(call, 503, false, 1_100_000);
        finds();
        rules.answered(call, 503, false, 1_200_000);
        finds("one answer");
    }

    @Test
    void noAnswerIsABreachUnlessItsBalancerWasOut() {
        Call call = taken(SAFE);
        rules.overdue(call, 2_500_000);
        finds("one answer");
        Call excused = new Call("r2", call.order(), 1_000_000);
        rules.taken(excused, 1, 1_000_000);
        rules.outFrom(1, 1_500_000);
        rules.backAt(1, 1_600_000);
        rules.overdue(excused, 2_500_000);
        finds("one answer");
    }

    @Test
    void aBodyThatNoUpstreamMadeIsABreach() {
        rules.answered(taken(SAFE), 200, false, 1_100_000);
        finds("true answer");
    }

    @Test
    void aRequestOfNobodyIsABreach() {
        assertEquals(null, rules.attempt("r9", 0, 0, 1_000_000, 1_000_000));
        finds("no double effects");
    }

    @Test
    void aFifthAttemptIsOneTooMany() {
        taken(SAFE);
        for (int i = 0; i < 4; i++) {
            rules.attempt("r1", 0, i, 1_000_000, 1_000_000);
        }
        finds();
        rules.attempt("r1", 0, 4, 1_000_000, 1_000_000);
        finds("no double effects");
    }

    @ParameterizedTest
    @CsvSource({
        // class, zone of the second run, ms after the first, a breach
        "0, 1, 5000, false",
        "1, 0, 900, false",
        "1, 0, 1049, false",
        "1, 0, 1051, true",
        "1, 1, 10, true",
        "2, 0, 10, true",
    })
    void aSecondRunKeepsToItsClass(int requestClass, int zone, long after, boolean breach) {
        Call call = taken(requestClass);
        rules.runs(call, 0, 0, 1_010_000);
        rules.runs(call, 1, zone, 1_010_000 + after * 1000);
        finds(breach ? new String[] {"no double effects"} : new String[0]);
    }

    @ParameterizedTest
    @CsvSource({"0, true, false", "1, true, true", "2, true, true", "2, false, false"})
    void aRefusalPromisesThatNothingRan(int requestClass, boolean ran, boolean breach) {
        Call call = taken(requestClass);
        if (ran) {
            rules.runs(call, 0, 0, 1_010_000);
        }
        rules.answered(call, 503, false, 1_100_000);
        finds(breach ? new String[] {"no double effects"} : new String[0]);
    }

    @ParameterizedTest
    @CsvSource({"2549, false", "2551, true"})
    void nothingNewGoesToADrainingServerAfterItsGrace(long after, boolean breach) {
        taken(SAFE);
        rules.told(0, 3, false, 1_000_000);
        // Told again: the first time counts
        rules.told(0, 3, false, 3_000_000);
        // Another balancer, not told
        rules.attempt("r1", 1, 3, 9_000_000, 9_000_000);
        long began = 1_000_000 + after * 1000;
        // Its first byte counts
        rules.attempt("r1", 0, 3, began, began + 100_000);
        finds(breach ? new String[] {"drain"} : new String[0]);
    }

    @Test
    void aServerThatIsBackIsNotDraining() {
        taken(SAFE);
        rules.told(0, 3, false, 1_000_000);
        rules.told(0, 3, true, 5_000_000);
        rules.attempt("r1", 0, 3, 9_000_000, 9_000_000);
        finds();
        assertEquals(true, rules.knowsStart(0, 3, 4_000_000));
        assertEquals(false, rules.knowsStart(0, 3, 6_000_000));
        assertEquals(false, rules.knowsStart(1, 3, 0));
    }

    @Test
    void whoWasPausedGetsTheGraceOnceMore() {
        taken(SAFE);
        rules.told(0, 3, false, 1_000_000);
        rules.outFrom(0, 2_000_000);
        rules.backAt(0, 5_000_000);
        rules.attempt("r1", 0, 3, 7_000_000, 7_000_000);
        finds();
        rules.attempt("r1", 0, 3, 8_000_000, 8_000_000);
        finds("drain");
    }

    @Test
    void manyClosedConnectionsAreABreach() {
        for (int i = 0; i < 400; i++) {
            Call call = new Call("c" + i, taken(KEYED).order(), 1_000_000);
            rules.taken(call, 0, 1_000_000);
            if (i < 5) {
                rules.closed(call, false, 1_100_000);
            }
        }
        rules.close(20_000_000);
        finds("one answer");
    }

    @Test
    void anAnswerCutOffIsABreach() {
        rules.closed(taken(UNSAFE), true, 1_100_000);
        finds("one answer");
    }
}

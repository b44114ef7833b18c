package junctionhead.lab.rules;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.regex.Pattern;
import junctionhead.lab.scenario.ScenarioReader;
import org.junit.jupiter.api.Test;

/** Properties over time: a breach of each is planted and found. */
class PropertiesTest {
    private static final long S = 1_000_000;

    private final Map<String, Double> figures = new TreeMap<>();

    private List<String> end(Property property) {
        RuleBook rules =
                new RuleBook(
                        ScenarioReader.parse(
                                "s.toml",
                                """
            length_s = 20
            [[class]]
            name = "x"
            """,
                                false),
                        breach -> {});
        property.end(20 * S, rules, figures);
        return rules.breaches().stream().map(Breach::what).toList();
    }

    // ------------------------------------------------------------ acts in order

    private static String act(int epoch, long at) {
        return "junctionhead: duties: acts for record, epoch " + epoch + ", at " + at;
    }

    @Test
    void actsOfTwoHoldersThatOverlapAreFoundByTheirOwnClock() {
        ActsInOrder acts = new ActsInOrder(3);
        acts.line(0, 9 * S, act(5, 1 * S));
        acts.line(1, 4 * S, act(6, 3 * S));
        // Read late, done in time
        acts.line(0, 9 * S, act(5, 2 * S));
        assertEquals(List.of(), end(acts));
        assertEquals(1.0, figures.get("duties_passed_on"));
        acts.line(0, 9 * S, act(5, 4 * S));
        assertEquals(List.of("n0 acted for record under epoch 5 after n1 under 6"), end(acts));
        ActsInOrder same = new ActsInOrder(3);
        same.line(0, 1 * S, act(5, 1 * S));
        same.line(1, 2 * S, act(5, 2 * S));
        assertEquals(List.of("n1 acted for record under epoch 5 after n0 under 5"), end(same));
    }

    @Test
    void aDutyThatRestsTooLongAndOneThatNobodyDoesAreFound() {
        ActsInOrder acts = new ActsInOrder(3);
        assertEquals(List.of("nobody acted"), end(acts));
        acts.line(0, 1 * S, act(5, 1 * S));
        acts.line(0, 5 * S, act(5, 5 * S));
        assertEquals(List.of("nobody acted for 4.0 s, 3.0 are allowed"), end(acts));
    }

    // ------------------------------------------------------------ a zone is left

    private static void leave(ZoneLeft zone, int balancer, long at, int number) {
        zone.line(
                balancer,
                at,
                "junctionhead: zone " + number + " is LEFT: 6 of 20 servers out, 0 answering");
    }

    @Test
    void aZoneMustBeLeftInTimeByNineOfTen() {
        ZoneLeft zone = new ZoneLeft(10, 2, 5 * S, S);
        for (int b = 0; b < 9; b++) {
            leave(zone, b, 6 * S, 2);
        }
        // Once more, later
        leave(zone, 3, 9 * S, 2);
        assertEquals(List.of(), end(zone));
        assertEquals(1.0, figures.get("zone_left_most_s"));
        ZoneLeft late = new ZoneLeft(10, 2, 5 * S, S);
        for (int b = 0; b < 9; b++) {
            leave(late, b, 6 * S + (b == 8 ? 1 : 0), 2);
        }
        assertEquals(List.of("8 of 10 balancers left zone 2 within 1.0 s"), end(late));
    }

    @Test
    void aZoneThatWasNotLostMustNotBeLeft() {
        ZoneLeft zone = new ZoneLeft(1, 2, 5 * S, S);
        leave(zone, 0, 6 * S, 2);
        leave(zone, 0, 7 * S, 1);
        assertEquals(List.of("n0 left zone 1, which was not lost"), end(zone));
        ZoneLeft early = new ZoneLeft(1, 2, 5 * S, S);
        leave(early, 0, 4 * S, 2);
        leave(early, 0, 6 * S, 2);
        assertEquals(List.of("n0 left zone 2, which was not lost"), end(early));
    }

    // ------------------------------------------------------------ never two

    private final NeverTwo one =
            new NeverTwo("duty", Pattern.compile("holds (\\w+)"), Pattern.compile("leaves (\\w+)"));

    @Test
    void twoWhoHoldOneKeyAreFound() {
        one.line(0, 1 * S, "holds a");
        one.line(1, 2 * S, "holds b");
        one.line(1, 3 * S, "holds a");
        assertEquals(List.of("duty a is held by balancers [0, 1]"), end(one));
        assertEquals(3.0, figures.get("taken_duty"));
    }

    @Test
    void whoGaveUpOrDiedHoldsNothingAndWhoStandsStillDoes() {
        one.line(0, 1 * S, "holds a");
        one.line(0, 2 * S, "leaves a");
        one.line(1, 3 * S, "holds a");
        one.down(1, 4 * S, false);
        one.line(2, 5 * S, "holds a");
        assertEquals(List.of(), end(one));
        one.paused(2, 6 * S, true);
        one.line(0, 7 * S, "holds a");
        assertEquals(List.of("duty a is held by balancers [0, 2]"), end(one));
    }

    // ------------------------------------------------------------ members agree

    private final MembersAgree members = new MembersAgree(3, 2 * S, true);

    private void says(int balancer, long at, int about, Status status) {
        members.line(
                balancer,
                at,
                "members: balancer " + about + " is " + status + ", incarnation 5; 2 of 3");
    }

    private enum Status {
        ALIVE,
        DEAD
    }

    @Test
    void anEndThatAllNoticeInTimeIsWell() {
        members.down(2, 5 * S, false);
        says(0, 6 * S, 2, Status.DEAD);
        says(1, 5 * S + 500_000, 2, Status.DEAD);
        members.up(2, 10 * S);
        says(0, 11 * S, 2, Status.ALIVE);
        says(1, 11 * S, 2, Status.ALIVE);
        assertEquals(List.of(), end(members));
        assertEquals(1.0, figures.get("members_noticed_p99_s"), 0.01);
        assertEquals(1.0, figures.get("members_settled_s"), 0.01);
    }

    @Test
    void anEndThatIsNoticedLateIsFound() {
        members.down(2, 5 * S, false);
        says(0, 7 * S, 2, Status.DEAD);
        says(1, 7 * S + 1_000, 2, Status.DEAD);
        assertEquals(List.of("n1 noticed the end of n2 after 2001 ms only"), end(members));
    }

    @Test
    void anEndThatOneDoesNotNoticeIsFound() {
        members.down(2, 5 * S, false);
        says(0, 6 * S, 2, Status.DEAD);
        assertEquals(List.of("n1 did not notice the end of n2"), end(members));
    }

    @Test
    void whoIsBackAtOnceNeedNotBeMissed() {
        members.down(2, 5 * S, false);
        members.up(2, 6 * S);
        assertEquals(List.of(), end(members));
    }

    @Test
    void whoRunsAndIsHeldDeadIsFound() {
        says(0, 6 * S, 1, Status.DEAD);
        assertEquals(
                List.of("n0 holds n1 DEAD, which runs", "at the end n0 holds n1 DEAD"),
                end(members));
    }

    @Test
    void whoIsHeldPresentAtTheEndAndIsNotIsFound() {
        members.down(2, 5 * S, false);
        says(0, 6 * S, 2, Status.DEAD);
        says(1, 6 * S, 2, Status.DEAD);
        says(1, 7 * S, 2, Status.ALIVE);
        assertTrue(end(members).contains("at the end n1 holds n2 ALIVE"));
    }
}

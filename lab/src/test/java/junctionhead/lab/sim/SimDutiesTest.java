package junctionhead.lab.sim;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import junctionhead.duties.Terms;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

class SimDutiesTest {
    /** Also with a tenth of the datagrams lost, and with promises that don't outlive a process. */
    @ParameterizedTest
    @CsvSource({"10, 0, true, 1", "10, 0.1, false, 2", "60, 0.05, true, 3"})
    void dutiesArePassedOnWithinTwoLeasesAndNeverHeldByTwo(
            int members, double loss, boolean durable, long seed) {
        SimDuties fleet = new SimDuties(members, loss, durable, Terms.USUAL, seed);
        fleet.play(10_000_000);
        assertEquals(Terms.USUAL.slots(), fleet.held());
        for (int i = 0; i < 6; i++) {
            int m = fleet.busiest();
            fleet.end(m, false);
            fleet.play(6_000_000);
            fleet.restart(m);
            fleet.play(6_000_000);
        }
        assertEquals(List.of(), fleet.twice());
        assertTrue(
                fleet.passed().getTotalCount() >= 6, fleet.passed().getTotalCount() + " passed on");
        assertTrue(
                fleet.passed().getMaxValue() <= 2 * Terms.USUAL.lease(),
                fleet.passed().getMaxValue() + " µs");
    }

    @Test
    void whatIsPaidDoesNotGrowWithTheFleet() {
        double[] paid = new double[2];
        for (int i = 0; i < 2; i++) {
            SimDuties fleet = new SimDuties(i == 0 ? 20 : 200, 0, true, Terms.USUAL, 1);
            fleet.play(8_000_000);
            long before = fleet.bytes();
            fleet.play(5_000_000);
            // Of all members
            paid[i] = (fleet.bytes() - before) / 5.0;
        }
        assertTrue(
                paid[1] < 1.5 * paid[0] && paid[0] > 0,
                paid[0] + " and " + paid[1] + " bytes a second");
    }
}

package junctionhead.lab.cold;

import static org.junit.jupiter.api.Assertions.assertTrue;

import junctionhead.lab.sim.Baseline;
import org.junit.jupiter.api.Test;

/** Cold servers under the sum of all balancers, however many these are and whatever they hear. */
class ColdPlayTest {
    @Test
    void aFleetThatHoldsNothingBackIsFound() {
        ColdPlay.Outcome burst = new ColdPlay(new ColdPlay.Site(20, 12, 0.9, 0), (settings, seed) ->
            new Baseline(Baseline.Rule.RANDOM, 0.5, settings, seed), 1).burst(5, false);
        assertTrue(burst.falls(), burst.toString());
    }
}

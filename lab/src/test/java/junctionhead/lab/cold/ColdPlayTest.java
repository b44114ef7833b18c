package junctionhead.lab.cold;

import static org.junit.jupiter.api.Assertions.assertTrue;

import junctionhead.Balance;
import junctionhead.lab.sim.Baseline;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Cold servers under the sum of all balancers, however many these are and whatever they hear. */
class ColdPlayTest {
    // Of N: a third of what the server can do
    private static final double LEAST_USED = 1.0 / 9;

    private static ColdPlay of(int balancers, double load, double loss) {
        return new ColdPlay(new ColdPlay.Site(balancers, 4, load, loss), Balance::new, 1);
    }

    @Test
    void aFleetThatHoldsNothingBackIsFound() {
        ColdPlay.Outcome burst =
                new ColdPlay(
                                new ColdPlay.Site(20, 12, 0.9, 0),
                                (settings, seed) ->
                                        new Baseline(Baseline.Rule.RANDOM, 0.5, settings, seed),
                                1)
                        .burst(5, false);
        assertTrue(burst.falls(), burst.toString());
    }

    @ParameterizedTest
    @CsvSource({"30, 0, false", "100, 0, false", "100, 0, true", "100, 1, false"})
    void aBurstAfterAQuietTimePushesNoColdServerOver(int balancers, double loss, boolean joiners) {
        ColdPlay.Outcome burst = of(balancers, 0.9, loss).burst(18, joiners);
        assertTrue(burst.got() > 0 && !burst.falls(), burst.toString());
    }

    @ParameterizedTest
    @CsvSource("100")
    void plentyOfTrafficUsesAThirdOfWhatAColdServerCanDo(int balancers) {
        ColdPlay.Outcome steady = of(balancers, 2, 0).steady(12);
        assertTrue(steady.used() >= LEAST_USED && !steady.falls(), steady.toString());
    }
}

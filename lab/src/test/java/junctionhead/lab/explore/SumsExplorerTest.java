package junctionhead.lab.explore;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import junctionhead.aggregation.Blocks;
import junctionhead.lab.explore.SumsExplorer.Fault;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

class SumsExplorerTest {
    private static final Blocks PAIRS = new Blocks(6, 2);

    @Test
    void nothingThatMayHappenToThreePairsIsWrong() {
        Finding finding = new SumsExplorer(PAIRS, Fault.NONE).explore(500_000, 5, 1_000, 1);
        assertEquals("", finding.wrong(), String.join("\n", finding.story()));
        assertEquals(500_000, finding.states(), 40);
        assertTrue(finding.settled() > 400);
    }

    @Test
    void norOnLongWaysWithFaultsNowAndThen() {
        Finding finding = new SumsExplorer(PAIRS, Fault.NONE).walk(500_000, 12, 300, 500, 2);
        assertEquals("", finding.wrong(), String.join("\n", finding.story()));
        assertTrue(finding.settled() > 800);
    }

    @ParameterizedTest
    @EnumSource(value = Fault.class, names = "NONE", mode = EnumSource.Mode.EXCLUDE)
    void aPlantedFaultIsFoundWithItsStory(Fault fault) {
        Finding finding = new SumsExplorer(PAIRS, fault).walk(300_000, 12, 300, 50, 1);
        assertFalse(finding.wrong().isEmpty(), finding.toString());
        assertTrue(finding.story().size() > 3, finding.story().toString());
    }
}

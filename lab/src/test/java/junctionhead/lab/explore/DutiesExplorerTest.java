package junctionhead.lab.explore;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import junctionhead.duties.Terms;
import junctionhead.lab.explore.DutiesExplorer.Fault;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.EnumSource;

class DutiesExplorerTest {
    private static final Terms SMALL = new Terms(200_000, 60_000, 20_000, 80_000, 1, 3);

    @ParameterizedTest
    @CsvSource({"3, 1500000, 10", "5, 300000, 10"})
    void nothingThatMayHappenIsWrong(int members, long states, int faults) {
        Terms terms =
                new Terms(SMALL.lease(), SMALL.renew(), SMALL.again(), SMALL.settle(), 1, members);
        Finding finding =
                new DutiesExplorer(members, terms, Fault.NONE)
                        .explore(states, 250, faults, 2_000, 1);
        assertEquals("", finding.wrong(), String.join("\n", finding.story()));
        assertTrue(finding.states() >= states, finding.toString());
        assertTrue(finding.settled() >= states / 3_000, finding.toString());
    }

    @ParameterizedTest
    @EnumSource(value = Fault.class, names = "NONE", mode = EnumSource.Mode.EXCLUDE)
    void aPlantedFaultIsFoundWithItsStory(Fault fault) {
        Finding finding = null;
        for (int seed = 1; seed <= 4 && (finding == null || finding.wrong().isEmpty()); seed++) {
            finding = new DutiesExplorer(3, SMALL, fault).explore(2_000_000, 400, 10, 2_000, seed);
        }
        assertFalse(finding.wrong().isEmpty(), finding.toString());
        assertTrue(finding.story().size() > 3, finding.story().toString());
    }
}

package junctionhead.lab.explore;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import junctionhead.lab.explore.MembersExplorer.Fault;
import junctionhead.membership.Timing;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

class MembersExplorerTest {
    private static final Timing SMALL =
            new Timing(100_000, 40_000, 120_000, 40_000, 200_000, 1, 1, 86_400_000_000L);

    @Test
    void nothingThatMayHappenToThreeMembersIsWrong() {
        Finding finding = new MembersExplorer(3, SMALL, Fault.NONE).explore(1_000_000, 4, 2_000, 1);
        assertEquals("", finding.wrong(), String.join("\n", finding.story()));
        assertEquals(1_000_000, finding.states(), 20);
        assertTrue(finding.settled() > 400);
    }

    @ParameterizedTest
    @EnumSource(value = Fault.class, names = "NONE", mode = EnumSource.Mode.EXCLUDE)
    void aPlantedFaultIsFoundWithItsStory(Fault fault) {
        Finding finding = new MembersExplorer(3, SMALL, fault).explore(300_000, 3, 50, 1);
        assertFalse(finding.wrong().isEmpty(), finding.toString());
        assertTrue(finding.story().size() > 3, finding.story().toString());
    }
}

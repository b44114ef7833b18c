package junctionhead.duties;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.List;
import junctionhead.GoldenFiles;
import org.junit.jupiter.api.Test;

/** The promises that a voter keeps on disk, byte for byte, with the extremes of each field. */
class GoldenVoterPromisesTest {
    private static final String FILE = "lease/voter-promises.hex";
    private static final int GREATEST_MEMBER = (1 << 14) - 1;
    private static final int GREATEST_PROCESS = (1 << 15) - 1;
    private static final int GREATEST_CLAIMANT = 0x7fff3fff;

    static List<Promise> promises() {
        return List.of(
                new Promise(0, -1),
                new Promise(0, 0),
                new Promise(1, 65_537),
                new Promise((1L << 48) - 1, GREATEST_CLAIMANT),
                new Promise(1L << 32, 16_909_060));
    }

    @Test
    void bytesGiveValues() {
        assertEquals(promises(), Promise.decode(GoldenFiles.bytes(FILE), promises().size()));
    }

    @Test
    void valuesGiveBytes() {
        assertEquals(GoldenFiles.text(FILE), GoldenFiles.hexLines(Promise.encode(promises())));
    }

    @Test
    void claimantJoinsMemberAndProcess() {
        assertEquals(GREATEST_CLAIMANT, Promise.claimant(GREATEST_MEMBER, GREATEST_PROCESS));
        assertEquals(65_537, Promise.claimant(1, 1));
        assertEquals(new Promise(9, -1), Promise.none(9));
    }
}

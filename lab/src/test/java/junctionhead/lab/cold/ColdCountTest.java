package junctionhead.lab.cold;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;

/** The count of what a cold server got: windows slide, and the budget is that of the moment. */
class ColdCountTest {
    @Test
    void theFullestWindowIsFoundWhereverItLies() {
        ColdCount count = new ColdCount(3, 3_000_000);
        // 4 a second: N = 36, and it bears 36 + 12 + 2.
        for (int i = 0; i < 50; i++) {
            count.got(2_500_000 + i * 20_000, 4);
        }
        assertEquals(50, count.peak().got());
        assertEquals(36, count.peak().budget(), 1e-9);
        assertEquals(50, count.peak().bound(), 1e-9);
        assertFalse(count.peak().over());
        // The first was 3 s ago, less 1 µs
        count.got(5_499_999, 4);
        assertTrue(count.peak().over());
    }

    @Test
    void whatIsAWindowAgoNoLongerCounts() {
        ColdCount count = new ColdCount(3, 3_000_000);
        for (int i = 0; i < 200; i++) {
            count.got(i * 1_000_000L, 4);
        }
        assertEquals(3, count.peak().got());
    }

    @Test
    void itsFullestWindowIsTheOneNearestItsBound() {
        ColdCount count = new ColdCount(3, 3_000_000);
        for (int i = 0; i < 8; i++) {
            // N = 4.5: it bears 10.7
            count.got(i, 0.5);
        }
        for (int i = 0; i < 30; i++) {
            // N = 90: it bears 111
            count.got(10_000_000 + i, 10);
        }
        assertEquals(8, count.peak().got());
        assertEquals(7, count.peak().at());
    }

    @Test
    void whatWasUsedIsAPartOfTheBudgetOfThatTime() {
        ColdCount count = new ColdCount(3, 3_000_000);
        for (int i = 0; i < 60; i++) {
            // 10 of 15 a second
            count.got(i * 100_000L, 5);
        }
        assertEquals(2.0 / 3, count.used(0, 6_000_000), 1e-9);
        assertEquals(0, count.used(7_000_000, 9_000_000));
    }
}

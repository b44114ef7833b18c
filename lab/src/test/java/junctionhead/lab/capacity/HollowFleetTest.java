package junctionhead.lab.capacity;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.util.EnumSet;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import org.junit.jupiter.api.Test;

/** Hollow balancers live as real ones do, and what is measured of them is what happened. */
class HollowFleetTest {
    private static final Set<Part> ALL = EnumSet.allOf(Part.class);

    @Test
    void aSeedPlaysTheSameTwice() throws IOException {
        assertEquals(
                counted(Trials.play(20, 50, 10, ALL, Condition.ZONE, 4, 4)),
                counted(Trials.play(20, 50, 10, ALL, Condition.ZONE, 4, 4)));
    }

    // What is measured by the machine's clock differs.
    private static Map<String, Double> counted(Map<String, Double> figures) {
        Map<String, Double> counted = new TreeMap<>(figures);
        counted.keySet()
                .removeIf(name -> name.startsWith("cpu") || name.startsWith("listInForce.seconds"));
        return counted;
    }

    @Test
    void eachKindOfDatagramIsCounted() throws IOException {
        Map<String, Double> figures = Trials.play(20, 50, 0, ALL, Condition.QUIET, 8, 8);
        for (String kind : new String[] {"word", "membership", "duties"}) {
            double sent = figures.get("sent.bytesPerSecond." + kind);
            assertTrue(sent > 0, kind);
            // Nothing is lost; what is under way at the window's ends is little.
            assertEquals(1, figures.get("received.bytesPerSecond." + kind) / sent, 0.02, kind);
        }
        assertEquals(
                figures.get("sent.bytesPerSecond.mean"),
                figures.get("sent.bytesPerSecond.word")
                        + figures.get("sent.bytesPerSecond.membership")
                        + figures.get("sent.bytesPerSecond.duties"),
                1e-6);
    }

    @Test
    void aTenthOfTheDatagramsIsLost() throws IOException {
        Map<String, Double> figures = Trials.play(20, 50, 0, ALL, Condition.LOSS10, 8, 8);
        assertEquals(
                0.9,
                figures.get("received.datagramsPerSecond.mean")
                        / figures.get("sent.datagramsPerSecond.mean"),
                0.02);
    }

    @Test
    void aLostZoneIsKnownToAllAndItsReturnToo() throws IOException {
        Map<String, Double> figures = Trials.play(40, 50, 0, ALL, Condition.ZONE, 6, 12);
        // 4 of 40 end; each of the 36 others learns of each, then of its return.
        assertEquals(4 * 36, figures.get("death.knownPairs"));
        assertEquals(4 * 36, figures.get("return.knownPairs"));
        assertEquals(0, figures.get("death.unknownPairs") + figures.get("return.unknownPairs"));
        assertTrue(figures.get("death.seconds.last") < 4, () -> figures.toString());
        assertTrue(figures.get("return.seconds.last") < 2, () -> figures.toString());
        // Both changes of the list come to 36: who starts again has the whole of it.
        assertEquals(2 * 36, figures.get("listInForce.knownPairs"));
    }

    @Test
    void aWaveOfRestartsIsKnownTenthByTenth() throws IOException {
        Map<String, Double> figures = Trials.play(20, 50, 0, ALL, Condition.RESTARTS, 6, 12);
        // Each of 20 leaves and comes back; the other of its tenth does not see it.
        assertEquals(
                20 * 18, figures.get("death.knownPairs") + figures.get("death.overtakenPairs"));
        assertEquals(figures.get("death.knownPairs"), figures.get("return.knownPairs"));
        assertEquals(0, figures.get("return.unknownPairs"));
    }

    @Test
    void halvesFindEachOther() throws IOException {
        Map<String, Double> figures = Trials.play(20, 50, 0, ALL, Condition.HALVES, 6, 20);
        assertEquals(
                2 * 10 * 10, figures.get("death.knownPairs") + figures.get("death.overtakenPairs"));
        assertEquals(figures.get("death.knownPairs"), figures.get("return.knownPairs"));
        assertEquals(0, figures.get("return.unknownPairs"));
    }

    @Test
    void modulesKnowWhatTheOthersGet() throws IOException {
        Map<String, Double> figures = Trials.play(20, 20, 40, ALL, Condition.QUIET, 8, 8);
        assertEquals(0, figures.get("othersRate.relativeError.bias"), 0.03);
        assertTrue(figures.get("othersRate.relativeError.worst") < 0.25, () -> figures.toString());
        assertEquals(0, figures.get("requests.unservedShare"), 0.001);
    }
}

package junctionhead.lab.capacity;

import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.util.EnumSet;
import java.util.Map;
import java.util.TreeMap;
import org.junit.jupiter.api.Test;

/**
 * Counted work of what modules tell one another: bounded, and the same for any number of balancers. What goes
 * to all counts once for each: a fan-out path has to carry it.
 */
class WordWorkTest {
    private static final double DATAGRAMS_MOST = 64;        // a second and balancer
    private static final double BYTES_MOST = 3_000;         // for control as a whole
    private static final double SLOPE_MOST = 1.2;           // of 400 balancers to 200
    private static final Map<Integer, Map<String, Double>> PLAYED = new TreeMap<>();

    private static double counted(int balancers, String figure) throws IOException {
        if (!PLAYED.containsKey(balancers)) {
            PLAYED.put(balancers, Trials.play(balancers, 20, 0, EnumSet.of(Part.MODULE, Part.MEMBERSHIP),
                Condition.QUIET, 3, 3));
        }
        return PLAYED.get(balancers).get(figure);
    }

    private static void bounded(String figure, double most) throws IOException {
        double few = counted(200, figure);
        double many = counted(400, figure);
        assertTrue(few <= most && many <= most, figure + ": 200 balancers " + few + ", 400 " + many);
        assertTrue(many <= SLOPE_MOST * few, figure + " rises: 200 balancers " + few + ", 400 " + many);
    }

    @Test
    void datagramsSentDoNotGrowWithTheFleet() throws IOException {
        bounded("sent.datagramsPerSecond.word", DATAGRAMS_MOST);
    }

    @Test
    void datagramsReceivedDoNotGrowWithTheFleet() throws IOException {
        bounded("received.datagramsPerSecond.word", DATAGRAMS_MOST);
    }

    @Test
    void bytesSentDoNotGrowWithTheFleet() throws IOException {
        bounded("sent.bytesPerSecond.word", BYTES_MOST);
    }
}

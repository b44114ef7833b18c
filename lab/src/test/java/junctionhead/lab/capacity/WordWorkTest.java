package junctionhead.lab.capacity;

import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.util.EnumSet;
import java.util.Map;
import java.util.TreeMap;
import junctionhead.aggregation.Blocks;
import org.junit.jupiter.api.Test;

/**
 * Counted work of what modules tell one another: datagrams bounded for any number of balancers,
 * bytes growing by a little for each, to half the budget at the most that can be summed. What goes
 * to all counts once for each: a fan-out path has to carry it.
 */
class WordWorkTest {
    // A second and balancer
    private static final double DATAGRAMS_MOST = 64;
    // For control as a whole
    private static final double BYTES_MOST = 3_000;
    // Of 400 balancers to 200, in datagrams
    private static final double SLOPE_MOST = 1.2;
    // For each balancer more: a block of 16 has a record of 5 bytes, told on both ways. All to all
    // has 5.9.
    private static final double BYTES_EACH_MOST = 0.7;
    private static final Map<Integer, Map<String, Double>> PLAYED = new TreeMap<>();

    private static double counted(int balancers, String figure) throws IOException {
        if (!PLAYED.containsKey(balancers)) {
            PLAYED.put(
                    balancers,
                    Trials.play(
                            balancers,
                            20,
                            0,
                            EnumSet.of(Part.MODULE, Part.MEMBERSHIP),
                            Condition.QUIET,
                            3,
                            3));
        }
        return PLAYED.get(balancers).get(figure);
    }

    private static void bounded(String figure, double most) throws IOException {
        double few = counted(200, figure);
        double many = counted(400, figure);
        assertTrue(
                few <= most && many <= most, figure + ": 200 balancers " + few + ", 400 " + many);
        assertTrue(
                many <= SLOPE_MOST * few,
                figure + " rises: 200 balancers " + few + ", 400 " + many);
    }

    private static void bytesBounded(String figure) throws IOException {
        double few = counted(200, figure);
        double many = counted(400, figure);
        double slope = (many - few) / 200;
        assertTrue(
                slope <= BYTES_EACH_MOST,
                figure + " rises: 200 balancers " + few + ", 400 " + many);
        double atLimit = many + slope * (Blocks.BALANCERS_MOST - 400);
        assertTrue(
                atLimit <= BYTES_MOST / 2,
                figure + " would be " + atLimit + " at the most balancers");
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
    void bytesSentGrowByLittleWithTheFleet() throws IOException {
        bytesBounded("sent.bytesPerSecond.word");
    }
}

package loadbalancer.testbed.capacity;

import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.util.EnumSet;
import java.util.Map;
import java.util.TreeMap;
import loadbalancer.routing.gossip.BlockPartition;
import org.junit.jupiter.api.Test;

/**
 * Counted work of what modules tell one another: datagrams bounded for any number of balancers,
 * bytes growing by a little for each, to half the budget at the most that can be summed. What goes
 * to all counts once for each: a fan-out path has to carry it.
 */
class GossipScalingTest {
    // A second and balancer
    private static final double MAX_DATAGRAMS_PER_SECOND = 64;
    // For control as a whole
    private static final double MAX_BYTES_PER_SECOND = 3_000;
    // Of 400 balancers to 200, in datagrams
    private static final double MAX_GROWTH_FACTOR = 1.2;
    // For each balancer more: a block of 16 has a record of 5 bytes, told on both ways. All to all
    // has 5.9.
    private static final double MAX_BYTES_PER_ADDED_BALANCER = 0.7;
    private static final Map<Integer, Map<String, Double>> RESULTS = new TreeMap<>();

    private static double measured(int balancerCount, String figure) throws IOException {
        if (!RESULTS.containsKey(balancerCount)) {
            RESULTS.put(
                    balancerCount,
                    CapacityExperiments.run(
                            balancerCount,
                            20,
                            0,
                            EnumSet.of(BalancerComponent.ROUTING, BalancerComponent.MEMBERSHIP),
                            FleetCondition.QUIET,
                            3,
                            3));
        }
        return RESULTS.get(balancerCount).get(figure);
    }

    private static void assertBounded(String figure, double limit) throws IOException {
        double smallFleet = measured(200, figure);
        double largeFleet = measured(400, figure);
        assertTrue(
                smallFleet <= limit && largeFleet <= limit,
                figure + ": 200 balancers " + smallFleet + ", 400 " + largeFleet);
        assertTrue(
                largeFleet <= MAX_GROWTH_FACTOR * smallFleet,
                figure + " rises: 200 balancers " + smallFleet + ", 400 " + largeFleet);
    }

    private static void assertBytesBounded(String figure) throws IOException {
        double smallFleet = measured(200, figure);
        double largeFleet = measured(400, figure);
        double bytesPerBalancer = (largeFleet - smallFleet) / 200;
        assertTrue(
                bytesPerBalancer <= MAX_BYTES_PER_ADDED_BALANCER,
                figure + " rises: 200 balancers " + smallFleet + ", 400 " + largeFleet);
        double atMaxFleet = largeFleet + bytesPerBalancer * (BlockPartition.MAX_BALANCERS - 400);
        assertTrue(
                atMaxFleet <= MAX_BYTES_PER_SECOND / 2,
                figure + " would be " + atMaxFleet + " at the most balancers");
    }

    @Test
    void sentDatagramsDoNotGrowWithFleet() throws IOException {
        assertBounded("sent.datagramsPerSecond.word", MAX_DATAGRAMS_PER_SECOND);
    }

    @Test
    void receivedDatagramsDoNotGrowWithFleet() throws IOException {
        assertBounded("received.datagramsPerSecond.word", MAX_DATAGRAMS_PER_SECOND);
    }

    @Test
    void sentBytesGrowSlowlyWithFleet() throws IOException {
        assertBytesBounded("sent.bytesPerSecond.word");
    }
}

package loadbalancer.testbed.capacity;

import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.util.EnumSet;
import java.util.Map;
import java.util.TreeMap;
import loadbalancer.routing.gossip.BlockPartition;
import org.junit.jupiter.api.Test;

/**
 * Tests the cost of load reports between routing policies. The number of datagrams is bounded for
 * any number of balancers. Bytes grow slowly with the number of balancers, up to half of the budget
 * in the largest fleet whose reports are summed. A broadcast counts once for each receiver.
 */
class GossipScalingTest {
    // Limit of datagrams for one balancer
    private static final double MAX_DATAGRAMS_PER_SECOND = 64;
    // Budget of one balancer for all its control traffic
    private static final double MAX_BYTES_PER_SECOND = 3_000;
    // Limit of the ratio of datagrams with 400 balancers to those with 200
    private static final double MAX_GROWTH_FACTOR = 1.2;
    // Each block of 16 balancers adds a record of 5 bytes, which is sent in two directions. Reports
    // from each balancer to each other balancer would add 5.9 bytes.
    private static final double MAX_BYTES_PER_ADDED_BALANCER = 0.7;
    private static final Map<Integer, Map<String, Double>> RESULTS = new TreeMap<>();

    private static double metricFor(int balancerCount, String metric) throws IOException {
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
        return RESULTS.get(balancerCount).get(metric);
    }

    private static void assertBounded(String metric, double limit) throws IOException {
        double smallFleet = metricFor(200, metric);
        double largeFleet = metricFor(400, metric);
        assertTrue(
                smallFleet <= limit && largeFleet <= limit,
                metric + ": 200 balancers " + smallFleet + ", 400 " + largeFleet);
        assertTrue(
                largeFleet <= MAX_GROWTH_FACTOR * smallFleet,
                metric + " rises: 200 balancers " + smallFleet + ", 400 " + largeFleet);
    }

    private static void assertBytesBounded(String metric) throws IOException {
        double smallFleet = metricFor(200, metric);
        double largeFleet = metricFor(400, metric);
        double bytesPerBalancer = (largeFleet - smallFleet) / 200;
        assertTrue(
                bytesPerBalancer <= MAX_BYTES_PER_ADDED_BALANCER,
                metric + " rises: 200 balancers " + smallFleet + ", 400 " + largeFleet);
        double atMaxFleet = largeFleet + bytesPerBalancer * (BlockPartition.MAX_BALANCERS - 400);
        assertTrue(
                atMaxFleet <= MAX_BYTES_PER_SECOND / 2,
                metric + " would be " + atMaxFleet + " in the largest fleet");
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

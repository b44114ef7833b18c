package loadbalancer.testbed.capacity;

import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import org.junit.jupiter.api.Test;

/** Tests that the cost of membership in a quiet fleet does not depend on its size. */
class MembershipScalingTest {
    private static final int[] FLEET_SIZES = {50, 100, 200, 400};
    // Limit of the ratio between any fleet and the smallest one, which is about 1.00
    private static final double MAX_GROWTH_FACTOR = 1.05;
    // Limit for one member, which sends about 394 bytes per second
    private static final double MAX_BYTES_PER_SECOND = 420;

    @Test
    void costIsIndependentOfFleetSize() throws IOException {
        for (String metric :
                new String[] {
                    "sent.datagramsPerSecond",
                    "sent.bytesPerSecond",
                    "received.datagramsPerSecond",
                    "received.bytesPerSecond"
                }) {
            Map<Integer, Double> meanByFleetSize = new TreeMap<>();
            for (int members : FLEET_SIZES) {
                meanByFleetSize.put(members, metricsFor(members).get(metric + ".mean"));
            }
            double smallestFleetMean = meanByFleetSize.get(FLEET_SIZES[0]);
            for (Map.Entry<Integer, Double> entry : meanByFleetSize.entrySet()) {
                assertTrue(
                        entry.getValue() <= MAX_GROWTH_FACTOR * smallestFleetMean,
                        metric + " by members: " + meanByFleetSize);
            }
        }
    }

    @Test
    void costIsEvenlySpread() throws IOException {
        for (int members : FLEET_SIZES) {
            assertAtMost(members, "sent.bytesPerSecond.mean", MAX_BYTES_PER_SECOND);
            assertAtMost(members, "sent.bytesPerSecond.most", 1.1 * MAX_BYTES_PER_SECOND);
            // Pages of 254 bytes are sent to random members, so that some receive more than others,
            // up to about 572 bytes per second.
            assertAtMost(members, "received.bytesPerSecond.most", 1.5 * MAX_BYTES_PER_SECOND);
        }
    }

    private static void assertAtMost(int members, String metric, double limit) throws IOException {
        double measured = metricsFor(members).get(metric);
        assertTrue(measured <= limit, members + " members: " + metric + " " + measured);
    }

    private static final Map<Integer, Map<String, Double>> RESULTS = new TreeMap<>();

    private static Map<String, Double> metricsFor(int members) throws IOException {
        if (!RESULTS.containsKey(members)) {
            RESULTS.put(
                    members,
                    CapacityExperiments.run(
                            members,
                            1,
                            0,
                            Set.of(BalancerComponent.MEMBERSHIP),
                            FleetCondition.QUIET,
                            6,
                            8));
        }
        return RESULTS.get(members);
    }
}

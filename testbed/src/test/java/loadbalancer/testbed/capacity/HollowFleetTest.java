package loadbalancer.testbed.capacity;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.util.EnumSet;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import org.junit.jupiter.api.Test;

/** Tests that hollow balancers behave like real ones, and that metrics match the events. */
class HollowFleetTest {
    private static final Set<BalancerComponent> ALL_COMPONENTS =
            EnumSet.allOf(BalancerComponent.class);

    @Test
    void sameSeedGivesSameCounts() throws IOException {
        assertEquals(
                withoutRealTimeMetrics(
                        CapacityExperiments.run(
                                20, 50, 10, ALL_COMPONENTS, FleetCondition.ZONE, 4, 4)),
                withoutRealTimeMetrics(
                        CapacityExperiments.run(
                                20, 50, 10, ALL_COMPONENTS, FleetCondition.ZONE, 4, 4)));
    }

    // Excludes metrics that are measured in real time, which differ from run to run.
    private static Map<String, Double> withoutRealTimeMetrics(Map<String, Double> metrics) {
        Map<String, Double> remaining = new TreeMap<>(metrics);
        remaining
                .keySet()
                .removeIf(name -> name.startsWith("cpu") || name.startsWith("listInForce.seconds"));
        return remaining;
    }

    @Test
    void eachDatagramCategoryIsCounted() throws IOException {
        Map<String, Double> metrics =
                CapacityExperiments.run(20, 50, 0, ALL_COMPONENTS, FleetCondition.QUIET, 8, 8);
        for (String category : new String[] {"word", "membership", "duties"}) {
            double sent = metrics.get("sent.bytesPerSecond." + category);
            assertTrue(sent > 0, category);
            // Nothing is lost; few datagrams are in flight at the start and end of the window.
            assertEquals(
                    1, metrics.get("received.bytesPerSecond." + category) / sent, 0.02, category);
        }
        assertEquals(
                metrics.get("sent.bytesPerSecond.mean"),
                metrics.get("sent.bytesPerSecond.word")
                        + metrics.get("sent.bytesPerSecond.membership")
                        + metrics.get("sent.bytesPerSecond.duties"),
                1e-6);
    }

    @Test
    void tenPercentLossIsMeasured() throws IOException {
        Map<String, Double> metrics =
                CapacityExperiments.run(20, 50, 0, ALL_COMPONENTS, FleetCondition.LOSS10, 8, 8);
        assertEquals(
                0.9,
                metrics.get("received.datagramsPerSecond.mean")
                        / metrics.get("sent.datagramsPerSecond.mean"),
                0.02);
    }

    @Test
    void zoneLossAndReturnAreDetectedByAll() throws IOException {
        Map<String, Double> metrics =
                CapacityExperiments.run(40, 50, 0, ALL_COMPONENTS, FleetCondition.ZONE, 6, 12);
        // 4 of 40 balancers end. Each of the 36 others detects each death, then each return.
        assertEquals(4 * 36, metrics.get("death.knownPairs"));
        assertEquals(4 * 36, metrics.get("return.knownPairs"));
        assertEquals(0, metrics.get("death.unknownPairs") + metrics.get("return.unknownPairs"));
        assertTrue(metrics.get("death.seconds.last") < 4, () -> metrics.toString());
        assertTrue(metrics.get("return.seconds.last") < 2, () -> metrics.toString());
        // Both updates reach 36 balancers; restarted ones get the complete list.
        assertEquals(2 * 36, metrics.get("listInForce.knownPairs"));
    }

    @Test
    void rollingRestartIsDetected() throws IOException {
        Map<String, Double> metrics =
                CapacityExperiments.run(20, 50, 0, ALL_COMPONENTS, FleetCondition.RESTARTS, 6, 12);
        // Each of 20 balancers leaves and returns. The other balancer of its tenth is not running
        // then, so 18 observe it.
        assertEquals(
                20 * 18, metrics.get("death.knownPairs") + metrics.get("death.overtakenPairs"));
        assertEquals(metrics.get("death.knownPairs"), metrics.get("return.knownPairs"));
        assertEquals(0, metrics.get("return.unknownPairs"));
    }

    @Test
    void splitHalvesRejoin() throws IOException {
        Map<String, Double> metrics =
                CapacityExperiments.run(20, 50, 0, ALL_COMPONENTS, FleetCondition.HALVES, 6, 20);
        assertEquals(
                2 * 10 * 10, metrics.get("death.knownPairs") + metrics.get("death.overtakenPairs"));
        assertEquals(metrics.get("death.knownPairs"), metrics.get("return.knownPairs"));
        assertEquals(0, metrics.get("return.unknownPairs"));
    }

    @Test
    void balancersKnowRemoteRates() throws IOException {
        Map<String, Double> metrics =
                CapacityExperiments.run(20, 20, 40, ALL_COMPONENTS, FleetCondition.QUIET, 8, 8);
        assertEquals(0, metrics.get("othersRate.relativeError.bias"), 0.03);
        assertTrue(metrics.get("othersRate.relativeError.worst") < 0.25, () -> metrics.toString());
        assertEquals(0, metrics.get("requests.unservedShare"), 0.001);
    }
}

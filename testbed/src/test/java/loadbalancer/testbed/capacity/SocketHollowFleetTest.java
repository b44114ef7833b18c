package loadbalancer.testbed.capacity;

import static org.awaitility.Awaitility.await;
import static org.junit.jupiter.api.Assertions.assertEquals;

import java.io.IOException;
import java.time.Duration;
import java.util.EnumSet;
import org.junit.jupiter.api.Test;

/** Tests that hollow balancers on sockets detect the death and the return of another one. */
class SocketHollowFleetTest {
    private static final int BALANCER_COUNT = 5;
    private static final Duration TIMEOUT = Duration.ofSeconds(20);

    @Test
    void balancersDetectDeathAndReturn() throws IOException {
        FleetSpec fleetSpec =
                new FleetSpec(BALANCER_COUNT, 10, 2, 1, 0, EnumSet.allOf(BalancerComponent.class));
        try (SocketHollowFleet fleet = new SocketHollowFleet(fleetSpec, 1, 1, 0)) {
            for (int balancer = 0; balancer < BALANCER_COUNT; balancer++) {
                fleet.start(balancer);
            }
            await().atMost(TIMEOUT)
                    .until(
                            () ->
                                    fleet.counters().stream()
                                            .allMatch(
                                                    counters ->
                                                            counters.receivedDatagrams(
                                                                                    CostCategory
                                                                                            .GOSSIP)
                                                                            >= BALANCER_COUNT - 1
                                                                    && counters.receivedDatagrams(
                                                                                    CostCategory
                                                                                            .MEMBERSHIP)
                                                                            > 2
                                                                    && counters.receivedDatagrams(
                                                                                    CostCategory
                                                                                            .LEASES)
                                                                            > 0));
            fleet.kill(4);
            await().atMost(TIMEOUT).until(() -> fleet.detections().undetectedDeaths() == 0);
            assertEquals(
                    BALANCER_COUNT - 1, fleet.detections().deathDetectionMicros().getTotalCount());
            fleet.start(4);
            await().atMost(TIMEOUT).until(() -> fleet.detections().undetectedReturns() == 0);
            assertEquals(
                    BALANCER_COUNT - 1, fleet.detections().returnDetectionMicros().getTotalCount());
        }
    }
}

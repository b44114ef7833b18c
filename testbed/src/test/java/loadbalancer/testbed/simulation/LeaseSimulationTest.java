package loadbalancer.testbed.simulation;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import loadbalancer.lease.LeaseTiming;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

class LeaseSimulationTest {
    /**
     * Covers loss of up to a tenth of the datagrams, and promises that end with a voter's process.
     */
    @ParameterizedTest
    @CsvSource({"10, 0, true, 1", "10, 0.1, false, 2", "60, 0.05, true, 3"})
    void leasesMoveWithinTwoLeaseDurationsAndNeverOverlap(
            int members, double lossFraction, boolean durable, long seed) {
        LeaseSimulation fleet =
                new LeaseSimulation(members, lossFraction, durable, LeaseTiming.DEFAULT, seed);
        fleet.runFor(10_000_000);
        assertEquals(LeaseTiming.DEFAULT.slotCount(), fleet.heldSlots());
        for (int i = 0; i < 6; i++) {
            int member = fleet.memberWithMostSlots();
            fleet.endProcess(member, false);
            fleet.runFor(6_000_000);
            fleet.restart(member);
            fleet.runFor(6_000_000);
        }
        assertEquals(List.of(), fleet.doubleHoldings());
        assertTrue(
                fleet.transferTimes().getTotalCount() >= 6,
                fleet.transferTimes().getTotalCount() + " transfers");
        assertTrue(
                fleet.transferTimes().getMaxValue() <= 2 * LeaseTiming.DEFAULT.leaseMicros(),
                fleet.transferTimes().getMaxValue() + " µs");
    }

    @Test
    void leaseTrafficIsIndependentOfFleetSize() {
        double smallFleet = bytesPerSecond(20);
        double largeFleet = bytesPerSecond(200);
        assertTrue(
                largeFleet < 1.5 * smallFleet && smallFleet > 0,
                smallFleet + " and " + largeFleet + " bytes per second");
    }

    /** Returns the bytes per second that all members together send once all leases are held. */
    private static double bytesPerSecond(int memberCount) {
        LeaseSimulation fleet = new LeaseSimulation(memberCount, 0, true, LeaseTiming.DEFAULT, 1);
        fleet.runFor(8_000_000);
        long bytesBefore = fleet.bytesSent();
        fleet.runFor(5_000_000);
        return (fleet.bytesSent() - bytesBefore) / 5.0;
    }
}

package loadbalancer.testbed.invariant;

import static loadbalancer.testbed.invariant.EndedRun.SECOND_MICROS;
import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.List;
import org.junit.jupiter.api.Test;

/** Tests the checks of the order of epochs and of idle leases. */
class LeaseEpochOrderInvariantTest {
    private static String actionLine(int epoch, long atMicros) {
        return "load-balancer: lease used: key=record epoch=" + epoch + " at_micros=" + atMicros;
    }

    @Test
    void actionsLoggedByEarlierVersionsAreRead() {
        LeaseEpochOrderInvariant leaseOrder = new LeaseEpochOrderInvariant(3);
        leaseOrder.onLogLine(0, SECOND_MICROS, actionLine(6, SECOND_MICROS));
        leaseOrder.onLogLine(
                1, 2 * SECOND_MICROS, "duties: acts for record, epoch 5, at " + 2 * SECOND_MICROS);
        assertEquals(
                List.of("n1 acted for record under epoch 5 after n0 under 6"),
                EndedRun.of(leaseOrder).violations());
    }

    @Test
    void overlappingLeaseHoldersAreFound() {
        LeaseEpochOrderInvariant leaseOrder = new LeaseEpochOrderInvariant(3);
        leaseOrder.onLogLine(0, 9 * SECOND_MICROS, actionLine(5, 1 * SECOND_MICROS));
        leaseOrder.onLogLine(1, 4 * SECOND_MICROS, actionLine(6, 3 * SECOND_MICROS));
        // The line is read late, but the action happened before that of epoch 6.
        leaseOrder.onLogLine(0, 9 * SECOND_MICROS, actionLine(5, 2 * SECOND_MICROS));
        assertEquals(List.of(), EndedRun.of(leaseOrder).violations());
        assertEquals(1.0, EndedRun.of(leaseOrder).metrics().get("duties_passed_on"));
        leaseOrder.onLogLine(0, 9 * SECOND_MICROS, actionLine(5, 4 * SECOND_MICROS));
        assertEquals(
                List.of("n0 acted for record under epoch 5 after n1 under 6"),
                EndedRun.of(leaseOrder).violations());
        LeaseEpochOrderInvariant sameEpoch = new LeaseEpochOrderInvariant(3);
        sameEpoch.onLogLine(0, 1 * SECOND_MICROS, actionLine(5, 1 * SECOND_MICROS));
        sameEpoch.onLogLine(1, 2 * SECOND_MICROS, actionLine(5, 2 * SECOND_MICROS));
        assertEquals(
                List.of("n1 acted for record under epoch 5 after n0 under 5"),
                EndedRun.of(sameEpoch).violations());
    }

    @Test
    void idleOrUnheldLeaseIsFound() {
        LeaseEpochOrderInvariant leaseOrder = new LeaseEpochOrderInvariant(3);
        assertEquals(List.of("no holder acted"), EndedRun.of(leaseOrder).violations());
        leaseOrder.onLogLine(0, 1 * SECOND_MICROS, actionLine(5, 1 * SECOND_MICROS));
        leaseOrder.onLogLine(0, 5 * SECOND_MICROS, actionLine(5, 5 * SECOND_MICROS));
        assertEquals(
                List.of("no holder acted for 4.0 s, 3.0 are allowed"),
                EndedRun.of(leaseOrder).violations());
    }
}

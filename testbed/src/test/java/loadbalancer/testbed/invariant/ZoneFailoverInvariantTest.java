package loadbalancer.testbed.invariant;

import static loadbalancer.testbed.invariant.EndedRun.SECOND_MICROS;
import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.List;
import org.junit.jupiter.api.Test;

/** Tests the checks of failover times and of failovers from zones that were not lost. */
class ZoneFailoverInvariantTest {
    private static void logFailover(
            ZoneFailoverInvariant failover, int balancer, long atMicros, int zone) {
        failover.onLogLine(
                balancer,
                atMicros,
                "load-balancer: zone status changed: zone="
                        + zone
                        + " status=FAILED_OVER unresponsive=6 responding=0 endpoints=20");
    }

    @Test
    void zoneFailoversLoggedByEarlierVersionsAreRead() {
        ZoneFailoverInvariant failover =
                new ZoneFailoverInvariant(2, 2, 5 * SECOND_MICROS, SECOND_MICROS);
        failover.onLogLine(
                0,
                6 * SECOND_MICROS,
                "load-balancer: zone 2 is FAILED_OVER: 6 of 20 servers out, 0 answering");
        failover.onLogLine(1, 6 * SECOND_MICROS, "zone 2 is LEFT: 6 of 20 servers out");
        EndedRun run = EndedRun.of(failover);
        assertEquals(List.of(), run.violations());
        assertEquals(2.0, run.metrics().get("zone_left_by"));
    }

    @Test
    void otherZoneStatusesAreNoFailover() {
        ZoneFailoverInvariant failover =
                new ZoneFailoverInvariant(1, 2, 5 * SECOND_MICROS, SECOND_MICROS);
        for (String status : List.of("SUSPECT", "RECOVERING", "HEALTHY")) {
            failover.onLogLine(
                    0,
                    6 * SECOND_MICROS,
                    "zone status changed: zone=1 status=" + status + " unresponsive=6");
        }
        logFailover(failover, 0, 6 * SECOND_MICROS, 2);
        assertEquals(List.of(), EndedRun.of(failover).violations());
    }

    @Test
    void lateZoneFailoverIsFound() {
        ZoneFailoverInvariant failover =
                new ZoneFailoverInvariant(10, 2, 5 * SECOND_MICROS, SECOND_MICROS);
        for (int balancer = 0; balancer < 9; balancer++) {
            logFailover(failover, balancer, 6 * SECOND_MICROS, 2);
        }
        // A repeated failover does not count: the first one was in time.
        logFailover(failover, 3, 9 * SECOND_MICROS, 2);
        assertEquals(List.of(), EndedRun.of(failover).violations());
        assertEquals(1.0, EndedRun.of(failover).metrics().get("zone_left_most_s"));
        ZoneFailoverInvariant lateFailover =
                new ZoneFailoverInvariant(10, 2, 5 * SECOND_MICROS, SECOND_MICROS);
        for (int balancer = 0; balancer < 9; balancer++) {
            logFailover(lateFailover, balancer, 6 * SECOND_MICROS + (balancer == 8 ? 1 : 0), 2);
        }
        assertEquals(
                List.of("8 of 10 balancers left zone 2 within 1.0 s"),
                EndedRun.of(lateFailover).violations());
    }

    @Test
    void needlessZoneFailoverIsFound() {
        ZoneFailoverInvariant failover =
                new ZoneFailoverInvariant(1, 2, 5 * SECOND_MICROS, SECOND_MICROS);
        logFailover(failover, 0, 6 * SECOND_MICROS, 2);
        logFailover(failover, 0, 7 * SECOND_MICROS, 1);
        assertEquals(
                List.of("n0 left zone 1, which was not lost"), EndedRun.of(failover).violations());
        ZoneFailoverInvariant earlyFailover =
                new ZoneFailoverInvariant(1, 2, 5 * SECOND_MICROS, SECOND_MICROS);
        logFailover(earlyFailover, 0, 4 * SECOND_MICROS, 2);
        logFailover(earlyFailover, 0, 6 * SECOND_MICROS, 2);
        assertEquals(
                List.of("n0 left zone 2, which was not lost"),
                EndedRun.of(earlyFailover).violations());
    }
}

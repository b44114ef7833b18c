package loadbalancer.testbed.statistics;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.List;
import loadbalancer.testbed.invariant.ClientRequest;
import loadbalancer.testbed.scenario.ScenarioReader;
import loadbalancer.testbed.workload.WorkloadPlan;
import org.junit.jupiter.api.Test;

/** Tests counts by window, their sums between two times, and the time until service recovers. */
class ServiceWindowsTest {
    private final ServiceWindows serviceWindows =
            new ServiceWindows(
                    ScenarioReader.parse(
                            "s.toml",
                            """
        length_s = 20
        [[class]]
        name = "x"
        aim_ms = 300
        late_share = 0.5
        """,
                            false));

    private void recordRequest(
            long arrivalMicros, ClientRequest.Outcome outcome, long latencyMicros) {
        ClientRequest clientRequest =
                new ClientRequest(new WorkloadPlan.Arrival(arrivalMicros, 0, 0, 0, 1000, false));
        clientRequest.end(outcome, arrivalMicros + latencyMicros);
        serviceWindows.record(clientRequest);
    }

    private void recordRequests(long fromMicros, long toMicros, ClientRequest.Outcome outcome) {
        for (long arrivalMicros = fromMicros; arrivalMicros < toMicros; arrivalMicros += 20_000) {
            recordRequest(arrivalMicros, outcome, 10_000);
        }
    }

    @Test
    void lateResponseEarnsPartialWeight() {
        recordRequest(0, ClientRequest.Outcome.SERVED, 300_000);
        recordRequest(0, ClientRequest.Outcome.SERVED, 301_000);
        recordRequest(50_000, ClientRequest.Outcome.REJECTED, 1_000);
        recordRequest(150_000, ClientRequest.Outcome.FAILED, 1_000);
        ServiceWindows.Window firstWindow = serviceWindows.windows().get(0);
        assertEquals(
                List.of(3, 1, 1, 1, 0),
                List.of(
                        firstWindow.requested(),
                        firstWindow.served(),
                        firstWindow.late(),
                        firstWindow.rejected(),
                        firstWindow.failed()));
        assertEquals(1.5 / 4, serviceWindows.weightedService(), 1e-9);
        assertEquals(2, serviceWindows.unservedCount(0, 1_000_000));
        assertEquals(1, serviceWindows.unservedCount(100_000, 1_000_000));
    }

    @Test
    void serviceRecoversAfterOneGoodSecond() {
        recordRequests(0, 8_000_000, ClientRequest.Outcome.SERVED);
        recordRequests(8_000_000, 10_000_000, ClientRequest.Outcome.FAILED);
        // Half a second of good service does not count as recovery.
        recordRequests(10_000_000, 10_500_000, ClientRequest.Outcome.SERVED);
        recordRequests(10_500_000, 11_000_000, ClientRequest.Outcome.FAILED);
        recordRequests(11_000_000, 20_000_000, ClientRequest.Outcome.SERVED);
        assertEquals(3_000_000, serviceWindows.recoveryMicrosAfter(8_000_000));
        assertEquals(0, serviceWindows.recoveryMicrosAfter(15_000_000));
    }

    @Test
    void unrecoveredServiceIsReported() {
        recordRequests(0, 8_000_000, ClientRequest.Outcome.SERVED);
        recordRequests(8_000_000, 20_000_000, ClientRequest.Outcome.REJECTED);
        assertEquals(-1, serviceWindows.recoveryMicrosAfter(8_000_000));
    }
}

package loadbalancer.testbed.statistics;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.TreeMap;
import java.util.stream.IntStream;
import loadbalancer.testbed.invariant.ClientRequest;
import loadbalancer.testbed.report.HtmlReport;
import loadbalancer.testbed.scenario.ScenarioReader;
import loadbalancer.testbed.workload.WorkloadPlan;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

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
        clientRequest.outcome(outcome, arrivalMicros + latencyMicros);
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
        // Half a second is not enough
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

    @Test
    void differencesWithinNoiseAreIgnored() {
        List<Double> noise =
                IntStream.range(0, 20).mapToObj(i -> i % 2 == 0 ? 0.1 : -0.09).toList();
        assertFalse(BootstrapInterval.of(noise, 1).isSignificant());
        assertTrue(
                BootstrapInterval.of(noise.stream().map(difference -> difference + 0.2).toList(), 9)
                        .isSignificant());
        assertEquals(BootstrapInterval.of(noise, 1), BootstrapInterval.of(noise, 1));
    }

    @Test
    void multipleComparisonsWidenTheInterval() {
        List<Double> differences = List.of(0.3, 0.2, -0.1, 0.4, 0.25, -0.05, 0.1, 0.3);
        assertTrue(BootstrapInterval.of(differences, 1).isSignificant());
        assertFalse(BootstrapInterval.of(differences, 200).isSignificant());
    }

    @Test
    void reportIsOneSelfContainedPage(@TempDir Path directory) throws IOException {
        RunResult result =
                new RunResult(
                        "a <scenario>",
                        1,
                        "p",
                        false,
                        "too busy",
                        2,
                        1,
                        List.of("one answer broken"),
                        new TreeMap<>(java.util.Map.of("service", 0.5)),
                        java.util.Map.of(),
                        List.of(new RunResult.TimeSlice(0, 2, 1, 0, 0, 1)),
                        List.of(new RunResult.FaultImpact("kill balancers", 0.5, -1, -1, 7)),
                        List.of(
                                new RunResult.BalancerUsage(
                                        0,
                                        "a",
                                        List.of(new double[] {-1, 1}),
                                        1,
                                        80,
                                        100,
                                        5,
                                        50,
                                        1)));
        result.write(directory);
        String page = Files.readString(new HtmlReport(RunResult.read(directory)).write(directory));
        assertTrue(
                page.contains("a &lt;scenario&gt;")
                        && page.contains("counts for nothing: too busy"));
        assertTrue(page.contains("one answer broken") && page.contains("not back"));
        assertTrue(page.contains("data:image/png;base64,iVBOR"), "the plot is in the page");
        assertFalse(page.contains("http"), "nothing comes from a network");
    }
}

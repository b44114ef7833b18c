package loadbalancer.routing;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.List;
import loadbalancer.routing.admission.LoadShedder;
import loadbalancer.routing.endpoint.EndpointFixtures;
import loadbalancer.routing.endpoint.EndpointState;
import org.junit.jupiter.api.Test;

class PolicyLogTest {
    private static final long SECOND_MICROS = 1_000_000;

    private final RoutingEngineHarness harness =
            RoutingEngineHarness.withEndpoints(1, 1, RoutingEngineHarness.IDEMPOTENT);
    private final PolicyLog log = new PolicyLog();
    private final EndpointState endpoint = EndpointFixtures.endpoint("10.0.0.2:80", 0);

    private List<String> loggedLines() {
        return harness.logLines.stream()
                .filter(line -> line.contains(" remark "))
                .map(line -> line.substring(line.indexOf(" remark ") + " remark ".length()))
                .toList();
    }

    @Test
    void eachEventIsLoggedWithItsFields() {
        LoadShedder loadShedder =
                new LoadShedder(RoutingEngineHarness.settings(RoutingEngineHarness.IDEMPOTENT));
        long now = harness.now;
        loadShedder.recordSample(0.25, now);
        log.loadShed(loadShedder, now, harness);
        log.endpointEjected(endpoint, 1_000_999, now += SECOND_MICROS, harness);
        log.classEjected(endpoint, 3, 2_000_000, now += SECOND_MICROS, harness);
        log.endpointRecovered(endpoint, now += SECOND_MICROS, harness);
        log.classRecovered(endpoint, 3, now += SECOND_MICROS, harness);
        log.discoveryFailed(4, now += SECOND_MICROS, harness);
        log.gossipMessageIgnored(12, now += SECOND_MICROS, harness);
        log.write("another line", now + SECOND_MICROS, harness);
        assertEquals(
                List.of(
                        "shedding load: level=1.00 overload=0.25",
                        "endpoint ejected: endpoint=10.0.0.2:80 duration_ms=1000 reason=failures",
                        "endpoint ejected: endpoint=10.0.0.2:80 duration_ms=2000 reason=failures"
                                + " class=3",
                        "endpoint recovered: endpoint=10.0.0.2:80",
                        "endpoint recovered: endpoint=10.0.0.2:80 class=3",
                        "discovery failed: consecutive_failures=4",
                        "gossip message ignored: from=12 reason=undecodable",
                        "another line"),
                loggedLines());
    }

    @Test
    void oneLinePerSecondIsLoggedOverAllKinds() {
        long now = harness.now;
        log.endpointRecovered(endpoint, now, harness);
        log.discoveryFailed(1, now, harness);
        log.write("late", now + SECOND_MICROS - 1, harness);
        log.gossipMessageIgnored(1, now + SECOND_MICROS, harness);
        assertEquals(
                List.of(
                        "endpoint recovered: endpoint=10.0.0.2:80",
                        "gossip message ignored: from=1 reason=undecodable"),
                loggedLines());
    }
}

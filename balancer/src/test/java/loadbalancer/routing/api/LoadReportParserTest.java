package loadbalancer.routing.api;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.NullSource;
import org.junit.jupiter.params.provider.ValueSource;

class LoadReportParserTest {
    @Test
    void allHeaderFieldsAreParsed() {
        assertEquals(
                new LoadReport(7, 2, 0.5, 14_500, 120, 0.1),
                LoadReportParser.parse(
                        "TEXT inflight=7, queue=2, util=0.5, latency_ms=14.5, qps=120, eps=0.1"));
    }

    @Test
    void allSimulatorFieldsAreParsed() {
        assertEquals(
                new LoadReport(7, 2, 0.5, 14_500, 120, 0.1),
                LoadReportParser.parse(
                        "outstanding=7,backlog=2,utilization=0.5,recent_ms=14.5,throughput=120,"
                                + "errors_per_s=0.1"));
    }

    @Test
    void unparsableFieldsAreIgnored() {
        double unknown = Double.NaN;
        assertEquals(
                new LoadReport(7, unknown, unknown, unknown, unknown, unknown),
                LoadReportParser.parse("TEXT inflight=7, queue=many, flavour=3, util"));
    }

    @Test
    void repeatedFieldKeepsItsLastNumber() {
        assertEquals(3, LoadReportParser.parse("inflight=2, inflight=3, inflight=x").inFlight());
    }

    @ParameterizedTest
    @NullSource
    @ValueSource(strings = {"", "TEXT", "TEXT flavour=3", "inflight=many"})
    void reportWithoutKnownFieldIsNull(String text) {
        assertNull(LoadReportParser.parse(text));
    }
}

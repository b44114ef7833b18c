package loadbalancer.testbed.invariant;

import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import loadbalancer.testbed.scenario.ScenarioReader;

/** Ends a run of 20 s for an invariant that has been notified of the run's events. */
final class EndedRun {
    static final long SECOND_MICROS = 1_000_000;

    private static final String SCENARIO =
            """
            length_s = 20
            [[class]]
            name = "x"
            """;

    private final RequestInvariants requestInvariants =
            new RequestInvariants(ScenarioReader.parse("s.toml", SCENARIO, false), violation -> {});
    private final Map<String, Double> metrics = new TreeMap<>();

    private EndedRun(RunInvariant invariant) {
        invariant.onRunEnd(20 * SECOND_MICROS, requestInvariants, metrics);
    }

    /** Ends the run; may be called again for the same invariant after more events. */
    static EndedRun of(RunInvariant invariant) {
        return new EndedRun(invariant);
    }

    /** Returns the descriptions of the violations that the invariant found. */
    List<String> violations() {
        return requestInvariants.violations().stream().map(Violation::description).toList();
    }

    /** Returns the metrics that the invariant measured, by name. */
    Map<String, Double> metrics() {
        return metrics;
    }
}

package loadbalancer.testbed.slowstart;

import static org.junit.jupiter.api.Assertions.assertTrue;

import loadbalancer.routing.RoutingEngine;
import loadbalancer.testbed.simulation.BaselinePolicy;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** The load of upstreams in slow start, by number of balancers and loss between them. */
class SlowStartSimulationTest {
    // Fraction of the budget N that corresponds to a third of the upstream's capacity
    private static final double MIN_BUDGET_USAGE = 1.0 / 9;

    private static SlowStartSimulation simulation(
            int balancerCount, double load, double lossFraction) {
        return new SlowStartSimulation(
                new SlowStartSimulation.Parameters(balancerCount, 4, load, lossFraction),
                RoutingEngine::new,
                1);
    }

    @Test
    void overloadByRandomRoutingIsDetected() {
        SlowStartSimulation.Result burst =
                new SlowStartSimulation(
                                new SlowStartSimulation.Parameters(20, 12, 0.9, 0),
                                (settings, seed) ->
                                        new BaselinePolicy(
                                                BaselinePolicy.Algorithm.RANDOM,
                                                0.5,
                                                settings,
                                                seed),
                                1)
                        .runBurst(5, false);
        assertTrue(burst.isOverloaded(), burst.toString());
    }

    @ParameterizedTest
    @CsvSource({"30, 0, false", "100, 0, false", "100, 0, true", "100, 1, false"})
    void burstAfterIdleStaysWithinTheBound(
            int balancerCount, double lossFraction, boolean withJoiners) {
        SlowStartSimulation.Result burst =
                simulation(balancerCount, 0.9, lossFraction).runBurst(18, withJoiners);
        assertTrue(burst.requests() > 0 && !burst.isOverloaded(), burst.toString());
    }

    @ParameterizedTest
    @CsvSource("100")
    void steadyTrafficUsesTheBudget(int balancerCount) {
        SlowStartSimulation.Result steady = simulation(balancerCount, 2, 0).runSteady(12);
        assertTrue(
                steady.usedBudgetFraction() >= MIN_BUDGET_USAGE && !steady.isOverloaded(),
                steady.toString());
    }
}

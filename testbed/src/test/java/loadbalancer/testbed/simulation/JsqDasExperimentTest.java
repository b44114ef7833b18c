package loadbalancer.testbed.simulation;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import loadbalancer.testbed.simulation.JsqDasExperiment.DispatchPolicy;
import org.junit.jupiter.api.Test;

class JsqDasExperimentTest {
    private static JsqDasExperiment.ExperimentResult run(double load, DispatchPolicy policy) {
        return new JsqDasExperiment(100, load, 60_000, 5).run(policy);
    }

    /** At a low load no job waits in a queue, so the response time equals the service time. */
    @Test
    void idleMeanEqualsServiceTime() {
        assertEquals(
                1 / 1.95 * 0.3 + 1 / 0.6 * 0.7,
                new JsqDasExperiment(1000, 0.01, 30_000, 5)
                        .run(DispatchPolicy.JSQ_D)
                        .meanResponseTime(),
                0.05);
    }

    @Test
    void jsqDasBeatsSampledJsqAtHighLoad() {
        JsqDasExperiment.ExperimentResult jsqDas = run(0.9, DispatchPolicy.JSQ_DAS);
        assertTrue(jsqDas.foundFastFraction() > 0.95, jsqDas.toString());
        assertTrue(
                jsqDas.meanResponseTime() < run(0.9, DispatchPolicy.JSQ_D).meanResponseTime(),
                jsqDas.toString());
    }

    @Test
    void policiesWithKnownRatesBeatSampledJsqAtLowLoad() {
        double jsqMean = run(0.3, DispatchPolicy.JSQ_D).meanResponseTime();
        assertTrue(run(0.3, DispatchPolicy.SED_D).meanResponseTime() < 0.85 * jsqMean);
        assertTrue(run(0.3, DispatchPolicy.JSQ_DF_DS).meanResponseTime() < 0.7 * jsqMean);
    }
}

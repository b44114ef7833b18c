package loadbalancer.testbed;

import java.util.List;
import java.util.Locale;
import java.util.concurrent.Callable;
import loadbalancer.testbed.simulation.JsqDasExperiment;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;

/** Plays the paper's main result again. */
@Command(
        name = "paper",
        mixinStandardHelpOptions = true,
        description =
                "Mean response time by load, of the paper's policies and of the module as one dispatcher.")
final class PaperCommand implements Callable<Integer> {
    @Option(
            names = "--servers",
            paramLabel = "K",
            defaultValue = "1000",
            description = "Default: ${DEFAULT-VALUE}.")
    private int serverCount;

    @Option(
            names = "--jobs",
            paramLabel = "N",
            defaultValue = "300000",
            description = "Default: ${DEFAULT-VALUE}.")
    private int jobCount;

    @Option(
            names = "--loads",
            split = ",",
            defaultValue = "0.2,0.4,0.6,0.8,0.9,0.95",
            description = "λ of the paper (default: ${DEFAULT-VALUE}).")
    private List<Double> loads;

    @Option(
            names = "--seed",
            paramLabel = "N",
            defaultValue = "1",
            description = "Default: ${DEFAULT-VALUE}.")
    private long seed;

    @Override
    public Integer call() {
        for (double load : loads) {
            StringBuilder line = new StringBuilder(String.format(Locale.ROOT, "load %.2f", load));
            for (JsqDasExperiment.DispatchPolicy policy :
                    JsqDasExperiment.DispatchPolicy.values()) {
                JsqDasExperiment.ExperimentResult outcome =
                        new JsqDasExperiment(serverCount, load, jobCount, seed).run(policy);
                line.append(
                        String.format(
                                Locale.ROOT,
                                "  %s %.3f",
                                policy.name().toLowerCase(Locale.ROOT),
                                outcome.meanResponseTime()));
                if (policy == JsqDasExperiment.DispatchPolicy.JSQ_DAS) {
                    line.append(
                            String.format(
                                    Locale.ROOT,
                                    " (%.1f%% found)",
                                    100 * outcome.foundFastFraction()));
                }
            }
            System.out.println(line);
        }
        return TestbedCommand.EXIT_OK;
    }
}

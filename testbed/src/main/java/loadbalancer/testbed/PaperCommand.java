package loadbalancer.testbed;

import java.util.List;
import java.util.Locale;
import java.util.concurrent.Callable;
import loadbalancer.testbed.simulation.JsqDasExperiment;
import loadbalancer.testbed.simulation.JsqDasExperiment.DispatchPolicy;
import loadbalancer.testbed.simulation.JsqDasExperiment.ExperimentResult;
import picocli.CommandLine.Command;
import picocli.CommandLine.Mixin;
import picocli.CommandLine.Option;

/** Reproduces the main result of the JSQ-DAS paper: the mean response time by load. */
@Command(
        name = "paper",
        mixinStandardHelpOptions = true,
        description =
                "Reproduces the paper's mean response time by load, for its policies and for the"
                        + " routing policy as a single dispatcher.",
        exitCodeListHeading = ExitCodes.HEADING,
        exitCodeList = {ExitCodes.OK_HELP, ExitCodes.USAGE_HELP})
final class PaperCommand implements Callable<Integer> {
    @Option(
            names = "--servers",
            paramLabel = "K",
            defaultValue = "1000",
            description = "The number of servers (default: ${DEFAULT-VALUE}).")
    private int serverCount;

    @Option(
            names = "--jobs",
            paramLabel = "N",
            defaultValue = "300000",
            description = "The number of jobs of each simulation (default: ${DEFAULT-VALUE}).")
    private int jobCount;

    @Option(
            names = "--loads",
            split = ",",
            defaultValue = "0.2,0.4,0.6,0.8,0.9,0.95",
            description = "The loads, λ in the paper (default: ${DEFAULT-VALUE}).")
    private List<Double> loads;

    @Mixin private SeedOption seedOption;

    @Override
    public Integer call() {
        for (double load : loads) {
            System.out.println(measure(load));
        }
        return ExitCodes.OK;
    }

    private String measure(double load) {
        StringBuilder line = new StringBuilder(String.format(Locale.ROOT, "load %.2f", load));
        for (DispatchPolicy policy : DispatchPolicy.values()) {
            JsqDasExperiment experiment =
                    new JsqDasExperiment(serverCount, load, jobCount, seedOption.seed);
            line.append(format(policy, experiment.run(policy)));
        }
        return line.toString();
    }

    private static String format(DispatchPolicy policy, ExperimentResult result) {
        String name = policy.name().toLowerCase(Locale.ROOT);
        String text = String.format(Locale.ROOT, "  %s %.3f", name, result.meanResponseTime());
        if (policy != DispatchPolicy.JSQ_DAS) {
            return text;
        }
        return text
                + String.format(Locale.ROOT, " (%.1f%% found)", 100 * result.foundFastFraction());
    }
}

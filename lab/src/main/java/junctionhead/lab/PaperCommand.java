package junctionhead.lab;

import java.util.List;
import java.util.Locale;
import java.util.concurrent.Callable;
import junctionhead.lab.sim.PaperExperiment;
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
    private int servers;

    @Option(
            names = "--jobs",
            paramLabel = "N",
            defaultValue = "300000",
            description = "Default: ${DEFAULT-VALUE}.")
    private int jobs;

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
            for (PaperExperiment.Dispatching policy : PaperExperiment.Dispatching.values()) {
                PaperExperiment.Outcome outcome =
                        new PaperExperiment(servers, load, jobs, seed).play(policy);
                line.append(
                        String.format(
                                Locale.ROOT,
                                "  %s %.3f",
                                policy.name().toLowerCase(Locale.ROOT),
                                outcome.meanResponse()));
                if (policy == PaperExperiment.Dispatching.JSQ_DAS) {
                    line.append(
                            String.format(
                                    Locale.ROOT, " (%.1f%% found)", 100 * outcome.fastFound()));
                }
            }
            System.out.println(line);
        }
        return Lab.OK;
    }
}

package junctionhead.lab;

import java.io.IOException;
import java.nio.file.Path;
import java.util.List;
import java.util.Map;
import java.util.concurrent.Callable;
import java.util.stream.LongStream;
import junctionhead.lab.cost.Cost;
import junctionhead.lab.cost.CostCase;
import junctionhead.lab.figures.Measured;
import junctionhead.lab.figures.Repeats;
import junctionhead.lab.fleet.Launch;
import picocli.CommandLine.Command;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Option;
import picocli.CommandLine.ParameterException;
import picocli.CommandLine.Parameters;
import picocli.CommandLine.Spec;

/** Measures what one real process costs at the sizes asked for. */
@Command(
        name = "cost",
        mixinStandardHelpOptions = true,
        description =
                "One real balancer: CPU at rest and by change of the list, memory, time until ready. "
                        + "Exit: 0, 2 wrong use. Sizes whose process did not last are in the figures as such.")
final class CostCommand implements Callable<Integer> {
    @Spec private CommandSpec spec;

    @Parameters(
            paramLabel = "SIZE",
            arity = "1..*",
            description = "As servers=14000,tenants=38000,balancers=1600,rate=62.")
    private List<String> sizes;

    @Option(
            names = "--repeats",
            paramLabel = "N",
            defaultValue = "3",
            description = "Default: ${DEFAULT-VALUE}.")
    private int repeats;

    @Option(
            names = "--seconds",
            paramLabel = "S",
            defaultValue = "8",
            description = "Of rest that are watched (default: ${DEFAULT-VALUE}).")
    private int seconds;

    @Option(
            names = "--environment",
            paramLabel = "NAME=VALUE",
            description =
                    "Of the process, as TANSYFERRY_STATE_DIR=own: then a folder is made for it.")
    private Map<String, String> environment = Map.of();

    @Option(
            names = "--build",
            paramLabel = "JAR",
            description = "The balancer (default: balancer/target/junctionhead.jar).")
    private Path jar;

    @Option(
            names = "--json",
            paramLabel = "FILE",
            description = "Where the figures are written, too.")
    private Path json;

    @Option(
            names = "--out",
            paramLabel = "DIR",
            description = "Where logs go (default: a new folder below logs/).")
    private Path out;

    @Override
    public Integer call() throws IOException, InterruptedException {
        List<CostCase> cases;
        try {
            cases = sizes.stream().map(CostCase::parse).toList();
        } catch (IllegalArgumentException e) {
            throw new ParameterException(spec.commandLine(), e.getMessage(), e);
        }
        Launch launch = Lab.launch(jar);
        Repeats figures = new Repeats();
        Cost cost =
                new Cost(
                        launch,
                        Lab.folder(out, "cost"),
                        seconds * 1000,
                        environment,
                        figures,
                        System.out::println);
        for (int i = 1; i <= repeats; i++) {
            for (CostCase size : cases) {
                cost.measure(size, i);
                if (json != null) {
                    new Measured(
                                    Lab.line(spec),
                                    LongStream.rangeClosed(1, i).boxed().toList(),
                                    figures.figures())
                            .write(json);
                }
            }
        }
        figures.figures().forEach((key, value) -> System.out.println(key + " " + value));
        return Lab.OK;
    }
}

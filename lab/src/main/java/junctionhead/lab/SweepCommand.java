package junctionhead.lab;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Locale;
import java.util.concurrent.Callable;
import java.util.regex.Pattern;
import junctionhead.Balance;
import junctionhead.lab.fleet.Run;
import junctionhead.lab.measure.Result;
import junctionhead.lab.plan.Plan;
import junctionhead.lab.scenario.BadScenario;
import junctionhead.lab.scenario.Scenario;
import junctionhead.lab.scenario.ScenarioReader;
import junctionhead.lab.sim.SimFleet;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;
import picocli.CommandLine.Parameters;

/** Plays a scenario once for each value of one field. */
@Command(
        name = "sweep",
        mixinStandardHelpOptions = true,
        description = "Plays a scenario once for each value of one of its fields. Exit as of run.")
final class SweepCommand implements Callable<Integer> {
    @Parameters(index = "0", paramLabel = "SCENARIO", description = "A scenario file (TOML).")
    private Path file;

    @Option(
            names = "--field",
            required = true,
            paramLabel = "TABLE.NAME",
            description = "A field that the file sets, such as load.rate.")
    private String field;

    @Option(
            names = "--values",
            required = true,
            split = ",",
            paramLabel = "V",
            description = "What it is to be.")
    private List<String> values;

    @Option(
            names = "--seed",
            paramLabel = "N",
            defaultValue = "1",
            description = "Draws arrivals and faults (default: ${DEFAULT-VALUE}).")
    private long seed;

    @Option(names = "--sim", description = "In simulated time.")
    private boolean simulated;

    @Option(names = "--build", paramLabel = "JAR", description = "The balancer to play.")
    private Path jar;

    @Option(names = "--out", paramLabel = "DIR", description = "Where logs and results go.")
    private Path out;

    @Override
    public Integer call() throws IOException, InterruptedException {
        String text;
        try {
            text = Files.readString(file);
        } catch (IOException e) {
            throw new BadScenario(file.toString(), "", "can't be read: " + e.getMessage());
        }
        Path folder = Lab.folder(out, "sweep");
        int worst = Lab.OK;
        for (String value : values) {
            Scenario scenario =
                    ScenarioReader.parse(
                            file + " with " + field + " = " + value, with(text, value), simulated);
            Plan plan = Plan.of(scenario, seed);
            Result result =
                    simulated
                            ? new SimFleet(plan, Balance::new, line -> {}).play()
                            : new Run(
                                            plan,
                                            Lab.launch(jar),
                                            Lab.folder(folder.resolve(value), ""),
                                            line -> {})
                                    .play();
            result.write(Lab.folder(folder.resolve(value), ""));
            worst = Math.max(worst, Lab.exit(result));
            System.out.printf(
                    Locale.ROOT,
                    "%s = %s: %s%s%n",
                    field,
                    value,
                    result.figures(),
                    result.broken() > 0
                            ? ", " + result.broken() + " rules broken"
                            : result.trusted() ? "" : ", not to be trusted");
        }
        System.out.println("results in " + folder);
        return worst;
    }

    // The field's first line in its table; what the file does not set can't be swept.
    private String with(String text, String value) {
        int dot = field.lastIndexOf('.');
        String table =
                dot < 0
                        ? ""
                        : "(?s)\\[" + Pattern.quote(field.substring(0, dot)) + "\\][^\\[]*?\\n";
        Pattern line =
                Pattern.compile(
                        "(?m)("
                                + table
                                + "^"
                                + Pattern.quote(field.substring(dot + 1))
                                + "\\s*=\\s*)[^\\n]*");
        var found = line.matcher(text);
        if (!found.find()) {
            throw new BadScenario(file.toString(), field, "the file does not set it");
        }
        return text.substring(0, found.end(1)) + value + text.substring(found.end());
    }
}

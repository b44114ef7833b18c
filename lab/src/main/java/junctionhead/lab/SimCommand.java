package junctionhead.lab;

import java.io.IOException;
import java.nio.file.Path;
import java.util.List;
import java.util.Locale;
import java.util.concurrent.Callable;
import junctionhead.Balance;
import junctionhead.lab.measure.Result;
import junctionhead.lab.plan.Plan;
import junctionhead.lab.scenario.Scenario;
import junctionhead.lab.scenario.ScenarioReader;
import junctionhead.lab.sim.Baseline;
import junctionhead.lab.sim.Cost;
import junctionhead.lab.sim.SimFleet;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;
import picocli.CommandLine.Parameters;

/** Plays one scenario in simulated time, with the module alone or with baselines beside it. */
@Command(
        name = "sim",
        mixinStandardHelpOptions = true,
        description =
                "Plays a scenario in simulated time, with the module alone. Exit: 0 every rule was kept "
                        + "by the "
                        + "module, 1 one was broken, 2 wrong use.")
final class SimCommand implements Callable<Integer> {
    // The paper's p, where nothing says more
    private static final double FAST = 0.5;

    @Parameters(paramLabel = "SCENARIO", description = "A scenario file (TOML).")
    private Path file;

    @Option(
            names = "--seed",
            paramLabel = "N",
            defaultValue = "1",
            description = "Draws arrivals and faults (default: ${DEFAULT-VALUE}).")
    private long seed;

    @Option(
            names = "--with-baselines",
            description =
                    "Also plays random choice, round robin, two choices, "
                            + "least queue and the paper's JSQ-DAS.")
    private boolean baselines;

    @Option(
            names = "--zones",
            description =
                    "The modules leave zones and meet them again as wholes; else as the "
                            + "scenario's environment says.")
    private boolean zones;

    @Option(names = "--remarks", description = "Prints the modules' log lines.")
    private boolean remarks;

    @Option(
            names = "--out",
            paramLabel = "DIR",
            description = "Where the result goes (default: nowhere).")
    private Path out;

    @Override
    public Integer call() throws IOException {
        Cost cost = new Cost();
        Scenario scenario = ScenarioReader.read(file, true);
        Plan plan = Plan.of(scenario, seed);
        boolean whole =
                zones || "on".equals(scenario.fleet().environment().get("TANSYFERRY_ZONES"));
        long began = System.nanoTime();
        SimFleet fleet =
                new SimFleet(
                        plan,
                        (settings, s) -> new Balance(settings, s, whole),
                        remarks ? System.out::println : line -> {});
        Result result = fleet.play();
        System.out.printf(
                Locale.ROOT,
                "%s: seed %d, %d requests, simulated in %.1f s%n",
                scenario.name(),
                seed,
                plan.arrivals().size(),
                (System.nanoTime() - began) / 1e9);
        Lab.print(result);
        System.out.println(cost.of(fleet.simulated(), fleet.played()));
        if (baselines) {
            row("module", result);
            List.of(Baseline.Rule.values())
                    .forEach(
                            rule ->
                                    row(
                                            rule.name().toLowerCase(Locale.ROOT),
                                            new SimFleet(
                                                            plan,
                                                            (settings, s) ->
                                                                    new Baseline(
                                                                            rule, FAST, settings,
                                                                            s),
                                                            line -> {})
                                                    .play()));
        }
        if (out != null) {
            result.write(Lab.folder(out, "sim"));
        }
        return Lab.exit(result);
    }

    private static void row(String name, Result r) {
        System.out.printf(
                Locale.ROOT,
                "%-12s service %.4f, served in time %.4f, unserved %.0f, rules " + "broken %d%n",
                name,
                r.figures().get("service"),
                r.figures().get("served_share"),
                r.figures().get("unserved"),
                r.broken());
    }
}

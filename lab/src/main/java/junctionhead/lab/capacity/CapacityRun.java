package junctionhead.lab.capacity;

import java.io.IOException;
import java.lang.management.ManagementFactory;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;

/** One call of the command, from its words to its file. */
public final class CapacityRun {
    // s, as for runs of real fleets
    private static final double LATE_MOST = 0.025;
    private static final String JAR = "lab/target/junctionhead-lab.jar";

    private CapacityRun() {}

    /**
     * Plays what is asked for; {@code progress} hears a line for each trial.
     *
     * @param words of the command line, after the command
     * @param out null: the figures go nowhere
     * @return false where the machine was too busy for real time: then the figures count for
     *     nothing
     * @throws IOException where the words are wrong or the file can't be written, in one line
     */
    public static boolean play(
            CapacityOptions options, List<String> words, Path out, Consumer<String> progress)
            throws IOException {
        Plan plan = Plan.of(options);
        if (out != null) {
            // Before it takes its time
            CapacityReport.prepare(out);
        }
        Capacity.Drives drives =
                options.sockets
                        ? (site, seed) -> new SocketDrive(site, seed, plan.threads(), plan.real())
                        : SimulatedDrive::new;
        Map<String, Double> figures = new Capacity(plan, drives, progress).play();
        if (out != null) {
            new CapacityReport(command(words), plan.seeds(), figures).write(out);
        }
        double late =
                figures.entrySet().stream()
                        .filter(f -> f.getKey().endsWith(SocketDrive.LATE))
                        .mapToDouble(Map.Entry::getValue)
                        .max()
                        .orElse(0);
        if (late > LATE_MOST) {
            progress.accept(
                    "this run counts for nothing: timers came up to "
                            + Math.round(1e3 * late)
                            + " ms late (99th percentile)");
        }
        return late <= LATE_MOST;
    }

    // With what changes its figures; folders of the machine are left out.
    private static String command(List<String> words) {
        List<String> all = new ArrayList<>(List.of("java"));
        ManagementFactory.getRuntimeMXBean().getInputArguments().stream()
                .filter(a -> a.startsWith("-X") || a.startsWith("-Dio.netty"))
                .forEach(all::add);
        all.addAll(List.of("-jar", JAR));
        if (words.isEmpty() || !words.get(0).equals("capacity")) {
            all.add("capacity");
        }
        all.addAll(words);
        return String.join(" ", all);
    }
}

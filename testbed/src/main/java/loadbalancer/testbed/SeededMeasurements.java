package loadbalancer.testbed;

import java.io.IOException;
import java.nio.file.Path;
import java.util.List;
import java.util.Set;
import java.util.TreeSet;
import loadbalancer.testbed.docfigures.MeasurementFile;
import loadbalancer.testbed.docfigures.RepeatedMeasurements;
import picocli.CommandLine.Model.CommandSpec;

/**
 * What a command measured, seed by seed, and the file that it goes to. The file is written after
 * each seed, so that a long call that is ended early leaves what it has. One thread.
 */
final class SeededMeasurements {
    private final RepeatedMeasurements measurements = new RepeatedMeasurements();
    private final Set<Long> completedSeeds = new TreeSet<>();

    void add(String key, double value) {
        measurements.add(key, value);
    }

    /**
     * Notes that a seed is done, and writes all that was measured so far.
     *
     * @param jsonFile the file, or null where none is asked for
     * @param commandSpec of the command, which the file names
     */
    void completeSeed(long seed, Path jsonFile, CommandSpec commandSpec) throws IOException {
        completedSeeds.add(seed);
        if (jsonFile != null) {
            new MeasurementFile(
                            TestbedCommand.commandLine(commandSpec),
                            List.copyOf(completedSeeds),
                            measurements.summary())
                    .write(jsonFile);
        }
    }
}

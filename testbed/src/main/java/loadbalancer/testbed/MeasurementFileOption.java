package loadbalancer.testbed;

import java.io.IOException;
import java.nio.file.Path;
import java.util.List;
import loadbalancer.testbed.docfigures.MeasurementFile;
import loadbalancer.testbed.docfigures.RepeatedMeasurements;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Option;
import picocli.CommandLine.Spec;

/** The option for the file to which a command writes its measurements. */
final class MeasurementFileOption {
    @Spec(Spec.Target.MIXEE)
    private CommandSpec command;

    @Option(
            names = "--json",
            paramLabel = "FILE",
            description = "A JSON file to which all measurements are written, too (default: none).")
    private Path file;

    /**
     * Writes the command line, the completed seeds and the measurements so far, if a file is given.
     *
     * @throws IOException if the file can't be written
     */
    void write(List<Long> completedSeeds, RepeatedMeasurements measurements) throws IOException {
        if (file != null) {
            new MeasurementFile(commandLine(), completedSeeds, measurements.summary()).write(file);
        }
    }

    private String commandLine() {
        List<String> arguments = command.root().commandLine().getParseResult().originalArgs();
        return TestbedCommand.NAME + " " + String.join(" ", arguments);
    }
}

package loadbalancer.testbed;

import java.io.IOException;
import java.nio.file.Path;
import loadbalancer.testbed.process.LaunchCommand;
import picocli.CommandLine.Option;

/** The option for the jar of the balancer that a command starts. */
final class BalancerJarOption {
    @Option(
            names = "--build",
            paramLabel = "JAR",
            description = "The balancer's jar (default: " + LaunchCommand.DEFAULT_JAR + ").")
    private Path jar;

    /**
     * Returns the command that starts a balancer from the given jar, or from the jar that the
     * project's build writes if none is given.
     *
     * @throws IOException if the jar or the deploy file can't be read
     */
    LaunchCommand launchCommand() throws IOException {
        return jar == null ? LaunchCommand.forProjectBuild() : LaunchCommand.forJar(jar);
    }
}

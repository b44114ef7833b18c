package loadbalancer.testbed;

import java.io.IOException;
import java.nio.file.Path;
import loadbalancer.testbed.process.LaunchCommand;
import picocli.CommandLine.Option;

/** The balancer that a command starts. */
final class BalancerJarOption {
    @Option(
            names = "--build",
            paramLabel = "JAR",
            description = "The balancer's jar (default: " + LaunchCommand.DEFAULT_JAR + ").")
    private Path jar;

    /**
     * The command that starts a balancer from the given jar, or from that of the project's build.
     *
     * @throws IOException if the jar or the deploy file can't be read
     */
    LaunchCommand launchCommand() throws IOException {
        return jar == null ? LaunchCommand.forProjectBuild() : LaunchCommand.forJar(jar);
    }
}

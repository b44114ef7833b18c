package loadbalancer.testbed.process;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.dataformat.toml.TomlMapper;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import loadbalancer.testbed.error.InvalidFileException;

/**
 * The command that starts a balancer. It is the value of {@code run} in the deploy file, with the
 * deployed jar replaced by the jar under test, and with the class data sharing archive next to that
 * jar if it exists. Immutable.
 *
 * @param command the program and its arguments
 */
public record LaunchCommand(List<String> command) {
    /** The jar that the project's build writes, relative to the project's root. */
    public static final String DEFAULT_JAR = "balancer/target/load-balancer.jar";

    private static final String ARCHIVE_OPTION = "-XX:SharedArchiveFile=";

    /** Creates a command from a program and its arguments. */
    public LaunchCommand {
        command = List.copyOf(command);
    }

    /**
     * Returns the command that starts a balancer from the jar that the project's build writes.
     *
     * @throws IOException if the deploy file or the jar can't be used
     */
    public static LaunchCommand forProjectBuild() throws IOException {
        Path projectRoot = findDeployFile().getParent().getParent();
        return forJar(projectRoot.resolve(DEFAULT_JAR));
    }

    /**
     * Returns the command that starts a balancer from {@code jar}, by this project's deploy file.
     *
     * @throws IOException if the deploy file or the jar can't be used
     */
    public static LaunchCommand forJar(Path jar) throws IOException {
        return fromDeployFile(findDeployFile(), jar);
    }

    /**
     * Reads the command from a deploy file and replaces its jar by {@code jar}.
     *
     * @throws IOException if the deploy file or the jar can't be used, with a message that names it
     */
    static LaunchCommand fromDeployFile(Path deployFile, Path jar) throws IOException {
        JsonNode runNode = new TomlMapper().readTree(Files.readString(deployFile)).get("run");
        if (runNode == null || !runNode.isTextual()) {
            throw new InvalidFileException(deployFile + ": key 'run' is missing or not a string");
        }
        Path absoluteJar = jar.toAbsolutePath().normalize();
        if (!Files.isReadable(absoluteJar)) {
            throw new InvalidFileException(
                    "jar " + absoluteJar + " can't be read: build it, or set another with --build");
        }
        Path classArchive =
                absoluteJar.resolveSibling(
                        absoluteJar.getFileName().toString().replaceFirst("\\.jar$", ".jsa"));
        List<String> command = new ArrayList<>();
        for (String argument : runNode.asText().strip().split("\\s+")) {
            if (argument.endsWith(".jar")) {
                command.add(absoluteJar.toString());
            } else if (argument.startsWith(ARCHIVE_OPTION)) {
                command.add(
                        Files.exists(classArchive)
                                ? ARCHIVE_OPTION + classArchive
                                : "-Xshare:auto");
            } else if (!argument.equals("exec")) {
                command.add(argument);
            }
        }
        return new LaunchCommand(command);
    }

    /**
     * Returns the deploy file of the working directory, or of its nearest ancestor that has one.
     *
     * @throws IOException if there is none
     */
    static Path findDeployFile() throws IOException {
        for (Path directory = Path.of("").toAbsolutePath();
                directory != null;
                directory = directory.getParent()) {
            Path file = directory.resolve("deploy/balancer.toml");
            if (Files.exists(file)) {
                return file;
            }
        }
        throw new InvalidFileException(
                "deploy/balancer.toml not found in the working directory or an ancestor of it");
    }
}

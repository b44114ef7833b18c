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
 * The command that starts a balancer: that of {@code run} in the deploy file, with the jar under
 * test in place of the deployed one, and with the class archive beside that jar, if there is one.
 * Immutable.
 *
 * @param command the program and its arguments
 */
public record LaunchCommand(List<String> command) {
    /** The jar of the project's build, relative to the project's root. */
    public static final String DEFAULT_JAR = "balancer/target/load-balancer.jar";

    private static final String ARCHIVE_OPTION = "-XX:SharedArchiveFile=";

    /** Creates a command from a program and its arguments. */
    public LaunchCommand {
        command = List.copyOf(command);
    }

    /**
     * The command that starts a balancer from the jar of the project's build.
     *
     * @throws IOException if the deploy file or the jar can't be used
     */
    public static LaunchCommand forProjectBuild() throws IOException {
        Path projectRoot = findDeployFile().getParent().getParent();
        return forJar(projectRoot.resolve(DEFAULT_JAR));
    }

    /**
     * The command that starts a balancer from {@code jar}, by the deploy file of this project.
     *
     * @throws IOException if the deploy file or the jar can't be used
     */
    public static LaunchCommand forJar(Path jar) throws IOException {
        return fromDeployFile(findDeployFile(), jar);
    }

    /**
     * Reads the command from a deploy file and puts {@code jar} into it.
     *
     * @throws IOException if the deploy file or the jar can't be used, with a message that names it
     */
    static LaunchCommand fromDeployFile(Path deployFile, Path jar) throws IOException {
        JsonNode runNode = new TomlMapper().readTree(Files.readString(deployFile)).get("run");
        if (runNode == null || !runNode.isTextual()) {
            throw new InvalidFileException(deployFile + " has no run");
        }
        Path absoluteJar = jar.toAbsolutePath().normalize();
        if (!Files.isReadable(absoluteJar)) {
            throw new InvalidFileException(
                    "no jar " + absoluteJar + ": build it first, or name one with --build");
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

    /** The deploy file in the working directory or the nearest directory above that has one. */
    static Path findDeployFile() throws IOException {
        for (Path directory = Path.of("").toAbsolutePath();
                directory != null;
                directory = directory.getParent()) {
            Path file = directory.resolve("deploy/balancer.toml");
            if (Files.exists(file)) {
                return file;
            }
        }
        throw new InvalidFileException("no deploy/balancer.toml here or above");
    }
}

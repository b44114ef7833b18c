package loadbalancer.testbed.process;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.dataformat.toml.TomlMapper;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;

/**
 * How a balancer is started: the command of {@code run} in the deploy file, with the jar that is to
 * be tried in place of the deployed one and the class archive that lies beside that jar, if there
 * is one.
 */
public record LaunchCommand(List<String> command) {
    private static final String ARCHIVE_OPTION = "-XX:SharedArchiveFile=";

    public LaunchCommand {
        command = List.copyOf(command);
    }

    /**
     * Reads the deploy file.
     *
     * @throws IOException where it or the jar can't be read, with a message that says which
     */
    public static LaunchCommand fromDeployFile(Path deployFile, Path jar) throws IOException {
        JsonNode runNode = new TomlMapper().readTree(Files.readString(deployFile)).get("run");
        if (runNode == null || !runNode.isTextual()) {
            throw new IOException(deployFile + " has no run");
        }
        Path absoluteJar = jar.toAbsolutePath().normalize();
        if (!Files.isReadable(absoluteJar)) {
            throw new IOException(
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

    /** The deploy file of the tree that holds this folder. */
    public static Path findDeployFile() throws IOException {
        for (Path directory = Path.of("").toAbsolutePath();
                directory != null;
                directory = directory.getParent()) {
            Path file = directory.resolve("deploy/balancer.toml");
            if (Files.exists(file)) {
                return file;
            }
        }
        throw new IOException("no deploy/balancer.toml here or above");
    }
}

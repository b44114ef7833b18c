package junctionhead.lab.fleet;

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
public record Launch(List<String> command) {
    private static final String ARCHIVE = "-XX:SharedArchiveFile=";

    public Launch {
        command = List.copyOf(command);
    }

    /**
     * Reads the deploy file.
     *
     * @throws IOException where it or the jar can't be read, with a message that says which
     */
    public static Launch of(Path deploy, Path jar) throws IOException {
        JsonNode run = new TomlMapper().readTree(Files.readString(deploy)).get("run");
        if (run == null || !run.isTextual()) {
            throw new IOException(deploy + " has no run");
        }
        Path whole = jar.toAbsolutePath().normalize();
        if (!Files.isReadable(whole)) {
            throw new IOException("no jar " + whole + ": build it first, or name one with --build");
        }
        Path archive =
                whole.resolveSibling(
                        whole.getFileName().toString().replaceFirst("\\.jar$", ".jsa"));
        List<String> command = new ArrayList<>();
        for (String word : run.asText().strip().split("\\s+")) {
            if (word.endsWith(".jar")) {
                command.add(whole.toString());
            } else if (word.startsWith(ARCHIVE)) {
                command.add(Files.exists(archive) ? ARCHIVE + archive : "-Xshare:auto");
            } else if (!word.equals("exec")) {
                command.add(word);
            }
        }
        return new Launch(command);
    }

    /** The deploy file of the tree that holds this folder. */
    public static Path deployFile() throws IOException {
        for (Path at = Path.of("").toAbsolutePath(); at != null; at = at.getParent()) {
            Path file = at.resolve("deploy/balancer.toml");
            if (Files.exists(file)) {
                return file;
            }
        }
        throw new IOException("no deploy/balancer.toml here or above");
    }
}

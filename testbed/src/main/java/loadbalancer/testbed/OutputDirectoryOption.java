package loadbalancer.testbed;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.LocalDateTime;
import java.time.ZoneId;
import java.time.format.DateTimeFormatter;
import picocli.CommandLine.Option;

/** The option for the directory of a command's logs and results. */
final class OutputDirectoryOption {
    private static final Path DEFAULT_PARENT = Path.of("logs");
    private static final DateTimeFormatter TIMESTAMP_FORMAT =
            DateTimeFormatter.ofPattern("yyyyMMdd'T'HHmmssSSS");

    @Option(
            names = "--out",
            paramLabel = "DIR",
            description = "The directory of logs and results (default: a new one below logs/).")
    private Path directory;

    /**
     * Creates the directory that was given, or one below {@code logs/} that is named after the
     * prefix and the current time, and returns its absolute path.
     *
     * @throws IOException if it can't be created
     */
    Path create(String prefix) throws IOException {
        return create(directory != null ? directory : defaultDirectory(prefix));
    }

    private static Path defaultDirectory(String prefix) {
        LocalDateTime now = LocalDateTime.now(ZoneId.systemDefault());
        return DEFAULT_PARENT.resolve(prefix + "-" + TIMESTAMP_FORMAT.format(now));
    }

    /** Creates a directory and its missing parents, and returns its absolute path. */
    static Path create(Path directory) throws IOException {
        return Files.createDirectories(directory).toAbsolutePath();
    }
}

package loadbalancer.cluster;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardOpenOption;
import java.util.Comparator;
import java.util.List;
import java.util.stream.Stream;

/**
 * Appends text to files that are numbered from 1, and limits their size and number. Used by one
 * thread.
 */
final class RotatedFiles {
    private static final long MAX_FILE_BYTES = 256 << 10;
    private static final int MAX_FILES = 8;
    private static final long FIRST_NUMBER = 1;
    private static final long NO_NUMBER = -1;

    private final Path directory;
    private final String namePrefix;

    RotatedFiles(Path directory, String namePrefix) {
        this.directory = directory;
        this.namePrefix = namePrefix;
    }

    /**
     * Appends text to the newest file. If that file is full, deletes the oldest files above the
     * limit and appends to a new file.
     *
     * @throws IOException if the directory can't be read or the file can't be written
     */
    void append(String text) throws IOException {
        Files.writeString(
                currentFile(), text, StandardOpenOption.CREATE, StandardOpenOption.APPEND);
    }

    private Path currentFile() throws IOException {
        List<Path> files = filesByNumber();
        if (files.isEmpty()) {
            return file(FIRST_NUMBER);
        }
        Path newest = files.get(files.size() - 1);
        if (Files.size(newest) < MAX_FILE_BYTES) {
            return newest;
        }
        int excess = Math.max(0, files.size() - MAX_FILES + 1);
        for (Path oldFile : files.subList(0, excess)) {
            Files.deleteIfExists(oldFile);
        }
        return file(numberOf(newest) + 1);
    }

    private List<Path> filesByNumber() throws IOException {
        try (Stream<Path> paths = Files.list(directory)) {
            return paths.filter(path -> numberOf(path) != NO_NUMBER)
                    .sorted(Comparator.comparingLong(this::numberOf))
                    .toList();
        }
    }

    private Path file(long number) {
        return directory.resolve(namePrefix + number);
    }

    // Returns NO_NUMBER for a file with another name.
    private long numberOf(Path file) {
        String name = file.getFileName().toString();
        return name.matches(namePrefix + "\\d{1,9}")
                ? Long.parseLong(name.substring(namePrefix.length()))
                : NO_NUMBER;
    }
}

package loadbalancer.testbed.process;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.channels.FileChannel;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;
import java.nio.file.StandardOpenOption;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import java.util.stream.Stream;

/**
 * Manages the directories of the balancers' persistent state, and applies the changes that faults
 * make to a directory while its process is down: it is kept or emptied, its newest file is
 * truncated or has one bit flipped, or it is replaced by the copy that was made before the last
 * start. Used by the fleet's thread.
 */
final class StateDirectories {
    private final Path root;

    /** Creates a manager of directories below {@code root}, each created on its first use. */
    StateDirectories(Path root) {
        this.root = root;
    }

    /** Returns the directory of a balancer, and creates it if it does not exist. */
    Path directoryOf(int balancer) throws IOException {
        return Files.createDirectories(root.resolve("n" + balancer));
    }

    private Path backupOf(int balancer) {
        return root.resolve("n" + balancer + ".older");
    }

    /** Copies the directory of a balancer, and replaces an earlier copy. */
    void backUp(int balancer) throws IOException {
        replaceDirectory(directoryOf(balancer), backupOf(balancer));
    }

    /**
     * Applies a change to the directory of a balancer.
     *
     * @param stateChange a value of {@code state} in a scenario file
     * @param byteOffset offset in bytes at which the newest file is truncated or changed
     */
    void applyStateChange(int balancer, String stateChange, int byteOffset) throws IOException {
        Path directory = directoryOf(balancer);
        switch (stateChange) {
            case "emptied" -> deleteRecursively(directory);
            case "older" -> replaceDirectory(backupOf(balancer), directory);
            case "cut" ->
                    modifyNewestFile(
                            directory, file -> file.truncate(Math.min(byteOffset, file.size())));
            case "flipped" -> modifyNewestFile(directory, file -> flipBit(file, byteOffset));
            default -> {}
        }
        directoryOf(balancer);
    }

    /** A change of one open file. */
    private interface FileModification {
        void apply(FileChannel file) throws IOException;
    }

    private static void modifyNewestFile(Path directory, FileModification modification)
            throws IOException {
        Optional<Path> newest;
        try (Stream<Path> files = Files.walk(directory)) {
            newest =
                    files.filter(Files::isRegularFile)
                            .max(
                                    Comparator.comparing((Path f) -> f.toFile().lastModified())
                                            .thenComparing(Comparator.naturalOrder()));
        }
        if (newest.isPresent()) {
            try (FileChannel file =
                    FileChannel.open(
                            newest.get(), StandardOpenOption.READ, StandardOpenOption.WRITE)) {
                modification.apply(file);
            }
        }
    }

    private static void flipBit(FileChannel file, int byteOffset) throws IOException {
        ByteBuffer buffer = ByteBuffer.allocate(1);
        if (file.read(buffer, byteOffset) == 1) {
            buffer.put(0, (byte) (buffer.get(0) ^ 1)).flip();
            file.write(buffer, byteOffset);
        }
    }

    private static void replaceDirectory(Path source, Path target) throws IOException {
        deleteRecursively(target);
        if (!Files.exists(source)) {
            return;
        }
        List<Path> paths;
        try (Stream<Path> files = Files.walk(source)) {
            // A directory comes before the files in it.
            paths = files.toList();
        }
        for (Path file : paths) {
            Files.copy(
                    file,
                    target.resolve(source.relativize(file).toString()),
                    StandardCopyOption.COPY_ATTRIBUTES);
        }
    }

    private static void deleteRecursively(Path directory) throws IOException {
        if (!Files.exists(directory)) {
            return;
        }
        List<Path> paths;
        try (Stream<Path> files = Files.walk(directory)) {
            paths = files.sorted(Comparator.reverseOrder()).toList();
        }
        for (Path file : paths) {
            Files.delete(file);
        }
    }
}

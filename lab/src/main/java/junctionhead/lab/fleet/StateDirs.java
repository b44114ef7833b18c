package junctionhead.lab.fleet;

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
 * The directories that outlive balancers, one each, and what may become of one while its process is
 * down: kept, emptied, its newest file cut short at a byte or with a bit flipped there, or put back
 * to the copy that was taken before the process that has just ended.
 */
final class StateDirs {
    private final Path root;

    StateDirs(Path root) {
        this.root = root;
    }

    /** A balancer's directory, made where it does not exist. */
    Path of(int balancer) throws IOException {
        return Files.createDirectories(root.resolve("n" + balancer));
    }

    private Path copyOf(int balancer) {
        return root.resolve("n" + balancer + ".older");
    }

    /** Keeps a copy of it as it is now, in place of an earlier one. */
    void remember(int balancer) throws IOException {
        replace(of(balancer), copyOf(balancer));
    }

    /**
     * Does to it what a fault's {@code state} says; {@code at} is a byte of the newest file, from
     * 0.
     */
    void change(int balancer, String state, int at) throws IOException {
        Path dir = of(balancer);
        switch (state) {
            case "emptied" -> delete(dir);
            case "older" -> replace(copyOf(balancer), dir);
            case "cut" -> onNewest(dir, file -> file.truncate(Math.min(at, file.size())));
            case "flipped" -> onNewest(dir, file -> flip(file, at));
            default -> {}
        }
        of(balancer);
    }

    private interface Change {
        void to(FileChannel file) throws IOException;
    }

    private static void onNewest(Path dir, Change change) throws IOException {
        Optional<Path> newest;
        try (Stream<Path> files = Files.walk(dir)) {
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
                change.to(file);
            }
        }
    }

    private static void flip(FileChannel file, int at) throws IOException {
        ByteBuffer one = ByteBuffer.allocate(1);
        if (file.read(one, at) == 1) {
            one.put(0, (byte) (one.get(0) ^ 1)).flip();
            file.write(one, at);
        }
    }

    private static void replace(Path from, Path to) throws IOException {
        delete(to);
        if (!Files.exists(from)) {
            return;
        }
        List<Path> all;
        try (Stream<Path> files = Files.walk(from)) {
            // Parents come first
            all = files.toList();
        }
        for (Path file : all) {
            Files.copy(
                    file,
                    to.resolve(from.relativize(file).toString()),
                    StandardCopyOption.COPY_ATTRIBUTES);
        }
    }

    private static void delete(Path dir) throws IOException {
        if (!Files.exists(dir)) {
            return;
        }
        List<Path> all;
        try (Stream<Path> files = Files.walk(dir)) {
            all = files.sorted(Comparator.reverseOrder()).toList();
        }
        for (Path file : all) {
            Files.delete(file);
        }
    }
}

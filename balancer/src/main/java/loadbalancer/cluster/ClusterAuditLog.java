package loadbalancer.cluster;

import com.fasterxml.jackson.jr.ob.JSON;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardOpenOption;
import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.function.Consumer;
import java.util.stream.IntStream;
import java.util.stream.Stream;
import loadbalancer.lease.Lease;
import loadbalancer.membership.MembershipView;

/**
 * The fleet's record: once a second the one balancer whose duty it is writes who is present, a JSON
 * object a line, in files of its state's folder that are rotated and bounded. With no holder
 * nothing is written, and nothing else is lost. The disk is touched on the state's thread alone.
 */
final class ClusterAuditLog {
    /** The duty's key. */
    static final String LEASE_KEY = "fleet-record";

    // Bytes
    private static final long MAX_FILE_BYTES = 256 << 10;
    private static final int MAX_FILES = 8;
    private static final String FILE_NAME_PREFIX = "record-";

    private final Path directory;
    private final int self;
    private final Consumer<String> log;
    // A line, for a disk that takes its time
    private final AtomicBoolean writePending = new AtomicBoolean();
    private boolean lastWriteFailed;

    ClusterAuditLog(Path directory, int self, Consumer<String> log) {
        this.directory = directory;
        this.self = self;
        this.log = log;
    }

    /** Has a line written on the state's thread; none where the one before still waits there. */
    void appendAsync(Lease lease, MembershipView view, Consumer<Runnable> diskExecutor) {
        if (writePending.compareAndSet(false, true)) {
            diskExecutor.accept(
                    () -> {
                        append(lease, view);
                        writePending.set(false);
                    });
        }
    }

    // If it may still: the disk may have kept this thread for longer than the lease.
    private void append(Lease lease, MembershipView view) {
        long nowMicros = MembershipDriver.nowMicros();
        if (nowMicros >= lease.expiresAtMicros()) {
            return;
        }
        Map<String, Object> entry = new LinkedHashMap<>();
        entry.put("at_ms", System.currentTimeMillis());
        entry.put("epoch", lease.epoch());
        entry.put("balancer", self);
        entry.put("view", view.version());
        entry.put("with_most", view.hasMajority());
        entry.put(
                "present",
                IntStream.range(0, view.members().size()).filter(view::isPresent).boxed().toList());
        try {
            Files.writeString(
                    currentFile(),
                    JSON.std.asString(entry) + "\n",
                    StandardOpenOption.CREATE,
                    StandardOpenOption.APPEND);
            log.accept(
                    "duties: acts for "
                            + LEASE_KEY
                            + ", epoch "
                            + lease.epoch()
                            + ", at "
                            + nowMicros);
            lastWriteFailed = false;
        } catch (IOException e) {
            if (!lastWriteFailed) {
                lastWriteFailed = true;
                log.accept("duties: the fleet's record can't be written: " + e.getMessage());
            }
        }
    }

    // The newest file, or the next one where that is full; the oldest go.
    private Path currentFile() throws IOException {
        List<Path> files;
        try (Stream<Path> paths = Files.list(directory)) {
            files =
                    paths.filter(path -> fileNumber(path) >= 0)
                            .sorted(Comparator.comparingLong(ClusterAuditLog::fileNumber))
                            .toList();
        }
        if (files.isEmpty()) {
            return directory.resolve(FILE_NAME_PREFIX + 1);
        }
        Path newest = files.get(files.size() - 1);
        if (Files.size(newest) < MAX_FILE_BYTES) {
            return newest;
        }
        for (Path old : files.subList(0, Math.max(0, files.size() - MAX_FILES + 1))) {
            Files.deleteIfExists(old);
        }
        return directory.resolve(FILE_NAME_PREFIX + (fileNumber(newest) + 1));
    }

    private static long fileNumber(Path file) {
        String name = file.getFileName().toString();
        return name.matches(FILE_NAME_PREFIX + "\\d{1,9}")
                ? Long.parseLong(name.substring(FILE_NAME_PREFIX.length()))
                : -1;
    }
}

package junctionhead.net;

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
import junctionhead.duties.Duties;
import junctionhead.membership.View;

/**
 * The fleet's record: once a second the one balancer whose duty it is writes who is present, a JSON
 * object a line, in files of its state's folder that are rotated and bounded. With no holder
 * nothing is written, and nothing else is lost. The disk is touched on the state's thread alone.
 */
final class FleetRecord {
    /** The duty's key. */
    static final String KEY = "fleet-record";

    // Bytes
    private static final long FILE_MOST = 256 << 10;
    private static final int FILES_MOST = 8;
    private static final String NAME = "record-";

    private final Path folder;
    private final int self;
    private final Consumer<String> log;
    // A line, for a disk that takes its time
    private final AtomicBoolean waiting = new AtomicBoolean();
    private boolean failing;

    FleetRecord(Path folder, int self, Consumer<String> log) {
        this.folder = folder;
        this.self = self;
        this.log = log;
    }

    /** Has a line written on the state's thread; none where the one before still waits there. */
    void offer(Duties.Hold hold, View view, Consumer<Runnable> thread) {
        if (waiting.compareAndSet(false, true)) {
            thread.accept(
                    () -> {
                        write(hold, view);
                        waiting.set(false);
                    });
        }
    }

    // If it may still: the disk may have kept this thread for longer than the lease.
    private void write(Duties.Hold hold, View view) {
        long now = MemberLink.now();
        if (now >= hold.until()) {
            return;
        }
        Map<String, Object> line = new LinkedHashMap<>();
        line.put("at_ms", System.currentTimeMillis());
        line.put("epoch", hold.epoch());
        line.put("balancer", self);
        line.put("view", view.version());
        line.put("with_most", view.withMost());
        line.put(
                "present",
                IntStream.range(0, view.members().size()).filter(view::isPresent).boxed().toList());
        try {
            Files.writeString(
                    file(),
                    JSON.std.asString(line) + "\n",
                    StandardOpenOption.CREATE,
                    StandardOpenOption.APPEND);
            log.accept("duties: acts for " + KEY + ", epoch " + hold.epoch() + ", at " + now);
            failing = false;
        } catch (IOException e) {
            if (!failing) {
                failing = true;
                log.accept("duties: the fleet's record can't be written: " + e.getMessage());
            }
        }
    }

    // The newest file, or the next one where that is full; the oldest go.
    private Path file() throws IOException {
        List<Path> files;
        try (Stream<Path> all = Files.list(folder)) {
            files =
                    all.filter(f -> number(f) >= 0)
                            .sorted(Comparator.comparingLong(FleetRecord::number))
                            .toList();
        }
        if (files.isEmpty()) {
            return folder.resolve(NAME + 1);
        }
        Path newest = files.get(files.size() - 1);
        if (Files.size(newest) < FILE_MOST) {
            return newest;
        }
        for (Path old : files.subList(0, Math.max(0, files.size() - FILES_MOST + 1))) {
            Files.deleteIfExists(old);
        }
        return folder.resolve(NAME + (number(newest) + 1));
    }

    private static long number(Path file) {
        String name = file.getFileName().toString();
        return name.matches(NAME + "\\d{1,9}") ? Long.parseLong(name.substring(NAME.length())) : -1;
    }
}

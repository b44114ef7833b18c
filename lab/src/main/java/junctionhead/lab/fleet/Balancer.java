package junctionhead.lab.fleet;

import java.io.BufferedReader;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.io.Writer;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardOpenOption;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.function.BiConsumer;
import java.util.function.LongSupplier;

/**
 * One balancer over all its processes: its present one, its log with the lab's times, and what it
 * used. The fleet's thread starts and ends it; a thread for each process reads its log.
 */
public final class Balancer {
    // Bytes kept of a run
    private static final long LOG_MOST = 32L << 20;

    private final int number;
    private final Path log;
    private final LongSupplier clock;
    private final BiConsumer<Long, String> lines;
    private final List<Life> lives = new ArrayList<>();
    private Process process;
    private long logged;
    private long cpuBefore;
    private long cpuMs;
    private long residentKb;
    private int descriptors;
    private boolean expectedToEnd;

    /**
     * One process: from its start until its end, by {@link System#nanoTime}; {@code end} null: it
     * runs.
     */
    public record Life(long from, long to, String end) {}

    /** {@code lines} hears each line of its log with the time, on the reader's thread. */
    Balancer(int number, Path log, LongSupplier clock, BiConsumer<Long, String> lines) {
        this.number = number;
        this.log = log;
        this.clock = clock;
        this.lines = lines;
    }

    synchronized void started(Process started) {
        process = started;
        expectedToEnd = false;
        cpuBefore = cpuMs;
        lives.add(new Life(System.nanoTime(), 0, null));
        Thread reader = new Thread(() -> read(started), "log of n" + number);
        reader.setDaemon(true);
        reader.start();
    }

    private void read(Process of) {
        try (BufferedReader in = of.errorReader(StandardCharsets.UTF_8);
                Writer out =
                        Files.newBufferedWriter(
                                log, StandardOpenOption.CREATE, StandardOpenOption.APPEND)) {
            for (String line = in.readLine(); line != null; line = in.readLine()) {
                long now = clock.getAsLong();
                lines.accept(now, line);
                String timed = String.format(Locale.ROOT, "%.6f n%d %s%n", now / 1e6, number, line);
                logged += timed.length();
                // read on past it: a full pipe would stop the balancer
                if (logged < LOG_MOST) {
                    out.write(timed);
                    out.flush();
                }
            }
        } catch (IOException | UncheckedIOException e) {
            // Killed in the midst of a line
            return;
        }
    }

    synchronized void expectEnd() {
        expectedToEnd = true;
    }

    synchronized boolean expectedToEnd() {
        return expectedToEnd;
    }

    synchronized void ended(String how) {
        Life last = lives.get(lives.size() - 1);
        if (last.end == null) {
            lives.set(lives.size() - 1, new Life(last.from, System.nanoTime(), how));
        }
    }

    synchronized void measure() {
        if (process == null || !process.isAlive()) {
            return;
        }
        ProcFigures now = ProcFigures.of(process.pid());
        if (now.cpuMs() >= 0) {
            cpuMs = cpuBefore + now.cpuMs();
            residentKb = Math.max(residentKb, now.residentKb());
            descriptors = Math.max(descriptors, now.descriptors());
        }
    }

    public int number() {
        return number;
    }

    synchronized Process process() {
        return process;
    }

    Path log() {
        return log;
    }

    /** In order of time. */
    public synchronized List<Life> lives() {
        return List.copyOf(lives);
    }

    /** CPU of all its processes, in ms. */
    public synchronized long cpuMs() {
        return cpuMs;
    }

    /** Its largest resident memory, in kB. */
    public synchronized long residentKb() {
        return residentKb;
    }

    /** The most descriptors that it had open. */
    public synchronized int descriptors() {
        return descriptors;
    }
}

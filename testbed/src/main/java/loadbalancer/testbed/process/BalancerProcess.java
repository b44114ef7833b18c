package loadbalancer.testbed.process;

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
 * One balancer over all its processes: the present process, the log with the testbed's timestamps,
 * and resource usage. The fleet's thread starts and ends processes; a thread per process reads its
 * log. Thread-safe.
 */
public final class BalancerProcess {
    // Stored per balancer and run; read and dropped beyond that
    private static final long MAX_LOG_BYTES = 32L << 20;

    private final int number;
    private final Path logFile;
    private final LongSupplier clock;
    private final BiConsumer<Long, String> lineListener;
    private final List<Incarnation> incarnations = new ArrayList<>();
    private Process process;
    private long loggedBytes;
    private long previousCpuMs;
    private long cpuMs;
    private long peakResidentKb;
    private int peakDescriptors;
    private boolean expectedToEnd;

    /**
     * One process: from its start until its end, by {@link System#nanoTime}; {@code exitReason}
     * null: it runs.
     */
    public record Incarnation(long startNanos, long endNanos, String exitReason) {}

    /** {@code lineListener} hears each line of its log with the time, on the reader's thread. */
    BalancerProcess(
            int number, Path logFile, LongSupplier clock, BiConsumer<Long, String> lineListener) {
        this.number = number;
        this.logFile = logFile;
        this.clock = clock;
        this.lineListener = lineListener;
    }

    synchronized void onStarted(Process newProcess) {
        process = newProcess;
        expectedToEnd = false;
        previousCpuMs = cpuMs;
        incarnations.add(new Incarnation(System.nanoTime(), 0, null));
        Thread logReader = new Thread(() -> copyLog(newProcess), "log of n" + number);
        logReader.setDaemon(true);
        logReader.start();
    }

    private void copyLog(Process logged) {
        try (BufferedReader reader = logged.errorReader(StandardCharsets.UTF_8);
                Writer writer =
                        Files.newBufferedWriter(
                                logFile, StandardOpenOption.CREATE, StandardOpenOption.APPEND)) {
            for (String line = reader.readLine(); line != null; line = reader.readLine()) {
                long nowMicros = clock.getAsLong();
                lineListener.accept(nowMicros, line);
                String timestamped =
                        String.format(Locale.ROOT, "%.6f n%d %s%n", nowMicros / 1e6, number, line);
                loggedBytes += timestamped.length();
                // read on past it: a full pipe would stop the balancer
                if (loggedBytes < MAX_LOG_BYTES) {
                    writer.write(timestamped);
                    writer.flush();
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

    synchronized void onEnded(String reason) {
        Incarnation latest = incarnations.get(incarnations.size() - 1);
        if (latest.exitReason == null) {
            incarnations.set(
                    incarnations.size() - 1,
                    new Incarnation(latest.startNanos, System.nanoTime(), reason));
        }
    }

    synchronized void sampleUsage() {
        if (process == null || !process.isAlive()) {
            return;
        }
        ProcessMetrics metrics = ProcessMetrics.read(process.pid());
        if (metrics.cpuMs() >= 0) {
            cpuMs = previousCpuMs + metrics.cpuMs();
            peakResidentKb = Math.max(peakResidentKb, metrics.residentKb());
            peakDescriptors = Math.max(peakDescriptors, metrics.descriptors());
        }
    }

    public int number() {
        return number;
    }

    synchronized Process process() {
        return process;
    }

    Path logFile() {
        return logFile;
    }

    /** In order of time. */
    public synchronized List<Incarnation> incarnations() {
        return List.copyOf(incarnations);
    }

    /** CPU of all its processes, in ms. */
    public synchronized long cpuMs() {
        return cpuMs;
    }

    /** Its largest resident memory, in kB. */
    public synchronized long peakResidentKb() {
        return peakResidentKb;
    }

    /** The most descriptors that it had open. */
    public synchronized int peakDescriptors() {
        return peakDescriptors;
    }
}

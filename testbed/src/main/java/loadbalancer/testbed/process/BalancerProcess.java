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
 * and resource usage. The fleet's thread starts and ends processes; one thread for each process
 * reads its log. Thread-safe.
 */
public final class BalancerProcess {
    // Beyond this size of the log of a run, lines are read and dropped.
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
     * One process of a balancer.
     *
     * @param startNanos its start, by {@link System#nanoTime}
     * @param endNanos its end, by the same clock, or 0 while it runs
     * @param exitReason why it has ended, or null while it runs
     */
    public record Incarnation(long startNanos, long endNanos, String exitReason) {}

    /**
     * Creates a balancer without a process.
     *
     * @param clock the time of the run, µs
     * @param lineListener is called for each line of the log with its time in µs, on the thread
     *     that reads the log
     */
    BalancerProcess(
            int number, Path logFile, LongSupplier clock, BiConsumer<Long, String> lineListener) {
        this.number = number;
        this.logFile = logFile;
        this.clock = clock;
        this.lineListener = lineListener;
    }

    /** Notes that a process was started, and starts the thread that reads its log. */
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
                // Reading continues beyond the limit, since a full pipe would block the balancer.
                if (loggedBytes < MAX_LOG_BYTES) {
                    writer.write(timestamped);
                    writer.flush();
                }
            }
        } catch (IOException | UncheckedIOException e) {
            // The process was killed while it wrote a line.
            return;
        }
    }

    /** Notes that the present process is about to be ended by the testbed. */
    synchronized void expectEnd() {
        expectedToEnd = true;
    }

    /** Whether the present process is ended by the testbed. */
    synchronized boolean expectedToEnd() {
        return expectedToEnd;
    }

    /** Notes the end of the present process; a second call for the same process has no effect. */
    synchronized void onEnded(String reason) {
        Incarnation latest = incarnations.get(incarnations.size() - 1);
        if (latest.exitReason == null) {
            incarnations.set(
                    incarnations.size() - 1,
                    new Incarnation(latest.startNanos, System.nanoTime(), reason));
        }
    }

    /** Reads the resource usage of the present process, if it runs. */
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

    /** The number of the balancer, from 0. */
    public int number() {
        return number;
    }

    /** The present or last process, or null before the first start. */
    synchronized Process process() {
        return process;
    }

    /** The file of the log, with lines of all processes. */
    Path logFile() {
        return logFile;
    }

    /** The processes so far, in order of time. */
    public synchronized List<Incarnation> incarnations() {
        return List.copyOf(incarnations);
    }

    /** The CPU time of all processes so far, ms, as of the last sample. */
    public synchronized long cpuMs() {
        return cpuMs;
    }

    /** The largest resident memory of any sample, kB. */
    public synchronized long peakResidentKb() {
        return peakResidentKb;
    }

    /** The largest number of open file descriptors of any sample. */
    public synchronized int peakDescriptors() {
        return peakDescriptors;
    }
}

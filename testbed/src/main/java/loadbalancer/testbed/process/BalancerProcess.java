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
 * One balancer across all its restarts: the current process, the log with the testbed's timestamps,
 * and resource usage. The fleet's thread starts and ends processes; each process has a thread that
 * reads its log. Thread-safe.
 */
public final class BalancerProcess {
    // Lines beyond this total size of a balancer's log are read and discarded.
    private static final long MAX_LOG_BYTES = 32L << 20;

    private final int number;
    private final Path logFile;
    private final LongSupplier clock;
    private final BiConsumer<Long, String> lineListener;
    private final List<ProcessLifetime> lifetimes = new ArrayList<>();
    private Process process;
    private long loggedBytes;
    private long previousCpuMs;
    private long cpuMs;
    private long peakResidentKb;
    private int peakDescriptors;
    private boolean expectedToEnd;

    /**
     * The start and the end of one process of a balancer.
     *
     * @param startNanos time of the start in ns, by {@link System#nanoTime}
     * @param endNanos time of the end in ns, by the same clock; 0 while the process runs
     * @param exitReason why the process ended; null while it runs
     */
    public record ProcessLifetime(long startNanos, long endNanos, String exitReason) {}

    /**
     * Creates a balancer without a process.
     *
     * @param clock returns the time since the start of the run in µs
     * @param lineListener called with the time in µs and the text of each log line, on the thread
     *     that reads the log
     */
    BalancerProcess(
            int number, Path logFile, LongSupplier clock, BiConsumer<Long, String> lineListener) {
        this.number = number;
        this.logFile = logFile;
        this.clock = clock;
        this.lineListener = lineListener;
    }

    /** Records the start of a process, and starts the thread that reads its log. */
    synchronized void onStarted(Process newProcess) {
        process = newProcess;
        expectedToEnd = false;
        previousCpuMs = cpuMs;
        lifetimes.add(new ProcessLifetime(System.nanoTime(), 0, null));
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

    /** Records that the testbed is about to end the current process. */
    synchronized void expectEnd() {
        expectedToEnd = true;
    }

    /** Returns whether the testbed ends the current process, so that its exit is no crash. */
    synchronized boolean expectedToEnd() {
        return expectedToEnd;
    }

    /** Records the end of the current process; a second call for the same process has no effect. */
    synchronized void onEnded(String reason) {
        ProcessLifetime latest = lifetimes.get(lifetimes.size() - 1);
        if (latest.exitReason == null) {
            lifetimes.set(
                    lifetimes.size() - 1,
                    new ProcessLifetime(latest.startNanos, System.nanoTime(), reason));
        }
    }

    /** Updates the resource usage from the current process, if it runs. */
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

    /** Returns the number of the balancer, from 0. */
    public int number() {
        return number;
    }

    /** Returns the current or last process, or null before the first start. */
    synchronized Process process() {
        return process;
    }

    /** Returns the log file, which contains the lines of all processes of this balancer. */
    Path logFile() {
        return logFile;
    }

    /** Returns the lifetimes of all processes so far, in order of their starts. */
    public synchronized List<ProcessLifetime> lifetimes() {
        return List.copyOf(lifetimes);
    }

    /** Returns the CPU time of all processes so far in ms, as of the last sample. */
    public synchronized long cpuMs() {
        return cpuMs;
    }

    /** Returns the largest sampled resident memory in kB. */
    public synchronized long peakResidentKb() {
        return peakResidentKb;
    }

    /** Returns the largest sampled number of open file descriptors. */
    public synchronized int peakDescriptors() {
        return peakDescriptors;
    }
}

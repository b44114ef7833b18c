package loadbalancer.testbed.process;

import java.io.File;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;

/**
 * The resource usage of a process, as the operating system reports it. Immutable.
 *
 * @param cpuMs CPU time since the start of the process in ms
 * @param residentKb resident memory in kB
 * @param descriptors number of open file descriptors
 */
public record ProcessMetrics(long cpuMs, long residentKb, int descriptors) {
    // Linux reports CPU time in units of 10 ms.
    private static final long CLOCK_TICK_MS = 10;
    // Indexes of fields in /proc/PID/stat, counted from the field after the command's name.
    private static final int USER_TIME_FIELD = 11;
    private static final int SYSTEM_TIME_FIELD = 12;

    /** Returns the current usage of a process; all values are -1 if it has ended. */
    public static ProcessMetrics read(long pid) {
        Path proc = Path.of("/proc", Long.toString(pid));
        try {
            String stat = Files.readString(proc.resolve("stat"));
            String[] fields = stat.substring(stat.lastIndexOf(')') + 2).split(" ");
            long ticks =
                    Long.parseLong(fields[USER_TIME_FIELD])
                            + Long.parseLong(fields[SYSTEM_TIME_FIELD]);
            long rssKb =
                    Files.readAllLines(proc.resolve("status")).stream()
                            .filter(line -> line.startsWith("VmRSS:"))
                            .mapToLong(line -> Long.parseLong(line.replaceAll("\\D", "")))
                            .findFirst()
                            .orElse(-1);
            String[] openDescriptors = new File(proc.toFile(), "fd").list();
            return new ProcessMetrics(
                    ticks * CLOCK_TICK_MS,
                    rssKb,
                    openDescriptors == null ? -1 : openDescriptors.length);
        } catch (IOException e) {
            // The process has ended.
            return new ProcessMetrics(-1, -1, -1);
        }
    }
}

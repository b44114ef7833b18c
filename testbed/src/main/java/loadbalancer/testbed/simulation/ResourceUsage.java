package loadbalancer.testbed.simulation;

import com.sun.management.OperatingSystemMXBean;
import java.io.IOException;
import java.lang.management.ManagementFactory;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Locale;

/** Measures the resources that this process uses from the creation of an instance on. */
public final class ResourceUsage {
    private static final Path PROC_STATUS = Path.of("/proc/self/status");
    private static final String PEAK_RESIDENT_FIELD = "VmHWM:";

    private final long startNanos = System.nanoTime();
    private final long startCpuNanos = processCpuNanos();

    private static long processCpuNanos() {
        return ManagementFactory.getOperatingSystemMXBean()
                        instanceof OperatingSystemMXBean operatingSystem
                ? operatingSystem.getProcessCpuTime()
                : 0;
    }

    private static long peakResidentMb() {
        try {
            return Files.readAllLines(PROC_STATUS).stream()
                    .filter(line -> line.startsWith(PEAK_RESIDENT_FIELD))
                    .findFirst()
                    .map(line -> Long.parseLong(line.replaceAll("\\D", "")) >> 10)
                    .orElse(0L);
        } catch (IOException e) {
            // The file exists on Linux only.
            return 0;
        }
    }

    /** Returns a line with simulated and real time, CPU time, number of events and peak memory. */
    public String simulationSummary(double simulatedS, long events) {
        return String.format(
                Locale.ROOT,
                "cost: %.1f s simulated in %s, %d events",
                simulatedS,
                usage(),
                events);
    }

    /** Returns a line with real time, CPU time and peak memory. */
    public String summary() {
        return "cost: " + usage();
    }

    private String usage() {
        return String.format(
                Locale.ROOT,
                "%.1f s, CPU %.1f s, %d MB resident at most",
                (System.nanoTime() - startNanos) / 1e9,
                (processCpuNanos() - startCpuNanos) / 1e9,
                peakResidentMb());
    }
}

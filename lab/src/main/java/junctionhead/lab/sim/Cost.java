package junctionhead.lab.sim;

import com.sun.management.OperatingSystemMXBean;
import java.io.IOException;
import java.lang.management.ManagementFactory;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Locale;

/** What this process has used since a mark: for runs whose size the machine must bear. */
public final class Cost {
    private static final Path STATUS = Path.of("/proc/self/status");
    // kB that were resident at most
    private static final String HIGHEST = "VmHWM:";

    private final long began = System.nanoTime();
    private final long cpuBegan = cpu();

    private static long cpu() {
        return ManagementFactory.getOperatingSystemMXBean() instanceof OperatingSystemMXBean os
                ? os.getProcessCpuTime()
                : 0;
    }

    private static long residentMb() {
        try {
            return Files.readAllLines(STATUS).stream()
                    .filter(line -> line.startsWith(HIGHEST))
                    .findFirst()
                    .map(line -> Long.parseLong(line.replaceAll("\\D", "")) >> 10)
                    .orElse(0L);
        } catch (IOException e) {
            // No such file outside Linux: unknown
            return 0;
        }
    }

    /** One line: simulated and real time, CPU, events and memory. */
    public String of(double simulatedS, long events) {
        return String.format(
                Locale.ROOT, "cost: %.1f s simulated in %s, %d events", simulatedS, used(), events);
    }

    /** One line: real time, CPU and memory. */
    public String line() {
        return "cost: " + used();
    }

    private String used() {
        return String.format(
                Locale.ROOT,
                "%.1f s, CPU %.1f s, %d MB resident at most",
                (System.nanoTime() - began) / 1e9,
                (cpu() - cpuBegan) / 1e9,
                residentMb());
    }
}

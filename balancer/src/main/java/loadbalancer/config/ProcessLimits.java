package loadbalancer.config;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Locale;

/**
 * Reads the operating system's limits on this process from Linux's {@code /proc/self/limits}. The
 * JDK's management classes provide them too, but loading those classes slows the start. Stateless.
 */
final class ProcessLimits {
    /** Stands for a limit that does not exist or can't be read. */
    static final int UNLIMITED = Integer.MAX_VALUE;

    private static final Path LIMITS_FILE = Path.of("/proc/self/limits");
    private static final String OPEN_FILES_PREFIX = "max open files";
    // The name of the limit takes the first three columns.
    private static final int SOFT_LIMIT_COLUMN = 3;

    private ProcessLimits() {}

    /** Returns the soft limit on open file descriptors, or {@link #UNLIMITED}. */
    static int maxOpenDescriptors() {
        try {
            for (String line : Files.readAllLines(LIMITS_FILE)) {
                if (line.toLowerCase(Locale.ROOT).startsWith(OPEN_FILES_PREFIX)) {
                    long softLimit = Long.parseLong(line.trim().split("\\s+")[SOFT_LIMIT_COLUMN]);
                    return (int) Math.min(UNLIMITED, softLimit);
                }
            }
        } catch (IOException | NumberFormatException e) {
            // The limit is "unlimited", or the system has no such file.
            return UNLIMITED;
        }
        return UNLIMITED;
    }
}

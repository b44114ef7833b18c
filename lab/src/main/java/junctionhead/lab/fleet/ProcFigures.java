package junctionhead.lab.fleet;

import java.io.File;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;

/** What the system tells of a process; -1 where it has ended. */
public record ProcFigures(long cpuMs, long residentKb, int descriptors) {
    // Linux counts in hundredths of a second
    private static final long TICK_MS = 10;
    // Fields of stat behind the command's name
    private static final int USER = 11;
    private static final int SYSTEM = 12;

    /** As it is now. */
    public static ProcFigures of(long pid) {
        Path proc = Path.of("/proc", Long.toString(pid));
        try {
            String stat = Files.readString(proc.resolve("stat"));
            String[] fields = stat.substring(stat.lastIndexOf(')') + 2).split(" ");
            long ticks = Long.parseLong(fields[USER]) + Long.parseLong(fields[SYSTEM]);
            long resident =
                    Files.readAllLines(proc.resolve("status")).stream()
                            .filter(line -> line.startsWith("VmRSS:"))
                            .mapToLong(line -> Long.parseLong(line.replaceAll("\\D", "")))
                            .findFirst()
                            .orElse(-1);
            String[] open = new File(proc.toFile(), "fd").list();
            return new ProcFigures(ticks * TICK_MS, resident, open == null ? -1 : open.length);
        } catch (IOException e) {
            // It has ended
            return new ProcFigures(-1, -1, -1);
        }
    }
}

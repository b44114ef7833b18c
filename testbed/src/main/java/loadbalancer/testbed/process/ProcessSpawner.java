package loadbalancer.testbed.process;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.stream.Collectors;

/**
 * Starts processes and sends signals to them. All are started by one thread that lives as long as
 * the testbed: the system ends a process with the thread that started it, so that none outlives a
 * testbed that was itself killed. Thread-safe.
 */
public final class ProcessSpawner implements AutoCloseable {
    private static final Path SETPRIV = Path.of("/usr/bin/setpriv");

    private final ExecutorService executor =
            Executors.newSingleThreadExecutor(
                    work -> {
                        Thread t = new Thread(work, "spawner");
                        t.setDaemon(true);
                        return t;
                    });
    private final Set<Process> liveProcesses = ConcurrentHashMap.newKeySet();
    private final Thread shutdownHook =
            new Thread(() -> liveProcesses.forEach(Process::destroyForcibly), "end of processes");

    /** Processes that it starts end with this one, however this one ends. */
    public ProcessSpawner() {
        Runtime.getRuntime().addShutdownHook(shutdownHook);
    }

    /**
     * Starts a command with a limit on descriptors.
     *
     * @throws IOException where it can't be started
     */
    public Process start(List<String> command, int descriptors, ProcessBuilder builder)
            throws IOException {
        List<String> arguments =
                new ArrayList<>(
                        List.of(
                                "/bin/sh",
                                "-c",
                                "ulimit -n " + descriptors + "; exec \"$@\"",
                                "sh"));
        if (Files.isExecutable(SETPRIV)) {
            arguments.addAll(List.of(SETPRIV.toString(), "--pdeathsig", "KILL", "--"));
        }
        arguments.addAll(command);
        try {
            Process process = executor.submit(() -> builder.command(arguments).start()).get();
            liveProcesses.add(process);
            process.onExit().thenAccept(liveProcesses::remove);
            return process;
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            throw new IOException(e);
        } catch (ExecutionException e) {
            throw new IOException(e.getCause());
        }
    }

    /** One signal to many at one moment; those that have ended are passed over. */
    static void signal(String name, Collection<Process> processes) throws IOException {
        String pids =
                processes.stream()
                        .filter(Process::isAlive)
                        .map(process -> Long.toString(process.pid()))
                        .collect(Collectors.joining(" "));
        if (!pids.isEmpty()) {
            try {
                // Of a process that ends meanwhile kill only complains.
                new ProcessBuilder("/bin/sh", "-c", "kill -" + name + " " + pids + " 2>/dev/null")
                        .start()
                        .waitFor();
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
            }
        }
    }

    @Override
    public void close() {
        liveProcesses.forEach(Process::destroyForcibly);
        executor.shutdown();
        Runtime.getRuntime().removeShutdownHook(shutdownHook);
    }
}

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
import loadbalancer.testbed.error.ProcessFailedException;

/**
 * Starts processes and sends signals to them. All processes are started by one thread that lives as
 * long as the spawner: the system kills a process when the thread that started it ends, so that no
 * process outlives a testbed that was itself killed. Thread-safe.
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

    /** Creates a spawner whose processes end with this program, however it ends. */
    public ProcessSpawner() {
        Runtime.getRuntime().addShutdownHook(shutdownHook);
    }

    /**
     * Starts a command.
     *
     * @param descriptors the limit of the process on open file descriptors
     * @param builder has the environment and the redirections of the process
     * @throws ProcessFailedException if it can't be started
     */
    public Process start(List<String> command, int descriptors, ProcessBuilder builder)
            throws ProcessFailedException {
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
            throw new ProcessFailedException(e);
        } catch (ExecutionException e) {
            throw new ProcessFailedException(e.getCause());
        }
    }

    /**
     * Sends a signal to several processes at once. Processes that have ended are ignored.
     *
     * @param name the signal's name without its prefix, such as {@code TERM}
     * @throws IOException if the signal can't be sent
     */
    static void signal(String name, Collection<Process> processes) throws IOException {
        String pids =
                processes.stream()
                        .filter(Process::isAlive)
                        .map(process -> Long.toString(process.pid()))
                        .collect(Collectors.joining(" "));
        if (!pids.isEmpty()) {
            try {
                // For a process that has ended meanwhile, kill only prints an error.
                new ProcessBuilder("/bin/sh", "-c", "kill -" + name + " " + pids + " 2>/dev/null")
                        .start()
                        .waitFor();
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
            }
        }
    }

    /** Kills the processes that still run. */
    @Override
    public void close() {
        liveProcesses.forEach(Process::destroyForcibly);
        executor.shutdown();
        Runtime.getRuntime().removeShutdownHook(shutdownHook);
    }
}

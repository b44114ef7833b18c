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
 * Starts processes and sends signals to them. One thread, which lives as long as the spawner,
 * starts all processes: the operating system kills a process when the thread that started it ends,
 * so no process outlives the testbed even if the testbed is killed. Thread-safe.
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

    /** Creates a spawner whose processes are killed when this program ends for any reason. */
    public ProcessSpawner() {
        Runtime.getRuntime().addShutdownHook(shutdownHook);
    }

    /**
     * Starts a command.
     *
     * @param command the program and its arguments
     * @param descriptors the maximum number of open file descriptors of the process
     * @param builder the environment and the redirections of the process
     * @throws ProcessFailedException if the process can't be started
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
     * @param name the name of the signal without {@code SIG}, for example {@code TERM}
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
                // If a process has ended in the meantime, kill only prints an error.
                new ProcessBuilder("/bin/sh", "-c", "kill -" + name + " " + pids + " 2>/dev/null")
                        .start()
                        .waitFor();
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
            }
        }
    }

    /** Kills the processes that still run, and ends the spawner's thread. */
    @Override
    public void close() {
        liveProcesses.forEach(Process::destroyForcibly);
        executor.shutdown();
        Runtime.getRuntime().removeShutdownHook(shutdownHook);
    }
}

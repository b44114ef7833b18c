package loadbalancer;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotNull;

import java.io.BufferedReader;
import java.io.Closeable;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.stream.Collectors;

/**
 * A balancer ({@code serve}) in a process of its own. Closing it kills the process if it still
 * runs.
 */
public final class ServeProcess implements Closeable {
    private final Process process;
    private final BufferedReader stderr;

    private ServeProcess(Process process) {
        this.process = process;
        this.stderr = process.errorReader(StandardCharsets.UTF_8);
    }

    /** Starts one with this configuration file; with an empty path, without a configuration. */
    static ServeProcess start(String configFile) throws IOException {
        return start(configFile, List.of(), List.of());
    }

    /**
     * The same, started by another program.
     *
     * @param launcher a command that executes the arguments that follow it
     * @param jvmOptions options of the JVM
     */
    public static ServeProcess start(
            String configFile, List<String> launcher, List<String> jvmOptions) throws IOException {
        List<String> command = new ArrayList<>(launcher);
        command.addAll(mainCommand(jvmOptions));
        command.add("serve");
        ProcessBuilder builder = new ProcessBuilder(command);
        builder.environment().keySet().removeIf(name -> name.startsWith("ROUTER_"));
        if (!configFile.isEmpty()) {
            builder.environment().put("ROUTER_CONFIG", configFile);
        }
        builder.environment().put("ROUTER_NAME", "n1");
        return new ServeProcess(builder.start());
    }

    /** The command that starts {@link Main} in a JVM like that of the tests. */
    static List<String> mainCommand(List<String> jvmOptions) {
        List<String> command = new ArrayList<>();
        command.add(Path.of(System.getProperty("java.home"), "bin", "java").toString());
        command.addAll(jvmOptions);
        command.add("-cp");
        command.add(System.getProperty("java.class.path"));
        command.add("loadbalancer.Main");
        return command;
    }

    /** The process, for what the operating system says about it. */
    public Process process() {
        return process;
    }

    /** The next line of the log; null at its end. */
    String readLine() throws IOException {
        return stderr.readLine();
    }

    /** All lines of the log that are not read yet, up to the end of the process. */
    List<String> readRemainingLines() {
        return stderr.lines().collect(Collectors.toList());
    }

    /** Reads the log up to the first line with this text, and returns that line. */
    public String awaitLine(String text) throws IOException {
        String line = stderr.readLine();
        while (line != null && !line.contains(text)) {
            line = stderr.readLine();
        }
        assertNotNull(line, "the process ended without the log line: " + text);
        return line;
    }

    /** Reads the log from now on and drops it, so that the process never waits for a reader. */
    public void discardLog() {
        Thread reader = new Thread(() -> stderr.lines().forEach(line -> {}));
        reader.setDaemon(true);
        reader.start();
    }

    /** Sends SIGTERM, which begins a graceful shutdown. */
    void terminate() {
        process.destroy();
    }

    /** Sends SIGHUP, which asks for a reload of the configuration. */
    void hangUp() throws IOException, InterruptedException {
        Process kill = new ProcessBuilder("kill", "-HUP", Long.toString(process.pid())).start();
        assertEquals(0, kill.waitFor(), "exit code of kill -HUP");
    }

    /** Waits for the end of the process; returns its exit code. */
    int awaitExit() throws InterruptedException {
        return process.waitFor();
    }

    @Override
    public void close() throws IOException {
        process.destroyForcibly();
        stderr.close();
    }
}

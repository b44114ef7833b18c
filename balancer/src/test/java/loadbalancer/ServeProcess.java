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
 * A balancer process, started with the command {@code serve}. {@link #close} kills the process if
 * it is still running.
 */
public final class ServeProcess implements Closeable {
    private final Process process;
    private final BufferedReader stderr;

    private ServeProcess(Process process) {
        this.process = process;
        this.stderr = process.errorReader(StandardCharsets.UTF_8);
    }

    /**
     * Starts a balancer with this configuration file, or without a configuration if the path is
     * empty.
     */
    static ServeProcess start(String configFile) throws IOException {
        return start(configFile, List.of(), List.of());
    }

    /**
     * Starts a balancer through another program.
     *
     * @param configFile path of the configuration file; empty for none
     * @param launcher a command that executes the arguments that follow it; empty for none
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

    /** Returns the command that starts {@link Main} in a JVM like that of the tests. */
    static List<String> mainCommand(List<String> jvmOptions) {
        List<String> command = new ArrayList<>();
        command.add(Path.of(System.getProperty("java.home"), "bin", "java").toString());
        command.addAll(jvmOptions);
        command.add("-cp");
        command.add(System.getProperty("java.class.path"));
        command.add("loadbalancer.Main");
        return command;
    }

    /** Returns the process, for tests that ask the operating system about it. */
    public Process process() {
        return process;
    }

    /** Returns the next line of the log; null at its end. */
    String readLine() throws IOException {
        return stderr.readLine();
    }

    /** Returns all lines of the log that have not been read yet, up to the end of the process. */
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

    /**
     * Reads and discards the rest of the log on another thread, so that the process never blocks on
     * a full pipe.
     */
    public void discardLog() {
        Thread reader = new Thread(() -> stderr.lines().forEach(line -> {}));
        reader.setDaemon(true);
        reader.start();
    }

    /** Sends SIGTERM, which starts a graceful shutdown. */
    void sendSigterm() {
        process.destroy();
    }

    /** Sends SIGHUP, which requests a reload of the configuration. */
    void sendSighup() throws IOException, InterruptedException {
        Process kill = new ProcessBuilder("kill", "-HUP", Long.toString(process.pid())).start();
        assertEquals(0, kill.waitFor(), "exit code of kill -HUP");
    }

    /** Waits until the process ends and returns its exit code. */
    int awaitExit() throws InterruptedException {
        return process.waitFor();
    }

    @Override
    public void close() throws IOException {
        process.destroyForcibly();
        stderr.close();
    }
}

package loadbalancer.testbed.process;

import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import java.util.function.ObjIntConsumer;
import loadbalancer.testbed.emulation.EmulatedEnvironment;
import loadbalancer.testbed.emulation.Emulation;
import loadbalancer.testbed.invariant.RunInvariant;
import loadbalancer.testbed.scenario.FaultKind;
import loadbalancer.testbed.scenario.Scenario;
import loadbalancer.testbed.workload.RandomStreams;
import loadbalancer.testbed.workload.WorkloadPlan;

/**
 * The balancers' processes: starts, ends, pauses and restarts them as the plan says, and checks
 * that they stay within their limits. All of it runs on the fleet's own thread; invariants are
 * notified on the emulation's event loop. {@link #close} ends the thread and every process.
 */
public final class ProcessFleet implements AutoCloseable {
    private static final long SAMPLE_INTERVAL_MS = 250;
    // From SIGTERM: the longest deadline and 0.7 s
    private static final long SHUTDOWN_TIMEOUT_MS = 3_700;
    private static final String STATE_DIR_VARIABLE = "TANSYFERRY_STATE_DIR";

    private final Emulation emulation;
    private final EmulatedEnvironment environment;
    private final LaunchCommand launchCommand;
    private final Path outputDirectory;
    private final Scenario scenario;
    private final StateDirectories stateDirectories;
    private final List<RunInvariant> properties;
    private final ProcessSpawner spawner = new ProcessSpawner();
    private final ScheduledExecutorService executor =
            Executors.newSingleThreadScheduledExecutor(
                    work -> {
                        Thread t = new Thread(work, "fleet");
                        t.setDaemon(true);
                        return t;
                    });
    private final List<BalancerProcess> balancers = new ArrayList<>();
    private final int[] startCounts;
    private boolean limitExceeded;

    /**
     * Creates a fleet without processes; {@code properties} are notified of events and log lines.
     */
    public ProcessFleet(
            Emulation emulation,
            EmulatedEnvironment environment,
            LaunchCommand launchCommand,
            Path outputDirectory,
            List<RunInvariant> properties) {
        this.properties = List.copyOf(properties);
        this.emulation = emulation;
        this.environment = environment;
        this.launchCommand = launchCommand;
        this.outputDirectory = outputDirectory;
        this.scenario = emulation.scenario();
        this.stateDirectories = new StateDirectories(outputDirectory.resolve("state"));
        for (int balancer = 0; balancer < scenario.fleet().balancers(); balancer++) {
            int balancerNumber = balancer;
            balancers.add(
                    new BalancerProcess(
                            balancer,
                            outputDirectory.resolve("n" + balancer + ".log"),
                            emulation::nowMicros,
                            (atMicros, line) ->
                                    emulation
                                            .eventLoop()
                                            .execute(
                                                    () ->
                                                            properties.forEach(
                                                                    property ->
                                                                            property.onLogLine(
                                                                                    balancerNumber,
                                                                                    atMicros,
                                                                                    line)))));
        }
        startCounts = new int[balancers.size()];
    }

    /** The balancers by number. */
    public List<BalancerProcess> balancers() {
        return balancers;
    }

    /** Starts all, together or in step; returns once they run, before they are ready. */
    public void startAll() throws IOException, InterruptedException {
        for (BalancerProcess balancer : balancers) {
            start(balancer);
            if (scenario.fleet().startMode().equals("in_step")) {
                TimeUnit.MILLISECONDS.sleep(scenario.fleet().startStepMs());
            }
        }
        executor.scheduleWithFixedDelay(
                this::sampleProcesses,
                SAMPLE_INTERVAL_MS,
                SAMPLE_INTERVAL_MS,
                TimeUnit.MILLISECONDS);
    }

    private void start(BalancerProcess balancer) throws IOException {
        int number = balancer.number();
        Path tempDirectory =
                createEmptyDirectory(outputDirectory.resolve("tmp").resolve("n" + number));
        Path configFile = outputDirectory.resolve("n" + number + ".json");
        long seed =
                RandomStreams.seedFor(
                        emulation.plan().seed(),
                        "balancer " + number + " start " + startCounts[number]++);
        Files.writeString(
                configFile,
                new ObjectMapper()
                        .writeValueAsString(
                                callOnEventLoop(() -> environment.configuration(number, seed))));
        ProcessBuilder builder =
                new ProcessBuilder().redirectOutput(ProcessBuilder.Redirect.DISCARD);
        Map<String, String> variables = builder.environment();
        variables.keySet().retainAll(List.of("PATH", "HOME", "LANG", "JAVA_HOME"));
        variables.put("ROUTER_NAME", "n" + number);
        variables.put("ROUTER_CONFIG", configFile.toString());
        variables.put("TMPDIR", tempDirectory.toString());
        variables.putAll(scenario.fleet().environment());
        if (scenario.fleet().stateDir()) {
            stateDirectories.backUp(number);
            variables.put(STATE_DIR_VARIABLE, stateDirectories.directoryOf(number).toString());
        }
        Process process =
                spawner.start(launchCommand.command(), scenario.fleet().sockets(), builder);
        balancer.onStarted(process);
        process.onExit().thenAccept(ended -> onEnded(balancer, ended));
    }

    // Later, on the event loop that the invariants belong to
    private void recordViolation(String rule, String description) {
        emulation
                .eventLoop()
                .execute(
                        () ->
                                emulation
                                        .invariants()
                                        .recordViolation(
                                                rule, emulation.nowMicros(), null, description));
    }

    private <T> T callOnEventLoop(java.util.concurrent.Callable<T> work) throws IOException {
        try {
            return emulation.eventLoop().submit(work).get(10, TimeUnit.SECONDS);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            throw new IOException(e);
        } catch (ExecutionException | TimeoutException e) {
            throw new IOException(e);
        }
    }

    private static Path createEmptyDirectory(Path directory) throws IOException {
        Files.createDirectories(directory);
        try (var files = Files.list(directory)) {
            for (Path file : files.toList()) {
                Files.delete(file);
            }
        }
        return directory;
    }

    private void onEnded(BalancerProcess balancer, Process process) {
        boolean expected = balancer.expectedToEnd();
        int exitCode = process.exitValue();
        balancer.onEnded(expected ? "ended as asked" : "crashed");
        if (!expected) {
            recordViolation(
                    "no crash",
                    "n" + balancer.number() + " ended by itself with exit code " + exitCode);
        }
    }

    /** Schedules the begin and the end of each fault of the plan that concerns processes. */
    public void scheduleFaults() {
        for (WorkloadPlan.Fault fault : emulation.plan().faults()) {
            if (fault.kind() != FaultKind.KILL
                    && fault.kind() != FaultKind.TERM
                    && fault.kind() != FaultKind.PAUSE) {
                continue;
            }
            scheduleAt(fault.startMicros(), () -> beginFault(fault));
            if (fault.endMicros() >= 0) {
                scheduleAt(fault.endMicros(), () -> endFault(fault));
            }
        }
    }

    private interface FaultAction {
        void run() throws IOException;
    }

    private void scheduleAt(long atMicros, FaultAction action) {
        executor.schedule(
                () -> {
                    try {
                        action.run();
                    } catch (IOException | RuntimeException e) {
                        recordViolation("testbed", "a fault could not be played: " + e);
                    }
                },
                Math.max(0, atMicros - emulation.nowMicros()),
                TimeUnit.MICROSECONDS);
    }

    private void beginFault(WorkloadPlan.Fault fault) throws IOException {
        List<BalancerProcess> targets = fault.balancers().stream().map(balancers::get).toList();
        List<Process> processes = targets.stream().map(BalancerProcess::process).toList();
        if (fault.kind() == FaultKind.TERM) {
            targets.forEach(BalancerProcess::expectEnd);
            callOnEventLoop(
                    () ->
                            notifyProperties(
                                    targets,
                                    (property, balancer) ->
                                            property.onProcessStopped(
                                                    balancer, emulation.nowMicros(), true)));
            ProcessSpawner.signal("TERM", processes);
            processes.forEach(this::enforceShutdownTimeout);
            return;
        }
        // Before the signal, since the balancer is excused from what happens after it.
        callOnEventLoop(
                () -> {
                    targets.forEach(
                            balancer ->
                                    emulation
                                            .invariants()
                                            .outageStarted(
                                                    balancer.number(), emulation.nowMicros()));
                    boolean paused = fault.kind() == FaultKind.PAUSE;
                    return notifyProperties(
                            targets,
                            (property, balancer) -> {
                                if (paused) {
                                    property.onPauseChanged(balancer, emulation.nowMicros(), true);
                                } else {
                                    property.onProcessStopped(
                                            balancer, emulation.nowMicros(), false);
                                }
                            });
                });
        if (fault.kind() == FaultKind.KILL) {
            targets.forEach(BalancerProcess::expectEnd);
            ProcessSpawner.signal("KILL", processes);
        } else {
            ProcessSpawner.signal("STOP", processes);
        }
    }

    private void endFault(WorkloadPlan.Fault fault) throws IOException {
        List<BalancerProcess> targets = fault.balancers().stream().map(balancers::get).toList();
        if (fault.kind() == FaultKind.PAUSE) {
            ProcessSpawner.signal("CONT", targets.stream().map(BalancerProcess::process).toList());
            callOnEventLoop(
                    () ->
                            notifyProperties(
                                    targets,
                                    (property, balancer) ->
                                            property.onPauseChanged(
                                                    balancer, emulation.nowMicros(), false)));
        } else {
            for (BalancerProcess balancer : targets) {
                awaitEnd(balancer);
                if (scenario.fleet().stateDir()) {
                    stateDirectories.applyStateChange(
                            balancer.number(),
                            fault.spec().stateChange(),
                            fault.spec().byteOffset());
                }
                callOnEventLoop(
                        () ->
                                notifyProperties(
                                        List.of(balancer),
                                        (property, number) ->
                                                property.onProcessStarted(
                                                        number, emulation.nowMicros())));
                start(balancer);
            }
        }
        callOnEventLoop(
                () -> {
                    targets.forEach(
                            balancer ->
                                    emulation
                                            .invariants()
                                            .outageEnded(balancer.number(), emulation.nowMicros()));
                    return null;
                });
    }

    // On a busy machine a killed process ends some time after the signal.
    private static void awaitEnd(BalancerProcess balancer) throws IOException {
        try {
            if (!balancer.process().waitFor(SHUTDOWN_TIMEOUT_MS, TimeUnit.MILLISECONDS)) {
                throw new IOException(
                        "n" + balancer.number() + " is to start again and has not ended");
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            throw new IOException(e);
        }
    }

    private Void notifyProperties(
            List<BalancerProcess> targets, ObjIntConsumer<RunInvariant> notification) {
        targets.forEach(
                balancer ->
                        properties.forEach(
                                property -> notification.accept(property, balancer.number())));
        return null;
    }

    private void enforceShutdownTimeout(Process process) {
        executor.schedule(
                () -> {
                    if (process.isAlive()) {
                        process.destroyForcibly();
                        recordViolation(
                                "an orderly end",
                                "a process still ran " + SHUTDOWN_TIMEOUT_MS + " ms after SIGTERM");
                    }
                },
                SHUTDOWN_TIMEOUT_MS,
                TimeUnit.MILLISECONDS);
    }

    private void sampleProcesses() {
        for (BalancerProcess balancer : balancers) {
            balancer.sampleUsage();
            long memoryMb = balancer.peakResidentKb() >> 10;
            if (!limitExceeded
                    && (memoryMb > scenario.fleet().memoryMb()
                            || balancer.peakDescriptors() > scenario.fleet().sockets())) {
                limitExceeded = true;
                recordViolation(
                        "limits",
                        "n"
                                + balancer.number()
                                + " had "
                                + memoryMb
                                + " MB and "
                                + balancer.peakDescriptors()
                                + " descriptors");
            }
        }
    }

    /**
     * Sends SIGTERM to all that run; returns when all have ended, killed if they did not in time.
     */
    public void stopAll() throws IOException, InterruptedException {
        List<BalancerProcess> running =
                balancers.stream()
                        .filter(
                                balancer ->
                                        balancer.process() != null && balancer.process().isAlive())
                        .toList();
        running.forEach(BalancerProcess::expectEnd);
        List<Process> processes = running.stream().map(BalancerProcess::process).toList();
        ProcessSpawner.signal("TERM", processes);
        long deadlineNanos = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(SHUTDOWN_TIMEOUT_MS);
        for (BalancerProcess balancer : running) {
            Process process = balancer.process();
            if (!process.waitFor(
                    Math.max(0, deadlineNanos - System.nanoTime()), TimeUnit.NANOSECONDS)) {
                process.destroyForcibly().waitFor();
                emulation
                        .invariants()
                        .recordViolation(
                                "an orderly end",
                                emulation.nowMicros(),
                                null,
                                "n"
                                        + balancer.number()
                                        + " still ran "
                                        + SHUTDOWN_TIMEOUT_MS
                                        + " ms after SIGTERM");
            } else if (process.exitValue() != 0) {
                emulation
                        .invariants()
                        .recordViolation(
                                "an orderly end",
                                emulation.nowMicros(),
                                null,
                                "n"
                                        + balancer.number()
                                        + " ended with exit code "
                                        + process.exitValue()
                                        + " after SIGTERM");
            }
            // The notification of the system comes later, on another thread.
            balancer.onEnded("ended as asked");
        }
    }

    @Override
    public void close() {
        executor.shutdownNow();
        spawner.close();
    }
}

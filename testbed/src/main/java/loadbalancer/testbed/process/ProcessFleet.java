package loadbalancer.testbed.process;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.Callable;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import java.util.function.ObjIntConsumer;
import loadbalancer.testbed.emulation.EmulatedEnvironment;
import loadbalancer.testbed.emulation.Emulation;
import loadbalancer.testbed.emulation.Json;
import loadbalancer.testbed.error.EventLoopException;
import loadbalancer.testbed.error.ProcessFailedException;
import loadbalancer.testbed.invariant.RunInvariant;
import loadbalancer.testbed.scenario.FaultKind;
import loadbalancer.testbed.scenario.Scenario;
import loadbalancer.testbed.workload.RandomStreams;
import loadbalancer.testbed.workload.WorkloadPlan;

/**
 * Starts, ends, pauses and restarts the balancers' processes according to the plan, and checks that
 * they stay within their limits. Faults are applied and processes sampled on the fleet's own
 * thread; invariants are notified on the emulation's event loop. {@link #close} ends the thread and
 * every process.
 */
public final class ProcessFleet implements AutoCloseable {
    private static final long SAMPLE_INTERVAL_MS = 250;
    // Counted from SIGTERM: the longest deadline of a request plus 0.7 s.
    private static final long SHUTDOWN_TIMEOUT_MS = 3_700;
    private static final long EVENT_LOOP_TIMEOUT_SECONDS = 10;
    private static final String SHUTDOWN_INVARIANT = "an orderly end";
    private static final String ENDED_AS_EXPECTED = "ended as expected";
    private static final String CRASHED = "crashed";

    private final Emulation emulation;
    private final EmulatedEnvironment environment;
    private final LaunchCommand launchCommand;
    private final Path outputDirectory;
    private final Scenario scenario;
    private final StateDirectories stateDirectories;
    private final List<RunInvariant> invariants;
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
     * Creates a fleet without processes.
     *
     * @param outputDirectory directory of configurations, logs, temporary files and state
     * @param invariants notified of events and log lines on the emulation's event loop
     */
    public ProcessFleet(
            Emulation emulation,
            EmulatedEnvironment environment,
            LaunchCommand launchCommand,
            Path outputDirectory,
            List<RunInvariant> invariants) {
        this.invariants = List.copyOf(invariants);
        this.emulation = emulation;
        this.environment = environment;
        this.launchCommand = launchCommand;
        this.outputDirectory = outputDirectory;
        this.scenario = emulation.scenario();
        this.stateDirectories = new StateDirectories(outputDirectory.resolve("state"));
        for (int balancer = 0; balancer < scenario.fleet().balancers(); balancer++) {
            int number = balancer;
            balancers.add(
                    new BalancerProcess(
                            number,
                            outputDirectory.resolve("n" + number + ".log"),
                            emulation::nowMicros,
                            (atMicros, line) -> onLogLine(number, atMicros, line)));
        }
        startCounts = new int[balancers.size()];
    }

    /** Handles a log line on the thread that read it; notifies the invariants on the event loop. */
    private void onLogLine(int balancer, long atMicros, String line) {
        emulation
                .eventLoop()
                .execute(
                        () ->
                                invariants.forEach(
                                        invariant ->
                                                invariant.onLogLine(balancer, atMicros, line)));
    }

    /** Returns the balancers in order of their numbers. */
    public List<BalancerProcess> balancers() {
        return balancers;
    }

    /**
     * Starts all processes, at once or one after another as the scenario specifies, and begins to
     * sample their resource usage. Returns when they run, which is before they are ready.
     *
     * @throws IOException if a process can't be started
     */
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
                Json.write(callOnEventLoop(() -> environment.configuration(number, seed))));
        ProcessBuilder builder =
                new ProcessBuilder().redirectOutput(ProcessBuilder.Redirect.DISCARD);
        Map<String, String> variables =
                BalancerEnvironment.configure(builder, "n" + number, configFile, tempDirectory);
        variables.putAll(scenario.fleet().environment());
        if (scenario.fleet().stateDir()) {
            stateDirectories.backUp(number);
            variables.put(
                    BalancerEnvironment.STATE_DIRECTORY_VARIABLE,
                    stateDirectories.directoryOf(number).toString());
        }
        Process process =
                spawner.start(launchCommand.command(), scenario.fleet().sockets(), builder);
        balancer.onStarted(process);
        process.onExit().thenAccept(ended -> onEnded(balancer, ended));
    }

    /** Submits a violation to the emulation's event loop without waiting until it is recorded. */
    private void recordViolationLater(String rule, String description) {
        emulation.eventLoop().execute(() -> recordViolation(rule, description));
    }

    private void recordViolation(String rule, String description) {
        emulation.invariants().recordViolation(rule, emulation.nowMicros(), null, description);
    }

    private <T> T callOnEventLoop(Callable<T> work) throws IOException {
        try {
            return emulation
                    .eventLoop()
                    .submit(work)
                    .get(EVENT_LOOP_TIMEOUT_SECONDS, TimeUnit.SECONDS);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            throw new EventLoopException(e);
        } catch (ExecutionException | TimeoutException e) {
            throw new EventLoopException(e);
        }
    }

    private void runOnEventLoop(Runnable work) throws IOException {
        callOnEventLoop(Executors.callable(work));
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
        balancer.onEnded(expected ? ENDED_AS_EXPECTED : CRASHED);
        if (!expected) {
            recordViolationLater(
                    "no crash",
                    "n" + balancer.number() + " ended by itself with exit code " + exitCode);
        }
    }

    /** Schedules the start and the end of each fault of the plan that affects processes. */
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
                        recordViolationLater("testbed", "a fault could not be injected: " + e);
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
            notifyInvariants(
                    targets,
                    (invariant, balancer) ->
                            invariant.onProcessStopped(balancer, emulation.nowMicros(), true));
            ProcessSpawner.signal("TERM", processes);
            processes.forEach(this::enforceShutdownTimeout);
            return;
        }
        // The invariants are notified first: they tolerate failures only after the notification.
        boolean paused = fault.kind() == FaultKind.PAUSE;
        runOnEventLoop(
                () -> {
                    startOutages(targets);
                    notifyInvariantsNow(
                            targets,
                            (invariant, balancer) -> {
                                if (paused) {
                                    invariant.onPauseChanged(balancer, emulation.nowMicros(), true);
                                } else {
                                    invariant.onProcessStopped(
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
            notifyInvariants(
                    targets,
                    (invariant, balancer) ->
                            invariant.onPauseChanged(balancer, emulation.nowMicros(), false));
        } else {
            for (BalancerProcess balancer : targets) {
                restart(balancer, fault);
            }
        }
        runOnEventLoop(() -> endOutages(targets));
    }

    private void restart(BalancerProcess balancer, WorkloadPlan.Fault fault) throws IOException {
        awaitEnd(balancer);
        if (scenario.fleet().stateDir()) {
            stateDirectories.applyStateChange(
                    balancer.number(), fault.spec().stateChange(), fault.spec().byteOffset());
        }
        notifyInvariants(
                List.of(balancer),
                (invariant, number) -> invariant.onProcessStarted(number, emulation.nowMicros()));
        start(balancer);
    }

    private void startOutages(List<BalancerProcess> targets) {
        for (BalancerProcess balancer : targets) {
            emulation.invariants().outageStarted(balancer.number(), emulation.nowMicros());
        }
    }

    private void endOutages(List<BalancerProcess> targets) {
        for (BalancerProcess balancer : targets) {
            emulation.invariants().outageEnded(balancer.number(), emulation.nowMicros());
        }
    }

    // On a busy machine, a killed process may end some time after the signal.
    private static void awaitEnd(BalancerProcess balancer) throws IOException {
        try {
            if (!balancer.process().waitFor(SHUTDOWN_TIMEOUT_MS, TimeUnit.MILLISECONDS)) {
                throw new ProcessFailedException(
                        "n"
                                + balancer.number()
                                + " can't be restarted: its previous process has not ended");
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            throw new ProcessFailedException(e);
        }
    }

    /** Notifies every invariant of each target on the event loop, and waits until that is done. */
    private void notifyInvariants(
            List<BalancerProcess> targets, ObjIntConsumer<RunInvariant> notification)
            throws IOException {
        runOnEventLoop(() -> notifyInvariantsNow(targets, notification));
    }

    private void notifyInvariantsNow(
            List<BalancerProcess> targets, ObjIntConsumer<RunInvariant> notification) {
        for (BalancerProcess balancer : targets) {
            for (RunInvariant invariant : invariants) {
                notification.accept(invariant, balancer.number());
            }
        }
    }

    private void enforceShutdownTimeout(Process process) {
        executor.schedule(
                () -> {
                    if (process.isAlive()) {
                        process.destroyForcibly();
                        recordViolationLater(
                                SHUTDOWN_INVARIANT,
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
                recordViolationLater(
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
     * Sends SIGTERM to all processes that run, and waits until all have ended. A process that
     * exceeds the timeout is killed, and a violation is recorded.
     *
     * @throws IOException if the signal can't be sent
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
                recordViolation(
                        SHUTDOWN_INVARIANT,
                        "n"
                                + balancer.number()
                                + " still ran "
                                + SHUTDOWN_TIMEOUT_MS
                                + " ms after SIGTERM");
            } else if (process.exitValue() != 0) {
                recordViolation(
                        SHUTDOWN_INVARIANT,
                        "n"
                                + balancer.number()
                                + " ended with exit code "
                                + process.exitValue()
                                + " after SIGTERM");
            }
            // Process.onExit notifies later, on another thread.
            balancer.onEnded(ENDED_AS_EXPECTED);
        }
    }

    @Override
    public void close() {
        executor.shutdownNow();
        spawner.close();
    }
}

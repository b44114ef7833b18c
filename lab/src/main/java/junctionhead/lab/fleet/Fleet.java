package junctionhead.lab.fleet;

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
import junctionhead.lab.plan.Plan;
import junctionhead.lab.plan.Seeds;
import junctionhead.lab.rules.Property;
import junctionhead.lab.scenario.FaultKind;
import junctionhead.lab.scenario.Scenario;
import junctionhead.lab.stand.Stage;
import junctionhead.lab.stand.World;

/**
 * The balancers' processes: starts, ends, pauses and restarts them as the plan says, and watches
 * that they stay within their limits. One thread does all of it; what concerns the rules is told on
 * the world's loop.
 */
public final class Fleet implements AutoCloseable {
    private static final long MEASURE_MS = 250;
    // From SIGTERM: the longest deadline and 0.7 s
    private static final long END_MS = 3_700;
    private static final String STATE_VARIABLE = "TANSYFERRY_STATE_DIR";

    private final World world;
    private final Stage stage;
    private final Launch launch;
    private final Path out;
    private final Scenario scenario;
    private final StateDirs states;
    private final List<Property> properties;
    private final Spawner spawner = new Spawner();
    private final ScheduledExecutorService thread =
            Executors.newSingleThreadScheduledExecutor(
                    work -> {
                        Thread t = new Thread(work, "fleet");
                        t.setDaemon(true);
                        return t;
                    });
    private final List<Balancer> balancers = new ArrayList<>();
    private final int[] starts;
    private boolean overLimit;

    /** {@code properties} hear what processes go through and log. */
    public Fleet(World world, Stage stage, Launch launch, Path out, List<Property> properties) {
        this.properties = List.copyOf(properties);
        this.world = world;
        this.stage = stage;
        this.launch = launch;
        this.out = out;
        this.scenario = world.scenario();
        this.states = new StateDirs(out.resolve("state"));
        for (int b = 0; b < scenario.fleet().balancers(); b++) {
            int of = b;
            balancers.add(
                    new Balancer(
                            b,
                            out.resolve("n" + b + ".log"),
                            world::now,
                            (at, line) ->
                                    world.loop()
                                            .execute(
                                                    () ->
                                                            properties.forEach(
                                                                    p -> p.line(of, at, line)))));
        }
        starts = new int[balancers.size()];
    }

    public List<Balancer> balancers() {
        return balancers;
    }

    /** Starts all, together or in step; returns once they are started, not once they are ready. */
    public void startAll() throws IOException, InterruptedException {
        for (Balancer b : balancers) {
            start(b);
            if (scenario.fleet().start().equals("in_step")) {
                TimeUnit.MILLISECONDS.sleep(scenario.fleet().stepMs());
            }
        }
        thread.scheduleWithFixedDelay(this::measure, MEASURE_MS, MEASURE_MS, TimeUnit.MILLISECONDS);
    }

    private void start(Balancer b) throws IOException {
        int n = b.number();
        Path tmp = empty(out.resolve("tmp").resolve("n" + n));
        Path config = out.resolve("n" + n + ".json");
        long seed = Seeds.number(world.plan().seed(), "balancer " + n + " start " + starts[n]++);
        Files.writeString(
                config,
                new ObjectMapper().writeValueAsString(onLoop(() -> stage.configuration(n, seed))));
        ProcessBuilder builder =
                new ProcessBuilder().redirectOutput(ProcessBuilder.Redirect.DISCARD);
        Map<String, String> environment = builder.environment();
        environment.keySet().retainAll(List.of("PATH", "HOME", "LANG", "JAVA_HOME"));
        environment.put("ROUTER_NAME", "n" + n);
        environment.put("ROUTER_CONFIG", config.toString());
        environment.put("TMPDIR", tmp.toString());
        environment.putAll(scenario.fleet().environment());
        if (scenario.fleet().stateDir()) {
            states.remember(n);
            environment.put(STATE_VARIABLE, states.of(n).toString());
        }
        Process process = spawner.start(launch.command(), scenario.fleet().sockets(), builder);
        b.started(process);
        process.onExit().thenAccept(ended -> ended(b, ended));
    }

    private <T> T onLoop(java.util.concurrent.Callable<T> work) throws IOException {
        try {
            return world.loop().submit(work).get(10, TimeUnit.SECONDS);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            throw new IOException(e);
        } catch (ExecutionException | TimeoutException e) {
            throw new IOException(e);
        }
    }

    private static Path empty(Path dir) throws IOException {
        Files.createDirectories(dir);
        try (var files = Files.list(dir)) {
            for (Path file : files.toList()) {
                Files.delete(file);
            }
        }
        return dir;
    }

    private void ended(Balancer b, Process process) {
        boolean expected = b.expectedToEnd();
        int code = process.exitValue();
        b.ended(expected ? "ended as asked" : "crashed");
        if (!expected) {
            world.loop()
                    .execute(
                            () ->
                                    world.rules()
                                            .breach(
                                                    "no crash",
                                                    world.now(),
                                                    null,
                                                    "n"
                                                            + b.number()
                                                            + " ended by itself with exit code "
                                                            + code));
        }
    }

    /** Has every process fault of the plan begin and end at its time. */
    public void play() {
        for (Plan.Fault f : world.plan().faults()) {
            if (f.kind() != FaultKind.KILL
                    && f.kind() != FaultKind.TERM
                    && f.kind() != FaultKind.PAUSE) {
                continue;
            }
            later(f.at(), () -> begin(f));
            if (f.until() >= 0) {
                later(f.until(), () -> end(f));
            }
        }
    }

    private interface Work {
        void run() throws IOException;
    }

    private void later(long at, Work work) {
        thread.schedule(
                () -> {
                    try {
                        work.run();
                    } catch (IOException | RuntimeException e) {
                        world.loop()
                                .execute(
                                        () ->
                                                world.rules()
                                                        .breach(
                                                                "lab",
                                                                world.now(),
                                                                null,
                                                                "a fault could not be played: "
                                                                        + e));
                    }
                },
                Math.max(0, at - world.now()),
                TimeUnit.MICROSECONDS);
    }

    private void begin(Plan.Fault f) throws IOException {
        List<Balancer> on = f.balancers().stream().map(balancers::get).toList();
        List<Process> processes = on.stream().map(Balancer::process).toList();
        if (f.kind() == FaultKind.TERM) {
            on.forEach(Balancer::expectEnd);
            onLoop(() -> tell(on, (p, b) -> p.down(b, world.now(), true)));
            Spawner.signal("TERM", processes);
            processes.forEach(this::endsInTime);
            return;
        }
        // Told before the signal: what happens after it is nobody's fault.
        onLoop(
                () -> {
                    on.forEach(b -> world.rules().outFrom(b.number(), world.now()));
                    boolean paused = f.kind() == FaultKind.PAUSE;
                    return tell(
                            on,
                            (p, b) -> {
                                if (paused) {
                                    p.paused(b, world.now(), true);
                                } else {
                                    p.down(b, world.now(), false);
                                }
                            });
                });
        if (f.kind() == FaultKind.KILL) {
            on.forEach(Balancer::expectEnd);
            Spawner.signal("KILL", processes);
        } else {
            Spawner.signal("STOP", processes);
        }
    }

    private void end(Plan.Fault f) throws IOException {
        List<Balancer> on = f.balancers().stream().map(balancers::get).toList();
        if (f.kind() == FaultKind.PAUSE) {
            Spawner.signal("CONT", on.stream().map(Balancer::process).toList());
            onLoop(() -> tell(on, (p, b) -> p.paused(b, world.now(), false)));
        } else {
            for (Balancer b : on) {
                ended(b);
                if (scenario.fleet().stateDir()) {
                    states.change(b.number(), f.text().state(), f.text().at());
                }
                onLoop(() -> tell(List.of(b), (p, n) -> p.up(n, world.now())));
                start(b);
            }
        }
        onLoop(
                () -> {
                    on.forEach(b -> world.rules().backAt(b.number(), world.now()));
                    return null;
                });
    }

    // A process that was killed is gone a little later, on a busy machine.
    private static void ended(Balancer b) throws IOException {
        try {
            if (!b.process().waitFor(END_MS, TimeUnit.MILLISECONDS)) {
                throw new IOException("n" + b.number() + " is to start again and has not ended");
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            throw new IOException(e);
        }
    }

    private Void tell(List<Balancer> of, ObjIntConsumer<Property> what) {
        of.forEach(b -> properties.forEach(p -> what.accept(p, b.number())));
        return null;
    }

    private void endsInTime(Process process) {
        thread.schedule(
                () -> {
                    if (process.isAlive()) {
                        process.destroyForcibly();
                        world.loop()
                                .execute(
                                        () ->
                                                world.rules()
                                                        .breach(
                                                                "an orderly end",
                                                                world.now(),
                                                                null,
                                                                "a process still ran "
                                                                        + END_MS
                                                                        + " ms after SIGTERM"));
                    }
                },
                END_MS,
                TimeUnit.MILLISECONDS);
    }

    private void measure() {
        for (Balancer b : balancers) {
            b.measure();
            long memory = b.residentKb() >> 10;
            if (!overLimit
                    && (memory > scenario.fleet().memoryMb()
                            || b.descriptors() > scenario.fleet().sockets())) {
                overLimit = true;
                world.loop()
                        .execute(
                                () ->
                                        world.rules()
                                                .breach(
                                                        "limits",
                                                        world.now(),
                                                        null,
                                                        "n"
                                                                + b.number()
                                                                + " had "
                                                                + memory
                                                                + " MB and "
                                                                + b.descriptors()
                                                                + " descriptors"));
            }
        }
    }

    /** SIGTERM to all that run; returns when all have ended, by force if they don't. */
    public void stopAll() throws IOException, InterruptedException {
        List<Balancer> running =
                balancers.stream()
                        .filter(b -> b.process() != null && b.process().isAlive())
                        .toList();
        running.forEach(Balancer::expectEnd);
        List<Process> processes = running.stream().map(Balancer::process).toList();
        Spawner.signal("TERM", processes);
        long until = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(END_MS);
        for (Balancer b : running) {
            Process p = b.process();
            if (!p.waitFor(Math.max(0, until - System.nanoTime()), TimeUnit.NANOSECONDS)) {
                p.destroyForcibly().waitFor();
                world.rules()
                        .breach(
                                "an orderly end",
                                world.now(),
                                null,
                                "n" + b.number() + " still ran " + END_MS + " ms after SIGTERM");
            } else if (p.exitValue() != 0) {
                world.rules()
                        .breach(
                                "an orderly end",
                                world.now(),
                                null,
                                "n"
                                        + b.number()
                                        + " ended with exit code "
                                        + p.exitValue()
                                        + " after SIGTERM");
            }
            // the system tells of it on a thread of its own, later
            b.ended("ended as asked");
        }
    }

    @Override
    public void close() {
        thread.shutdownNow();
        spawner.close();
    }
}

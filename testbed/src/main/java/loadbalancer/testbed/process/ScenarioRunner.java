package loadbalancer.testbed.process;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Locale;
import java.util.SortedMap;
import java.util.TreeMap;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.regex.Pattern;
import java.util.stream.IntStream;
import java.util.stream.Stream;
import loadbalancer.testbed.emulation.EmulatedEnvironment;
import loadbalancer.testbed.emulation.Emulation;
import loadbalancer.testbed.emulation.UpstreamEmulator;
import loadbalancer.testbed.invariant.ClientAttempt;
import loadbalancer.testbed.invariant.LeaseEpochOrderInvariant;
import loadbalancer.testbed.invariant.MembershipAgreementInvariant;
import loadbalancer.testbed.invariant.MutualExclusionInvariant;
import loadbalancer.testbed.invariant.RequestInvariants;
import loadbalancer.testbed.invariant.RunInvariant;
import loadbalancer.testbed.invariant.Violation;
import loadbalancer.testbed.invariant.ZoneFailoverInvariant;
import loadbalancer.testbed.scenario.FaultKind;
import loadbalancer.testbed.scenario.Scenario;
import loadbalancer.testbed.statistics.RunResult;
import loadbalancer.testbed.statistics.RunResultBuilder;
import loadbalancer.testbed.workload.WorkloadPlan;

/** One run of a scenario with real processes, from the first start to the written result. */
public final class ScenarioRunner {
    private static final long READY_TIMEOUT_S = 30;
    // µs between readiness and the first client
    private static final long LEAD_TIME_MICROS = 300_000;
    // Past its length a run is ended by force
    private static final long MAX_OVERRUN_S = 90;
    // 99th percentile of the testbed's own lateness
    private static final double MAX_LATENESS_MICROS = 25e3;
    private static final int MAX_TRACES = 3;

    private final WorkloadPlan plan;
    private final LaunchCommand launchCommand;
    private final Path outputDirectory;
    private final Consumer<String> progressListener;
    private final List<Violation> reportedViolations = new ArrayList<>();

    /**
     * Creates a runner.
     *
     * @param outputDirectory for logs, state directories and the result; created if missing
     * @param progressListener is notified of each line of progress
     */
    public ScenarioRunner(
            WorkloadPlan plan,
            LaunchCommand launchCommand,
            Path outputDirectory,
            Consumer<String> progressListener) {
        this.plan = plan;
        this.launchCommand = launchCommand;
        this.outputDirectory = outputDirectory;
        this.progressListener = progressListener;
    }

    /**
     * Plays the plan and writes its result. Returns within a bounded time, without leaving a
     * process.
     *
     * @throws IOException if a process or file of the run can't be handled
     */
    public RunResult run() throws IOException, InterruptedException {
        Files.createDirectories(outputDirectory);
        RequestInvariants invariants = new RequestInvariants(plan.scenario(), this::onViolation);
        List<RunInvariant> properties = createProperties();
        try (Emulation emulation = new Emulation(plan, invariants);
                EmulatedEnvironment environment = new EmulatedEnvironment(emulation);
                ProcessFleet fleet =
                        new ProcessFleet(
                                emulation,
                                environment,
                                launchCommand,
                                outputDirectory,
                                properties)) {
            if (startFleet(emulation, environment, fleet)) {
                CountDownLatch done = new CountDownLatch(1);
                emulation.startIn(LEAD_TIME_MICROS);
                environment.start(done::countDown);
                fleet.scheduleFaults();
                awaitCompletion(emulation, done);
            } else {
                invariants.recordViolation(
                        "a start",
                        emulation.nowMicros(),
                        null,
                        "not every balancer was ready within "
                                + READY_TIMEOUT_S
                                + " s; nothing was played");
            }
            SortedMap<String, Double> metrics = endInvariants(emulation, properties);
            fleet.stopAll();
            RunResult result =
                    emulation
                            .eventLoop()
                            .submit(() -> buildResult(emulation, environment, fleet, metrics))
                            .get();
            result.write(outputDirectory);
            printTraces(invariants, fleet);
            return result;
        } catch (ExecutionException e) {
            throw new IOException(e.getCause());
        }
    }

    private boolean startFleet(
            Emulation emulation, EmulatedEnvironment environment, ProcessFleet fleet)
            throws IOException, InterruptedException {
        long startNanos = System.nanoTime();
        progressListener.accept(
                plan.scenario().name()
                        + ": seed "
                        + plan.seed()
                        + ", plan "
                        + plan.digest()
                        + ", "
                        + plan.arrivals().size()
                        + " requests; starting "
                        + fleet.balancers().size()
                        + " balancers");
        fleet.startAll();
        environment.startReadinessPolling();
        boolean ready = awaitReady(emulation, environment);
        progressListener.accept(
                String.format(
                        Locale.ROOT,
                        "%s after %.1f s",
                        ready ? "all ready" : "not all ready",
                        (System.nanoTime() - startNanos) / 1e9));
        return ready;
    }

    private static SortedMap<String, Double> endInvariants(
            Emulation emulation, List<RunInvariant> properties) {
        RequestInvariants invariants = emulation.invariants();
        SortedMap<String, Double> metrics = new TreeMap<>();
        emulation
                .eventLoop()
                .submit(() -> invariants.runEnded(emulation.nowMicros()))
                .syncUninterruptibly();
        emulation
                .eventLoop()
                .submit(
                        () ->
                                properties.forEach(
                                        property ->
                                                property.onRunEnd(
                                                        emulation.nowMicros(),
                                                        invariants,
                                                        metrics)))
                .syncUninterruptibly();
        return metrics;
    }

    private void onViolation(Violation violation) {
        synchronized (reportedViolations) {
            reportedViolations.add(violation);
            if (reportedViolations.size() <= MAX_TRACES) {
                progressListener.accept(violation.toString());
            }
        }
    }

    private boolean awaitReady(Emulation emulation, EmulatedEnvironment environment)
            throws IOException, InterruptedException {
        long deadlineNanos = System.nanoTime() + TimeUnit.SECONDS.toNanos(READY_TIMEOUT_S);
        while (System.nanoTime() < deadlineNanos && emulation.invariants().violationCount() == 0) {
            TimeUnit.MILLISECONDS.sleep(50);
            try {
                if (emulation
                        .eventLoop()
                        .submit(
                                () ->
                                        IntStream.range(0, plan.scenario().fleet().balancers())
                                                .allMatch(environment::isInRotation))
                        .get()) {
                    return true;
                }
            } catch (ExecutionException e) {
                throw new IOException(e.getCause());
            }
        }
        return false;
    }

    private void awaitCompletion(Emulation emulation, CountDownLatch done)
            throws InterruptedException {
        long steps = Math.round(plan.scenario().lengthS()) + MAX_OVERRUN_S;
        for (int second = 0; second < steps && !done.await(1, TimeUnit.SECONDS); second++) {
            long nowMicros = emulation.nowMicros();
            if (second % 5 == 4 && nowMicros < plan.scenario().lengthMicros()) {
                progressListener.accept(
                        String.format(
                                Locale.ROOT,
                                "%4.0f of %.0f s, served %.3f of the last 5 s, %d rules broken",
                                nowMicros / 1e6,
                                plan.scenario().lengthS(),
                                emulation
                                        .windows()
                                        .servedFraction(
                                                nowMicros - 6_000_000, nowMicros - 1_000_000),
                                emulation.invariants().violationCount()));
            }
        }
        if (done.getCount() > 0) {
            emulation
                    .invariants()
                    .recordViolation(
                            "testbed",
                            emulation.nowMicros(),
                            null,
                            "the run did not end by itself");
        }
    }

    private List<RunInvariant> createProperties() {
        Scenario scenario = plan.scenario();
        List<RunInvariant> properties = new ArrayList<>();
        Double detectionS = scenario.expectations().memberDetectionWithinS();
        if (detectionS != null) {
            properties.add(
                    new MembershipAgreementInvariant(
                            scenario.fleet().balancers(),
                            Math.round(detectionS * 1e6),
                            plan.faults().stream().noneMatch(fault -> fault.kind().affectsPath())));
        }
        if (scenario.expectations().maxLeaseGapS() != null) {
            properties.add(new LeaseEpochOrderInvariant(scenario.expectations().maxLeaseGapS()));
        }
        Double failoverS = scenario.expectations().zoneFailoverWithinS();
        if (failoverS != null) {
            WorkloadPlan.Fault zoneFault =
                    plan.faults().stream()
                            .filter(
                                    fault ->
                                            fault.kind() == FaultKind.CRASH
                                                    || fault.kind() == FaultKind.VANISH)
                            .findFirst()
                            .orElseThrow();
            properties.add(
                    new ZoneFailoverInvariant(
                            scenario.fleet().balancers(),
                            scenario.zoneOfUpstream(zoneFault.upstreams().first()),
                            zoneFault.startMicros(),
                            Math.round(failoverS * 1e6)));
        }
        scenario.expectations()
                .singleHolders()
                .forEach(
                        singleHolder ->
                                properties.add(
                                        new MutualExclusionInvariant(
                                                singleHolder.resource(),
                                                Pattern.compile(singleHolder.acquirePattern()),
                                                Pattern.compile(singleHolder.releasePattern()))));
        return properties;
    }

    private RunResult buildResult(
            Emulation emulation,
            EmulatedEnvironment environment,
            ProcessFleet fleet,
            SortedMap<String, Double> metrics) {
        metrics.put(
                "cold_worst",
                environment.upstreams().stream()
                        .mapToDouble(UpstreamEmulator::peakSlowStartUtilization)
                        .max()
                        .orElse(0));
        metrics.put(
                "connects",
                (double)
                        environment.upstreams().stream()
                                .mapToLong(UpstreamEmulator::connectionsAccepted)
                                .sum());
        metrics.put(
                "cpu_s", fleet.balancers().stream().mapToLong(BalancerProcess::cpuMs).sum() / 1e3);
        double latenessMicros =
                Math.max(
                        emulation.eventLoopLag().getValueAtPercentile(99),
                        environment.clients().lateness().getValueAtPercentile(99));
        metrics.put("lab_late_ms", latenessMicros / 1e3);
        String doubt =
                latenessMicros <= MAX_LATENESS_MICROS
                        ? ""
                        : String.format(
                                Locale.ROOT,
                                "the testbed itself was late by %.0f ms (99th percentile), %.0f are allowed",
                                latenessMicros / 1e3,
                                MAX_LATENESS_MICROS / 1e3);
        return RunResultBuilder.build(
                plan,
                emulation.windows(),
                emulation.invariants(),
                metrics,
                fleet.balancers().stream()
                        .map(balancer -> toProcessResult(balancer, environment))
                        .toList(),
                doubt);
    }

    private RunResult.BalancerUsage toProcessResult(
            BalancerProcess balancer, EmulatedEnvironment environment) {
        int number = balancer.number();
        return new RunResult.BalancerUsage(
                number,
                plan.scenario().fleet().zones().get(plan.scenario().zoneOfBalancer(number)),
                balancer.incarnations().stream()
                        .map(
                                incarnation ->
                                        new RunResult.Lifetime(
                                                incarnation.startNanos() / 1e6,
                                                incarnation.endNanos() < 0
                                                        ? -1
                                                        : incarnation.endNanos() / 1e6))
                        .toList(),
                balancer.cpuMs() / 1e3,
                balancer.peakResidentKb() / 1024.0,
                balancer.peakDescriptors(),
                environment.peerNetwork().datagramsSent(number),
                environment.peerNetwork().bytesSent(number),
                environment.discoveryAgents().get(number).requestCount());
    }

    // For the first violations that concern a request: what its parties observed and what balancers
    // logged.
    private void printTraces(RequestInvariants invariants, ProcessFleet fleet) throws IOException {
        List<String> requestIds =
                invariants.violations().stream()
                        .map(Violation::requestId)
                        .filter(requestId -> requestId != null)
                        .distinct()
                        .limit(MAX_TRACES)
                        .toList();
        for (String requestId : requestIds) {
            List<TraceLine> trace = new ArrayList<>();
            ClientAttempt clientAttempt = invariants.clientAttempt(requestId);
            if (clientAttempt != null) {
                clientAttempt
                        .traceEvents()
                        .forEach(
                                note ->
                                        trace.add(
                                                new TraceLine(
                                                        note.timeMicros() / 1e6,
                                                        note.observer()
                                                                + ": "
                                                                + note.description())));
            }
            for (BalancerProcess balancer : fleet.balancers()) {
                if (Files.exists(balancer.logFile())) {
                    try (Stream<String> lines = Files.lines(balancer.logFile())) {
                        lines.filter(line -> line.contains(requestId))
                                .forEach(
                                        line ->
                                                trace.add(
                                                        new TraceLine(
                                                                Double.parseDouble(
                                                                        line.substring(
                                                                                0,
                                                                                line.indexOf(' '))),
                                                                line.substring(
                                                                        line.indexOf(' ') + 1))));
                    }
                }
            }
            trace.sort(Comparator.comparingDouble(TraceLine::atS));
            progressListener.accept("the story of " + requestId + ":");
            trace.forEach(
                    line ->
                            progressListener.accept(
                                    String.format(
                                            Locale.ROOT, "  %11.6f %s", line.atS, line.text)));
        }
    }

    private record TraceLine(double atS, String text) {}
}

package loadbalancer.testbed.process;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
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
import loadbalancer.testbed.emulation.EmulatedEnvironment;
import loadbalancer.testbed.emulation.Emulation;
import loadbalancer.testbed.emulation.UpstreamEmulator;
import loadbalancer.testbed.error.EventLoopException;
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

/**
 * Runs a scenario once with real processes, from the first start to the written result. Used by one
 * thread; the emulation's event loop reports progress, too.
 */
public final class ScenarioRunner {
    private static final long READY_TIMEOUT_S = 30;
    // Time from readiness of all balancers to the start of the plan.
    private static final long LEAD_TIME_MICROS = 300_000;
    // A run that takes this much longer than planned is aborted.
    private static final long MAX_OVERRUN_S = 90;
    // A run is not trusted if the 99th percentile of the testbed's own lateness is above this.
    private static final double MAX_LATENESS_MICROS = 25e3;
    private static final int MAX_REPORTED_VIOLATIONS = 3;

    private final WorkloadPlan plan;
    private final LaunchCommand launchCommand;
    private final Path outputDirectory;
    private final Consumer<String> progressListener;
    private final List<Violation> reportedViolations = new ArrayList<>();

    /**
     * Creates a runner.
     *
     * @param outputDirectory directory of logs, state and the result; created if missing
     * @param progressListener called with each line of progress
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
     * Runs the plan and writes its result. Returns within a bounded time, after all processes have
     * ended.
     *
     * @throws IOException if a process can't be started or signalled, or a file can't be written
     */
    public RunResult run() throws IOException, InterruptedException {
        Files.createDirectories(outputDirectory);
        RequestInvariants invariants = new RequestInvariants(plan.scenario(), this::onViolation);
        List<RunInvariant> runInvariants = createRunInvariants();
        try (Emulation emulation = new Emulation(plan, invariants);
                EmulatedEnvironment environment = new EmulatedEnvironment(emulation);
                ProcessFleet fleet =
                        new ProcessFleet(
                                emulation,
                                environment,
                                launchCommand,
                                outputDirectory,
                                runInvariants)) {
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
                                + " s; no request was sent");
            }
            SortedMap<String, Double> metrics = endInvariants(emulation, runInvariants);
            fleet.stopAll();
            RunResult result =
                    emulation
                            .eventLoop()
                            .submit(() -> buildResult(emulation, environment, fleet, metrics))
                            .get();
            result.write(outputDirectory);
            new RequestTracePrinter(progressListener).print(invariants, fleet.balancers());
            return result;
        } catch (ExecutionException e) {
            throw new EventLoopException(e.getCause());
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
            Emulation emulation, List<RunInvariant> runInvariants) {
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
                                runInvariants.forEach(
                                        invariant ->
                                                invariant.onRunEnd(
                                                        emulation.nowMicros(),
                                                        invariants,
                                                        metrics)))
                .syncUninterruptibly();
        return metrics;
    }

    private void onViolation(Violation violation) {
        synchronized (reportedViolations) {
            reportedViolations.add(violation);
            if (reportedViolations.size() <= MAX_REPORTED_VIOLATIONS) {
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
                throw new EventLoopException(e.getCause());
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
                                "%4.0f of %.0f s, served fraction %.3f in the last 5 s, %d violations",
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
                            "the run did not complete in time and was aborted");
        }
    }

    private List<RunInvariant> createRunInvariants() {
        Scenario scenario = plan.scenario();
        List<RunInvariant> runInvariants = new ArrayList<>();
        Double detectionS = scenario.expectations().memberDetectionWithinS();
        if (detectionS != null) {
            runInvariants.add(
                    new MembershipAgreementInvariant(
                            scenario.fleet().balancers(),
                            Math.round(detectionS * 1e6),
                            plan.faults().stream().noneMatch(fault -> fault.kind().affectsPath())));
        }
        if (scenario.expectations().maxLeaseGapS() != null) {
            runInvariants.add(new LeaseEpochOrderInvariant(scenario.expectations().maxLeaseGapS()));
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
            runInvariants.add(
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
                                runInvariants.add(
                                        new MutualExclusionInvariant(
                                                singleHolder.resource(),
                                                Pattern.compile(singleHolder.acquirePattern()),
                                                Pattern.compile(singleHolder.releasePattern()))));
        return runInvariants;
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
        String untrustedReason =
                latenessMicros <= MAX_LATENESS_MICROS
                        ? ""
                        : String.format(
                                Locale.ROOT,
                                "the testbed itself was late by %.0f ms (99th percentile), limit %.0f ms",
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
                untrustedReason);
    }

    private RunResult.BalancerUsage toProcessResult(
            BalancerProcess balancer, EmulatedEnvironment environment) {
        int number = balancer.number();
        return new RunResult.BalancerUsage(
                number,
                plan.scenario().fleet().zones().get(plan.scenario().zoneOfBalancer(number)),
                balancer.lifetimes().stream()
                        .map(
                                lifetime ->
                                        new RunResult.Lifetime(
                                                lifetime.startNanos() / 1e6,
                                                lifetime.endNanos() < 0
                                                        ? -1
                                                        : lifetime.endNanos() / 1e6))
                        .toList(),
                balancer.cpuMs() / 1e3,
                balancer.peakResidentKb() / 1024.0,
                balancer.peakDescriptors(),
                environment.peerNetwork().datagramsSent(number),
                environment.peerNetwork().bytesSent(number),
                environment.discoveryAgents().get(number).requestCount());
    }
}

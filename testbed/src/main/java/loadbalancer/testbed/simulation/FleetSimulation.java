package loadbalancer.testbed.simulation;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.function.BooleanSupplier;
import java.util.function.Consumer;
import loadbalancer.routing.api.Endpoint;
import loadbalancer.routing.api.EndpointListKind;
import loadbalancer.routing.api.EndpointStatus;
import loadbalancer.routing.api.RoutingPolicy;
import loadbalancer.routing.api.RoutingSettings;
import loadbalancer.testbed.emulation.PlatformSettings;
import loadbalancer.testbed.invariant.ClientRequest;
import loadbalancer.testbed.invariant.RequestInvariants;
import loadbalancer.testbed.scenario.FaultKind;
import loadbalancer.testbed.scenario.InvalidScenarioException;
import loadbalancer.testbed.scenario.Scenario;
import loadbalancer.testbed.statistics.RunResult;
import loadbalancer.testbed.statistics.RunResultBuilder;
import loadbalancer.testbed.statistics.ServiceWindows;
import loadbalancer.testbed.workload.RandomStreams;
import loadbalancer.testbed.workload.WorkloadPlan;

/**
 * The same scenario in simulated time with the module alone: for fleets that no machine holds.
 * Plan, server model, paths' troubles and rules are those of the real runs; what sockets and
 * processors add is missing.
 */
public final class FleetSimulation {
    // µs
    private static final long CONNECT_TIMEOUT_MICROS = 150_000;
    // µs from a process's start until it is ready
    private static final long STARTUP_MICROS = 1_000_000;
    // Past the last arrival, for what is open
    private static final long DRAIN_MICROS = 5_000_000;

    private final WorkloadPlan plan;
    private final Scenario scenario;
    private final PolicyFactory policyFactory;
    private final VirtualTimeScheduler scheduler = new VirtualTimeScheduler();
    private final RequestInvariants invariants;
    private final ServiceWindows windows;
    private final List<SimulatedBalancer> balancers = new ArrayList<>();
    private final List<SimulatedUpstream> upstreams = new ArrayList<>();
    private final Map<String, SimulatedUpstream> upstreamsByUid = new HashMap<>();
    private final SimulatedNetwork network;
    private final SimulatedClients clients;
    // By who sends, once it has; by who hears
    private final int[][] datagramsDelivered;
    private final EndpointListHistory endpointHistory;
    private final List<SimulatedDiscoveryAgent> discoveryAgents = new ArrayList<>();
    private final Map<SimulatedUpstream, List<CrashCallback>> crashCallbacks = new HashMap<>();
    private final int[] startCounts;
    private final Consumer<String> logListener;
    // Null: cold servers fall
    private SlowStartListener slowStartListener;

    private record CrashCallback(Runnable action, BooleanSupplier isObsolete) {}

    /** What a run is to be played with: the module or a baseline. */
    public interface PolicyFactory {
        /** The decisions of one balancer. */
        RoutingPolicy create(RoutingSettings settings, long seed);
    }

    /** Hears of each attempt at a cold server. */
    public interface SlowStartListener {
        /** {@code capacity}: seconds of work a second that the server can do at that time. */
        void onAttempt(int server, long now, double capacity);
    }

    /** {@code logListener} hears the modules' lines. */
    public FleetSimulation(
            WorkloadPlan plan, PolicyFactory policyFactory, Consumer<String> logListener) {
        this.plan = plan;
        this.scenario = plan.scenario();
        this.policyFactory = policyFactory;
        this.logListener = logListener;
        this.invariants = new RequestInvariants(scenario, violation -> {}, false);
        this.windows = new ServiceWindows(scenario);
        int balancerCount = scenario.fleet().balancers();
        startCounts = new int[balancerCount];
        datagramsDelivered = new int[balancerCount][];
        network = new SimulatedNetwork(plan);
        for (WorkloadPlan.UpstreamSpec spec : plan.upstreams()) {
            SimulatedUpstream upstream = new SimulatedUpstream(scheduler, spec, scenario);
            upstreams.add(upstream);
            upstreamsByUid.put(spec.uid(), upstream);
        }
        endpointHistory =
                new EndpointListHistory(
                        upstreams.stream()
                                .filter(SimulatedUpstream::alive)
                                .map(upstream -> toEndpoint(upstream, EndpointStatus.UP))
                                .toList());
        for (int balancer = 0; balancer < balancerCount; balancer++) {
            int balancerNumber = balancer;
            balancers.add(new SimulatedBalancer(balancer, this));
            discoveryAgents.add(
                    new SimulatedDiscoveryAgent(
                            scheduler,
                            RandomStreams.stream(plan.seed(), "news " + balancer),
                            scenario.network().discoveryDelayMs(),
                            endpointHistory,
                            endpoint -> onEndpointChange(balancerNumber, endpoint)));
        }
        clients = new SimulatedClients(scheduler, plan, invariants, windows, balancers);
    }

    /** From here on all that cold servers get is told, and none of them falls. */
    public void observeSlowStart(SlowStartListener listener) {
        slowStartListener = listener;
    }

    // ------------------------------------------------------------ what balancers see

    VirtualTimeScheduler scheduler() {
        return scheduler;
    }

    RequestInvariants invariants() {
        return invariants;
    }

    SimulatedUpstream upstream(String uid) {
        return upstreamsByUid.get(uid);
    }

    long connectTimeoutMicros() {
        return CONNECT_TIMEOUT_MICROS;
    }

    long handshakeWorkMicros() {
        return Math.round(scenario.upstreams().handshakeMs() * 1e3);
    }

    long forwardDelayMicros(int balancer, SimulatedUpstream upstream, long now) {
        return network.forwardDelayMicros(balancer, upstream.spec().number(), now);
    }

    long reverseDelayMicros(int balancer, SimulatedUpstream upstream, long now) {
        return network.reverseDelayMicros(balancer, upstream.spec().number(), now);
    }

    boolean isSilent(int balancer, SimulatedUpstream upstream) {
        return upstream.isSilent() || network.isCut(balancer, upstream.spec().number());
    }

    boolean refusesConnections(int balancer, SimulatedUpstream upstream) {
        return network.refusesConnections(balancer, upstream.spec().number());
    }

    List<Endpoint> endpointList(int balancer) {
        return discoveryAgents.get(balancer).endpoints();
    }

    SimulatedClients clients() {
        return clients;
    }

    void sendDatagram(int sender, int recipient, byte[] payload) {
        for (int peerNumber = 0; peerNumber < balancers.size(); peerNumber++) {
            if (peerNumber == sender
                    || recipient >= 0 && recipient != peerNumber
                    || network.peerLinks(sender, peerNumber).dropsDatagram()) {
                continue;
            }
            SimulatedBalancer peer = balancers.get(peerNumber);
            for (long delay : network.peerLinks(sender, peerNumber).datagramDelaysMicros()) {
                scheduler.scheduleAfter(
                        delay,
                        () -> {
                            if (peer.alive()) {
                                countDelivery(sender, peer.number());
                                peer.onPeerMessage(sender, payload);
                            }
                        });
            }
        }
    }

    private void countDelivery(int sender, int recipient) {
        if (datagramsDelivered[sender] == null) {
            datagramsDelivered[sender] = new int[balancers.size()];
        }
        datagramsDelivered[sender][recipient] +=
                scheduler.nowMicros() < scenario.lengthMicros() ? 1 : 0;
    }

    void log(int balancer, String message) {
        logListener.accept(scheduler.nowMicros() + " n" + balancer + " " + message);
    }

    void onCrash(
            SimulatedUpstream upstream,
            int incarnation,
            Runnable action,
            BooleanSupplier isObsolete) {
        if (incarnation != upstream.incarnation()) {
            action.run();
            return;
        }
        List<CrashCallback> callbacks =
                crashCallbacks.computeIfAbsent(upstream, k -> new ArrayList<>());
        callbacks.add(new CrashCallback(action, isObsolete));
        if (callbacks.size() > 4 * scenario.upstreams().queueCapacity() + 64) {
            callbacks.removeIf(callback -> callback.isObsolete.getAsBoolean());
        }
    }

    /** Work comes to a server: where it is cold, and that is too much, it falls. */
    void checkSlowStartBudget(int balancer, SimulatedUpstream upstream, long workMicros) {
        if (slowStartListener != null) {
            if (upstream.warmingUp()) {
                slowStartListener.onAttempt(
                        upstream.spec().number(), scheduler.nowMicros(), upstream.capacity());
            }
        } else if (upstream.exceedsSlowStartBudget(
                workMicros,
                invariants.isStartNotified(
                        balancer, upstream.spec().number(), upstream.startedAtMicros()))) {
            overload(upstream);
        }
    }

    private void overload(SimulatedUpstream upstream) {
        invariants.recordViolation(
                "cold budget",
                scheduler.nowMicros(),
                null,
                "s"
                        + upstream.spec().number()
                        + " was pushed over "
                        + (scheduler.nowMicros() - upstream.startedAtMicros()) / 1000
                        + " ms after its start");
        crash(upstream);
    }

    private void crash(SimulatedUpstream upstream) {
        upstream.crash();
        List<CrashCallback> callbacks = crashCallbacks.remove(upstream);
        if (callbacks != null) {
            callbacks.stream()
                    .filter(callback -> !callback.isObsolete.getAsBoolean())
                    .forEach(callback -> callback.action.run());
        }
    }

    // ------------------------------------------------------------ discovery

    private void onEndpointChange(int balancer, Endpoint endpoint) {
        SimulatedBalancer recipient = balancers.get(balancer);
        if (recipient.alive()) {
            invariants.endpointNotified(
                    balancer,
                    upstreamsByUid.get(endpoint.id()).spec().number(),
                    endpoint.status() == EndpointStatus.UP,
                    scheduler.nowMicros());
            recipient.onEndpointList(EndpointListKind.DELTA, List.of(endpoint));
        }
    }

    private Endpoint toEndpoint(SimulatedUpstream upstream, EndpointStatus status) {
        return new Endpoint(
                upstream.spec().uid(),
                status,
                upstream.startedAtMicros() == 0
                        ? 0
                        : SimulatedBalancer.policyTimeMicros(upstream.startedAtMicros()),
                1,
                upstream.spec().number(),
                upstream.spec().machineKind(),
                upstream.spec().zone());
    }

    private void publish(SimulatedUpstream upstream, EndpointStatus status) {
        endpointHistory.addChange(toEndpoint(upstream, status));
        discoveryAgents.forEach(SimulatedDiscoveryAgent::onChange);
    }

    // ------------------------------------------------------------ the run

    /** Plays it; the same plan and modules give the same result to the byte. */
    public RunResult run() {
        for (int balancer = 0; balancer < balancers.size(); balancer++) {
            startBalancer(balancer);
        }
        for (WorkloadPlan.Fault fault : plan.faults()) {
            scheduler.schedule(fault.startMicros(), () -> applyFault(fault, true));
            if (fault.endMicros() >= 0) {
                scheduler.schedule(fault.endMicros(), () -> applyFault(fault, false));
            }
        }
        List<WorkloadPlan.Arrival> arrivals = plan.arrivals();
        scheduler.scheduleSeries(
                arrivals.size(),
                i -> arrivals.get(i).atMicros(),
                i -> clients.attempt(new ClientRequest(arrivals.get(i))));
        long maxDeadlineMicros =
                scenario.classes().stream()
                        .mapToLong(requestClass -> Math.round(requestClass.deadlineMs() * 1e3))
                        .max()
                        .orElse(0);
        scheduler.runUntil(scenario.lengthMicros() + maxDeadlineMicros + DRAIN_MICROS);
        invariants.runEnded(scheduler.nowMicros());
        return buildResult();
    }

    private void startBalancer(int balancer) {
        long seed =
                RandomStreams.seedFor(
                        plan.seed(), "balancer " + balancer + " start " + startCounts[balancer]++);
        List<Endpoint> cachedEndpoints = endpointList(balancer);
        balancers
                .get(balancer)
                .start(
                        policyFactory.create(
                                PlatformSettings.bootSettings(scenario, balancer).settings(), seed),
                        cachedEndpoints);
    }

    private void applyFault(WorkloadPlan.Fault fault, boolean active) {
        Scenario.FaultSpec spec = fault.spec();
        switch (fault.kind()) {
            case KILL, TERM ->
                    fault.balancers().forEach(balancer -> setProcessDown(balancer, active));
            case PAUSE -> fault.balancers().forEach(balancer -> setPaused(balancer, active));
            case CUT, LOSS, DELAY, REPEAT, REORDER, THIN -> network.applyLinkFault(fault, active);
            case REFUSE -> network.setRefusing(fault, active);
            case CRASH ->
                    forEachUpstream(
                            fault,
                            upstream -> {
                                if (active) {
                                    crash(upstream);
                                } else {
                                    upstream.start();
                                }
                                publish(
                                        upstream,
                                        active ? EndpointStatus.REMOVED : EndpointStatus.UP);
                            });
            case VANISH -> forEachUpstream(fault, upstream -> upstream.setVanished(active));
            case SLOW ->
                    forEachUpstream(
                            fault,
                            upstream -> upstream.setSlowdownFactor(active ? spec.amount() : 1));
            case HANG -> forEachUpstream(fault, upstream -> upstream.setHanging(active));
            case FAIL ->
                    forEachUpstream(
                            fault, upstream -> upstream.setFailing(spec.requestClass(), active));
            case REPLACE -> forEachUpstream(fault, upstream -> replaceUpstream(upstream, active));
            case LATE ->
                    fault.balancers()
                            .forEach(
                                    balancer ->
                                            discoveryAgents
                                                    .get(balancer)
                                                    .extraDelayMicros(
                                                            Math.round(
                                                                    (active ? 1e3 : -1e3)
                                                                            * spec.delayMs())));
            case STALE, SILENT, DENY ->
                    fault.balancers()
                            .forEach(balancer -> discoveryAgents.get(balancer).mute(active));
            case RESET ->
                    throw new InvalidScenarioException(
                            scenario.name(),
                            FaultKind.RESET.keyword(),
                            "can't be played in simulated time");
        }
    }

    private void forEachUpstream(WorkloadPlan.Fault fault, Consumer<SimulatedUpstream> change) {
        fault.upstreams().forEach(number -> change.accept(upstreams.get(number)));
    }

    private void replaceUpstream(SimulatedUpstream upstream, boolean active) {
        if (active) {
            upstream.startDraining();
            publish(upstream, EndpointStatus.DRAINING);
        } else {
            crash(upstream);
            publish(upstream, EndpointStatus.REMOVED);
            SimulatedUpstream successor =
                    upstreams.get(plan.successor(upstream.spec().number()).number());
            successor.start();
            publish(successor, EndpointStatus.UP);
        }
    }

    private void setProcessDown(int balancer, boolean down) {
        if (down) {
            invariants.outageStarted(balancer, scheduler.nowMicros());
            balancers.get(balancer).kill();
            return;
        }
        scheduler.scheduleAfter(
                STARTUP_MICROS,
                () -> {
                    startBalancer(balancer);
                    invariants.outageEnded(balancer, scheduler.nowMicros());
                    clients.onReady(balancer);
                });
    }

    private void setPaused(int balancer, boolean paused) {
        if (paused) {
            invariants.outageStarted(balancer, scheduler.nowMicros());
        } else {
            invariants.outageEnded(balancer, scheduler.nowMicros());
        }
        balancers.get(balancer).pause(paused);
    }

    private RunResult buildResult() {
        TreeMap<String, Double> metrics = new TreeMap<>();
        metrics.put(
                "cold_worst",
                upstreams.stream()
                        .mapToDouble(SimulatedUpstream::peakSlowStartUtilization)
                        .max()
                        .orElse(0));
        metrics.put(
                "connects",
                (double) balancers.stream().mapToLong(SimulatedBalancer::connectionsOpened).sum());
        List<RunResult.BalancerUsage> processes = new ArrayList<>();
        for (int number = 0; number < balancers.size(); number++) {
            SimulatedBalancer balancer = balancers.get(number);
            processes.add(
                    new RunResult.BalancerUsage(
                            number,
                            scenario.fleet().zones().get(scenario.zoneOfBalancer(number)),
                            List.of(),
                            0,
                            0,
                            0,
                            balancer.datagramsSent(),
                            balancer.bytesSent(),
                            0));
        }
        return RunResultBuilder.build(plan, windows, invariants, metrics, processes, "");
    }

    /** Things that have happened: what a run costs goes by their number. */
    public long processedEvents() {
        return scheduler.processedEvents();
    }

    /** Seconds of simulated time so far. */
    public double simulatedSeconds() {
        return scheduler.nowMicros() / 1e6;
    }

    /** Datagrams that one balancer had from another within the run's length. */
    public long datagramsDelivered(int from, int to) {
        return datagramsDelivered[from] == null ? 0 : datagramsDelivered[from][to];
    }
}

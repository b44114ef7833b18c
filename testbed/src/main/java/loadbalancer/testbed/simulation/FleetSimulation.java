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
import loadbalancer.testbed.fault.FaultInjector;
import loadbalancer.testbed.fault.FaultableDiscoveryAgent;
import loadbalancer.testbed.fault.FaultableEnvironment;
import loadbalancer.testbed.invariant.ClientRequest;
import loadbalancer.testbed.invariant.RequestInvariants;
import loadbalancer.testbed.scenario.InvalidScenarioException;
import loadbalancer.testbed.scenario.Scenario;
import loadbalancer.testbed.statistics.RunResult;
import loadbalancer.testbed.statistics.RunResultBuilder;
import loadbalancer.testbed.statistics.ServiceWindows;
import loadbalancer.testbed.workload.RandomStreams;
import loadbalancer.testbed.workload.WorkloadPlan;

/**
 * Plays a scenario in virtual time with routing policies alone, for fleets larger than a machine
 * can run. Plan, upstream model, links and invariants are those of runs with real processes; the
 * cost of sockets and processors is missing. Single-threaded; one run per instance.
 */
public final class FleetSimulation {
    private static final long CONNECT_TIMEOUT_MICROS = 150_000;
    // From the start of a process until it is ready
    private static final long STARTUP_MICROS = 1_000_000;
    // After the last deadline, for open requests
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
    // By sender (null until it sends) and recipient
    private final int[][] datagramsDelivered;
    private final EndpointListHistory endpointHistory;
    private final List<SimulatedDiscoveryAgent> discoveryAgents = new ArrayList<>();
    private final Map<SimulatedUpstream, List<CrashCallback>> crashCallbacks = new HashMap<>();
    private final int[] startCounts;
    private final Consumer<String> logListener;
    // Null: upstreams in slow start crash when overloaded
    private SlowStartListener slowStartListener;

    private record CrashCallback(Runnable action, BooleanSupplier isObsolete) {}

    /** Creates the routing policies of a run. */
    public interface PolicyFactory {
        /** Creates the policy of one process of a balancer. */
        RoutingPolicy create(RoutingSettings settings, long seed);
    }

    /** Is notified of each attempt at an upstream in slow start. */
    public interface SlowStartListener {
        /**
         * An attempt arrives.
         *
         * @param server number of the upstream
         * @param now time of the run in µs
         * @param capacity its present capacity in seconds of work per second
         */
        void onAttempt(int server, long now, double capacity);
    }

    /** Creates a simulation; {@code logListener} gets the log lines of the policies. */
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

    /** Reports attempts at upstreams in slow start from now on, none of which crashes any more. */
    public void observeSlowStart(SlowStartListener listener) {
        slowStartListener = listener;
    }

    // ------------------------------------------------------------ used by the balancers

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
                    || (recipient >= 0 && recipient != peerNumber)
                    || network.peerLink(sender, peerNumber).dropsDatagram()) {
                continue;
            }
            SimulatedBalancer peer = balancers.get(peerNumber);
            for (long delay : network.peerLink(sender, peerNumber).datagramDelaysMicros()) {
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
            if (upstream.isInSlowStart()) {
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

    // ------------------------------------------------------------ the run

    /** Plays the plan; the same plan and policies give the same result to the byte. */
    public RunResult run() {
        for (int balancer = 0; balancer < balancers.size(); balancer++) {
            startBalancer(balancer);
        }
        new FaultInjector<>(plan, new SimulatedFaults()).scheduleFaults(scheduler);
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

    /** Applies the plan's faults to the parts of this simulation. */
    private final class SimulatedFaults implements FaultableEnvironment<SimulatedUpstream> {
        @Override
        public SimulatedUpstream upstream(int number) {
            return upstreams.get(number);
        }

        @Override
        public FaultableDiscoveryAgent discoveryAgent(int balancer) {
            return discoveryAgents.get(balancer);
        }

        @Override
        public void crash(SimulatedUpstream upstream) {
            FleetSimulation.this.crash(upstream);
        }

        @Override
        public void publish(SimulatedUpstream upstream, EndpointStatus status) {
            endpointHistory.addChange(toEndpoint(upstream, status));
            discoveryAgents.forEach(SimulatedDiscoveryAgent::onChange);
        }

        @Override
        public void applyLinkFault(WorkloadPlan.Fault fault, boolean active) {
            network.applyLinkFault(fault, active);
        }

        @Override
        public void setRefusing(WorkloadPlan.Fault fault, boolean active) {
            network.setRefusing(fault, active);
        }

        @Override
        public void resetConnections(WorkloadPlan.Fault fault) {
            throw new InvalidScenarioException(
                    scenario.name(), fault.kind().keyword(), "can't be played in simulated time");
        }

        @Override
        public void setProcessesDown(WorkloadPlan.Fault fault, boolean active) {
            fault.balancers().forEach(balancer -> setProcessDown(balancer, active));
        }

        @Override
        public void setProcessesPaused(WorkloadPlan.Fault fault, boolean active) {
            fault.balancers().forEach(balancer -> setPaused(balancer, active));
        }
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

    /** The number of events so far, in proportion to which a run costs. */
    public long processedEvents() {
        return scheduler.processedEvents();
    }

    /** Virtual time so far, in seconds. */
    public double simulatedSeconds() {
        return scheduler.nowMicros() / 1e6;
    }

    /** Datagrams that one balancer received from another within the run's length. */
    public long datagramsDelivered(int from, int to) {
        return datagramsDelivered[from] == null ? 0 : datagramsDelivered[from][to];
    }
}

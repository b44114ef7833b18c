package loadbalancer.testbed.simulation;

import java.util.ArrayList;
import java.util.List;
import java.util.SortedMap;
import java.util.TreeMap;
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
 * Runs a scenario in virtual time with the routing policies only, for fleets that are larger than
 * one machine can run. Workload plan, upstream model, links and invariants are those of runs with
 * real processes. The costs of sockets and CPUs are not modelled. Used only by the thread that runs
 * the simulation, for one run per instance.
 */
public final class FleetSimulation {
    // Time from the start of a balancer process until it is ready.
    private static final long STARTUP_MICROS = 1_000_000;
    // Time after the last deadline in which open requests may still end.
    private static final long OPEN_REQUESTS_GRACE_MICROS = 5_000_000;

    private final WorkloadPlan plan;
    private final Scenario scenario;
    private final PolicyFactory policyFactory;
    private final VirtualTimeScheduler scheduler = new VirtualTimeScheduler();
    private final RequestInvariants invariants;
    private final ServiceWindows windows;
    private final List<SimulatedBalancer> balancers = new ArrayList<>();
    private final SimulatedUpstreams upstreams;
    private final SimulatedNetwork network;
    private final SimulatedClients clients;
    private final PeerDatagrams datagrams;
    private final EndpointListHistory endpointHistory;
    private final List<SimulatedDiscoveryAgent> discoveryAgents = new ArrayList<>();
    private final int[] startCounts;

    /** Creates the routing policies of a run. */
    public interface PolicyFactory {
        /** Creates the policy of one process of a balancer. */
        RoutingPolicy create(RoutingSettings settings, long seed);
    }

    /** Listens to the attempts that arrive at upstreams in slow start. */
    public interface SlowStartListener {
        /**
         * Handles the arrival of an attempt.
         *
         * @param upstream number of the upstream
         * @param nowMicros time of the run in µs
         * @param capacity current capacity of the upstream in seconds of work per second
         */
        void onAttempt(int upstream, long nowMicros, double capacity);
    }

    /**
     * Creates a simulation.
     *
     * @param logListener receives the log lines of the routing policies
     */
    public FleetSimulation(
            WorkloadPlan plan, PolicyFactory policyFactory, Consumer<String> logListener) {
        this.plan = plan;
        this.scenario = plan.scenario();
        this.policyFactory = policyFactory;
        this.invariants = new RequestInvariants(scenario, violation -> {}, false);
        this.windows = new ServiceWindows(scenario);
        int balancerCount = scenario.fleet().balancers();
        startCounts = new int[balancerCount];
        network = new SimulatedNetwork(plan);
        upstreams = new SimulatedUpstreams(plan, scheduler, network, invariants);
        datagrams =
                new PeerDatagrams(
                        scheduler, network, balancers, balancerCount, scenario.lengthMicros());
        clients = new SimulatedClients(scheduler, plan, invariants, windows, balancers);
        endpointHistory = new EndpointListHistory(initialEndpoints());
        SimulationContext context =
                new SimulationContext(
                        scheduler, invariants, upstreams, datagrams, clients, logListener);
        for (int balancer = 0; balancer < balancerCount; balancer++) {
            SimulatedDiscoveryAgent discoveryAgent = newDiscoveryAgent(balancer);
            discoveryAgents.add(discoveryAgent);
            balancers.add(new SimulatedBalancer(balancer, context, discoveryAgent));
        }
    }

    private SimulatedDiscoveryAgent newDiscoveryAgent(int balancer) {
        return new SimulatedDiscoveryAgent(
                scheduler,
                RandomStreams.stream(plan.seed(), "news " + balancer),
                scenario.network().discoveryDelayMs(),
                endpointHistory,
                endpoint -> onEndpointChange(balancer, endpoint));
    }

    /**
     * Reports attempts at upstreams in slow start to the listener from now on. Exceeding the
     * slow-start budget no longer crashes an upstream then.
     */
    public void observeSlowStart(SlowStartListener listener) {
        upstreams.observeSlowStart(listener);
    }

    private List<Endpoint> initialEndpoints() {
        return upstreams.all().stream()
                .filter(SimulatedUpstream::alive)
                .map(upstream -> toEndpoint(upstream, EndpointStatus.UP))
                .toList();
    }

    private void onEndpointChange(int balancer, Endpoint endpoint) {
        SimulatedBalancer recipient = balancers.get(balancer);
        if (recipient.alive()) {
            invariants.endpointNotified(
                    balancer,
                    upstreams.byUid(endpoint.id()).spec().number(),
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
                        : PolicyEventLoop.policyTimeMicros(upstream.startedAtMicros()),
                1,
                upstream.spec().number(),
                upstream.spec().machineKind(),
                upstream.spec().zone());
    }

    /**
     * Runs the workload plan and returns the result. The same plan and policies give the same
     * result to the byte.
     *
     * @throws InvalidScenarioException if the plan has a fault that resets connections
     */
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
        scheduler.runUntil(
                scenario.lengthMicros() + maxDeadlineMicros() + OPEN_REQUESTS_GRACE_MICROS);
        invariants.runEnded(scheduler.nowMicros());
        return buildResult();
    }

    private long maxDeadlineMicros() {
        return scenario.classes().stream()
                .mapToLong(requestClass -> Math.round(requestClass.deadlineMs() * 1e3))
                .max()
                .orElse(0);
    }

    private void startBalancer(int balancer) {
        String purpose = "balancer " + balancer + " start " + startCounts[balancer]++;
        long seed = RandomStreams.seedFor(plan.seed(), purpose);
        List<Endpoint> cachedEndpoints = discoveryAgents.get(balancer).endpoints();
        RoutingSettings settings = PlatformSettings.bootSettings(scenario, balancer).settings();
        balancers.get(balancer).start(policyFactory.create(settings, seed), cachedEndpoints);
    }

    private void setProcessDown(int balancer, boolean down) {
        if (down) {
            invariants.outageStarted(balancer, scheduler.nowMicros());
            balancers.get(balancer).kill();
        } else {
            scheduler.scheduleAfter(STARTUP_MICROS, () -> restartBalancer(balancer));
        }
    }

    private void restartBalancer(int balancer) {
        startBalancer(balancer);
        invariants.outageEnded(balancer, scheduler.nowMicros());
        clients.onReady(balancer);
    }

    private void setPaused(int balancer, boolean paused) {
        if (paused) {
            invariants.outageStarted(balancer, scheduler.nowMicros());
        } else {
            invariants.outageEnded(balancer, scheduler.nowMicros());
        }
        balancers.get(balancer).pause(paused);
    }

    /** Applies the faults of the plan to the parts of this simulation. */
    private final class SimulatedFaults implements FaultableEnvironment<SimulatedUpstream> {
        @Override
        public SimulatedUpstream upstream(int number) {
            return upstreams.byNumber(number);
        }

        @Override
        public FaultableDiscoveryAgent discoveryAgent(int balancer) {
            return discoveryAgents.get(balancer);
        }

        @Override
        public void crash(SimulatedUpstream upstream) {
            upstreams.crash(upstream);
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
                    scenario.name(),
                    fault.kind().keyword(),
                    "is not supported by the simulation in virtual time");
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
        SortedMap<String, Double> metrics = new TreeMap<>();
        double peakUtilization =
                upstreams.all().stream()
                        .mapToDouble(SimulatedUpstream::peakSlowStartUtilization)
                        .max()
                        .orElse(0);
        long connectionsOpened =
                balancers.stream().mapToLong(SimulatedBalancer::connectionsOpened).sum();
        metrics.put("cold_worst", peakUtilization);
        metrics.put("connects", (double) connectionsOpened);
        List<RunResult.BalancerUsage> usages = balancers.stream().map(this::usageOf).toList();
        return RunResultBuilder.build(plan, windows, invariants, metrics, usages, "");
    }

    // A simulated balancer has no process whose resources could be measured.
    private RunResult.BalancerUsage usageOf(SimulatedBalancer balancer) {
        int zone = scenario.zoneOfBalancer(balancer.number());
        return new RunResult.BalancerUsage(
                balancer.number(),
                scenario.fleet().zones().get(zone),
                List.of(),
                0,
                0,
                0,
                balancer.datagramsSent(),
                balancer.bytesSent(),
                0);
    }

    /** Returns the number of events so far; the cost of a run is proportional to it. */
    public long processedEvents() {
        return scheduler.processedEvents();
    }

    /** Returns the virtual time so far in seconds. */
    public double simulatedSeconds() {
        return scheduler.nowMicros() / 1e6;
    }

    /** Returns how many datagrams one balancer received from another within the run's length. */
    public long datagramsDelivered(int from, int to) {
        return datagrams.deliveredCount(from, to);
    }
}

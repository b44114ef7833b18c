package loadbalancer.testbed.emulation;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.HexFormat;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;
import loadbalancer.routing.api.EndpointStatus;
import loadbalancer.testbed.fault.FaultInjector;
import loadbalancer.testbed.fault.FaultableEnvironment;
import loadbalancer.testbed.network.NetworkLink;
import loadbalancer.testbed.scenario.Scenario;
import loadbalancer.testbed.workload.RandomStreams;
import loadbalancer.testbed.workload.WorkloadPlan;
import org.apache.commons.rng.UniformRandomProvider;

/**
 * Holds all emulated parties that balancers communicate with and the network between them, and
 * applies faults to them. Built before the run; confined to the emulation's event loop during the
 * run.
 */
public final class EmulatedEnvironment
        implements FaultableEnvironment<UpstreamEmulator>, AutoCloseable {
    private final Emulation emulation;
    private final LoopbackAddresses addresses = new LoopbackAddresses();
    private final InetSocketAddress[] balancerAddresses;
    // Indexed by upstream, then by balancer.
    private final List<List<NetworkPath>> pathsByUpstream = new ArrayList<>();
    private final List<UpstreamEmulator> upstreams = new ArrayList<>();
    private final List<DiscoveryEmulator> discoveryAgents = new ArrayList<>();
    private final PeerNetworkEmulator peerNetwork;
    private final FrontendEmulator frontend;
    private final ClientEmulator clients;

    /**
     * Creates the parties and opens their addresses. No requests or faults occur before {@link
     * #start}.
     *
     * @throws IOException if an address cannot be bound
     */
    public EmulatedEnvironment(Emulation emulation) throws IOException {
        this.emulation = emulation;
        Scenario scenario = emulation.scenario();
        int balancerCount = scenario.fleet().balancers();
        UniformRandomProvider random = RandomStreams.stream(emulation.plan().seed(), "paths");
        balancerAddresses = new InetSocketAddress[balancerCount];
        for (int balancer = 0; balancer < balancerCount; balancer++) {
            balancerAddresses[balancer] = addresses.findFreePort(addresses.clientAddress(balancer));
        }
        for (WorkloadPlan.UpstreamSpec upstream : emulation.plan().upstreams()) {
            List<NetworkPath> upstreamPaths = new ArrayList<>();
            int number = upstream.number();
            for (int balancer = 0; balancer < balancerCount; balancer++) {
                upstreamPaths.add(
                        new NetworkPath(
                                random,
                                drawZoneDelayMicros(
                                        scenario,
                                        upstream.zone(),
                                        scenario.zoneOfBalancer(balancer),
                                        random),
                                () -> upstreams.get(number).updateListeners()));
            }
            pathsByUpstream.add(upstreamPaths);
            upstreams.add(new UpstreamEmulator(emulation, upstream, upstreamPaths));
        }
        for (UpstreamEmulator upstream : upstreams) {
            upstream.open(addresses);
        }
        List<DiscoveryEntry> initialEntries =
                emulation.plan().upstreams().stream()
                        .filter(spec -> spec.replaces() < 0)
                        .map(spec -> new DiscoveryEntry(spec.number(), DiscoveryEntry.UP, 0))
                        .toList();
        for (int balancer = 0; balancer < balancerCount; balancer++) {
            int balancerNumber = balancer;
            DiscoveryEmulator discoveryAgent =
                    new DiscoveryEmulator(
                            emulation,
                            balancer,
                            RandomStreams.stream(emulation.plan().seed(), "news " + balancer),
                            initialEntries,
                            entry -> toDiscoveryJson(entry, balancerNumber));
            discoveryAgent.open(addresses);
            discoveryAgents.add(discoveryAgent);
        }
        peerNetwork =
                new PeerNetworkEmulator(
                        emulation,
                        addresses,
                        RandomStreams.stream(emulation.plan().seed(), "mesh"));
        peerNetwork.open();
        frontend = new FrontendEmulator(emulation, balancerAddresses);
        clients = new ClientEmulator(emulation, frontend);
    }

    private static long drawZoneDelayMicros(
            Scenario scenario, int upstreamZone, int balancerZone, UniformRandomProvider random) {
        double delayMs = RandomStreams.drawUniform(random, scenario.network().zoneDelayMs());
        return upstreamZone == balancerZone ? 0 : Math.round(1e3 * delayMs);
    }

    private Map<String, Object> toDiscoveryJson(DiscoveryEntry entry, int balancer) {
        WorkloadPlan.UpstreamSpec spec = emulation.plan().upstreams().get(entry.upstreamNumber());
        return Map.of(
                "uid",
                spec.uid(),
                "endpoint",
                LoopbackAddresses.format(upstreams.get(spec.number()).address(balancer)),
                "az",
                emulation.scenario().fleet().zones().get(spec.zone()),
                "model",
                emulation.scenario().upstreams().machineKinds().get(spec.machineKind()).name(),
                "pod_group",
                spec.number(),
                "state",
                entry.status(),
                "capacity_hint",
                1.0,
                "boot_ms",
                entry.startedAtMs());
    }

    /** Returns the configuration of a balancer that starts now. Called on the event loop. */
    public Map<String, Object> configuration(int balancer, long seed) {
        Scenario.Fleet fleet = emulation.scenario().fleet();
        BalancerConfigurationBuilder configuration =
                new BalancerConfigurationBuilder(
                                "n" + balancer,
                                LoopbackAddresses.format(balancerAddresses[balancer]))
                        .discovery(
                                LoopbackAddresses.format(discoveryAgents.get(balancer).address()))
                        .seed(HexFormat.of().toHexDigits(seed))
                        .limits(fleet.memoryMb(), fleet.sockets());
        if (fleet.balancers() > 1) {
            configuration
                    .peers(
                            LoopbackAddresses.format(peerNetwork.balancerAddress(balancer)),
                            peerNetwork.peerAddresses(balancer))
                    .broadcast(peerNetwork.broadcastAddress(balancer));
        }
        return configuration.build(
                discoveryAgents.get(balancer).completeList(),
                PlatformSettings.settings(emulation.scenario(), balancer));
    }

    /** Starts polling the balancers' readiness. */
    public void startReadinessPolling() {
        emulation.eventLoop().execute(frontend::start);
    }

    /**
     * Schedules the clients' requests, starting at the run's time 0, and the faults of the plan.
     *
     * @param onComplete called on the event loop once the last request has ended
     */
    public void start(Runnable onComplete) {
        emulation.schedule(0, () -> clients.start(onComplete));
        new FaultInjector<>(emulation.plan(), this).scheduleFaults(emulation);
    }

    /** Returns whether clients are sent to a balancer. Called on the event loop. */
    public boolean isInRotation(int balancer) {
        return frontend.rotation().isInRotation(balancer);
    }

    /** Returns the path between a balancer and an upstream. */
    NetworkPath path(int balancer, int upstream) {
        return pathsByUpstream.get(upstream).get(balancer);
    }

    @Override
    public UpstreamEmulator upstream(int number) {
        return upstreams.get(number);
    }

    @Override
    public DiscoveryEmulator discoveryAgent(int balancer) {
        return discoveryAgents.get(balancer);
    }

    @Override
    public void crash(UpstreamEmulator upstream) {
        upstream.crash();
    }

    @Override
    public void publish(UpstreamEmulator upstream, EndpointStatus status) {
        DiscoveryEntry entry = DiscoveryEntry.of(upstream.spec().number(), status);
        discoveryAgents.forEach(agent -> agent.onChange(entry));
    }

    @Override
    public void applyLinkFault(WorkloadPlan.Fault fault, boolean active) {
        NetworkLink.LinkFault linkFault = NetworkLink.LinkFault.of(fault);
        int balancerCount = emulation.scenario().fleet().balancers();
        for (int balancer = 0; balancer < balancerCount; balancer++) {
            for (int peer = 0; peer < balancerCount; peer++) {
                if (fault.affectsPeers(balancer, peer)) {
                    peerNetwork.link(balancer, peer).setFault(linkFault, active);
                }
            }
            for (UpstreamEmulator upstream : upstreams) {
                int position = upstream.spec().position();
                boolean forward = fault.affectsForwardPath(balancer, position);
                boolean reverse = fault.affectsReversePath(balancer, position);
                if (forward || reverse) {
                    path(balancer, upstream.spec().number())
                            .applyLinkFault(linkFault, forward, reverse, active);
                }
            }
        }
    }

    @Override
    public void setRefusing(WorkloadPlan.Fault fault, boolean active) {
        forEachPath(fault, path -> path.setRefusing(active));
    }

    @Override
    public void resetConnections(WorkloadPlan.Fault fault) {
        forEachPath(fault, NetworkPath::resetConnections);
    }

    private void forEachPath(WorkloadPlan.Fault fault, Consumer<NetworkPath> change) {
        for (int balancer : fault.balancers()) {
            for (UpstreamEmulator upstream : upstreams) {
                if (fault.toUpstreams().contains(upstream.spec().position())) {
                    change.accept(path(balancer, upstream.spec().number()));
                }
            }
        }
    }

    /** Does nothing, because the fleet that runs the processes applies this fault. */
    @Override
    public void setProcessesDown(WorkloadPlan.Fault fault, boolean active) {}

    /** Does nothing, because the fleet that runs the processes applies this fault. */
    @Override
    public void setProcessesPaused(WorkloadPlan.Fault fault, boolean active) {}

    /** Returns the upstreams, indexed by number. */
    public List<UpstreamEmulator> upstreams() {
        return upstreams;
    }

    /** Returns the discovery agents, indexed by balancer. */
    public List<DiscoveryEmulator> discoveryAgents() {
        return discoveryAgents;
    }

    /** Returns the network between balancers. */
    public PeerNetworkEmulator peerNetwork() {
        return peerNetwork;
    }

    /** Returns the clients. */
    public ClientEmulator clients() {
        return clients;
    }

    /** Closes the addresses of upstreams and discovery agents; waits up to 2 s for it. */
    @Override
    public void close() {
        emulation
                .eventLoop()
                .submit(
                        () -> {
                            upstreams.forEach(UpstreamEmulator::close);
                            discoveryAgents.forEach(DiscoveryEmulator::close);
                        })
                .awaitUninterruptibly(2_000);
    }
}

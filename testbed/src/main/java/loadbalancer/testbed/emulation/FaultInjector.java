package loadbalancer.testbed.emulation;

import loadbalancer.testbed.network.NetworkLink;
import loadbalancer.testbed.scenario.Scenario;
import loadbalancer.testbed.workload.WorkloadPlan;

/** Begins and ends every fault of the plan that is not about processes, at its time. */
final class FaultInjector {
    private final Emulation emulation;
    private final EmulatedEnvironment environment;

    FaultInjector(Emulation emulation, EmulatedEnvironment environment) {
        this.emulation = emulation;
        this.environment = environment;
    }

    void scheduleFaults() {
        for (WorkloadPlan.Fault fault : emulation.plan().faults()) {
            emulation.schedule(fault.startMicros(), () -> applyFault(fault, true));
            if (fault.endMicros() >= 0) {
                emulation.schedule(fault.endMicros(), () -> applyFault(fault, false));
            }
        }
    }

    /** Begins or ends a fault now; on the loop. */
    void applyFault(WorkloadPlan.Fault fault, boolean active) {
        Scenario.FaultSpec spec = fault.spec();
        switch (fault.kind()) {
            case CUT, LOSS, DELAY, REPEAT, REORDER, THIN ->
                    applyLinkFault(fault, NetworkLink.LinkFault.of(fault), active);
            case REFUSE -> forEachPath(fault, path -> path.setRefusing(active));
            case RESET ->
                    forEachPath(
                            fault,
                            path -> {
                                if (active) {
                                    path.resetConnections();
                                }
                            });
            case CRASH -> forEachUpstream(fault, upstream -> setCrashed(upstream, active));
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
                    forEachDiscoveryAgent(
                            fault,
                            agent ->
                                    agent.extraDelayMicros(
                                            Math.round((active ? 1e3 : -1e3) * spec.delayMs())));
            case STALE -> forEachDiscoveryAgent(fault, agent -> agent.stale(active));
            case SILENT -> forEachDiscoveryAgent(fault, agent -> agent.silent(active));
            case DENY -> forEachDiscoveryAgent(fault, agent -> agent.setDenied(active));
            // The fleet's
            case KILL, TERM, PAUSE -> {}
        }
    }

    private void applyLinkFault(
            WorkloadPlan.Fault fault, NetworkLink.LinkFault linkFault, boolean active) {
        int balancers = emulation.scenario().fleet().balancers();
        for (int balancer = 0; balancer < balancers; balancer++) {
            for (int peer = 0; peer < balancers; peer++) {
                if (fault.affectsPeers(balancer, peer)) {
                    environment.peerNetwork().link(balancer, peer).setFault(linkFault, active);
                }
            }
            for (UpstreamEmulator upstream : environment.upstreams()) {
                int position = upstream.spec().position();
                boolean forward = fault.affectsForwardPath(balancer, position);
                boolean reverse = fault.affectsReversePath(balancer, position);
                if (forward || reverse) {
                    environment
                            .path(balancer, upstream.spec().number())
                            .applyLinkFault(linkFault, forward, reverse, active);
                }
            }
        }
    }

    private void forEachPath(
            WorkloadPlan.Fault fault, java.util.function.Consumer<NetworkPath> change) {
        for (int balancer : fault.balancers()) {
            for (UpstreamEmulator upstream : environment.upstreams()) {
                if (fault.toUpstreams().contains(upstream.spec().position())) {
                    change.accept(environment.path(balancer, upstream.spec().number()));
                }
            }
        }
    }

    private void forEachUpstream(
            WorkloadPlan.Fault fault, java.util.function.Consumer<UpstreamEmulator> change) {
        fault.upstreams().forEach(upstream -> change.accept(environment.upstream(upstream)));
    }

    private void forEachDiscoveryAgent(
            WorkloadPlan.Fault fault, java.util.function.Consumer<DiscoveryEmulator> change) {
        fault.balancers().forEach(balancer -> change.accept(environment.discoveryAgent(balancer)));
    }

    private void setCrashed(UpstreamEmulator upstream, boolean active) {
        int number = upstream.spec().number();
        if (active) {
            upstream.crash();
            environment.publish(new DiscoveryEntry(number, DiscoveryEntry.REMOVED, 0));
        } else {
            upstream.start();
            environment.publish(
                    new DiscoveryEntry(number, DiscoveryEntry.UP, System.currentTimeMillis()));
        }
    }

    private void replaceUpstream(UpstreamEmulator upstream, boolean active) {
        int number = upstream.spec().number();
        if (active) {
            upstream.startDraining();
            environment.publish(new DiscoveryEntry(number, DiscoveryEntry.DRAINING, 0));
        } else {
            upstream.crash();
            environment.publish(new DiscoveryEntry(number, DiscoveryEntry.REMOVED, 0));
            int successor = emulation.plan().successor(number).number();
            environment.upstream(successor).start();
            environment.publish(
                    new DiscoveryEntry(successor, DiscoveryEntry.UP, System.currentTimeMillis()));
        }
    }
}

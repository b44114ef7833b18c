package loadbalancer.testbed.simulation;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Predicate;
import loadbalancer.testbed.network.NetworkLink;
import loadbalancer.testbed.scenario.Range;
import loadbalancer.testbed.scenario.Scenario;
import loadbalancer.testbed.workload.RandomStreams;
import loadbalancer.testbed.workload.WorkloadPlan;
import org.apache.commons.rng.UniformRandomProvider;

/**
 * Simulates the links between balancers, and between balancers and upstreams, in virtual time. For
 * a pair without faults only the delay is stored. When a pair is first used after a fault, its own
 * links are created and all faults so far are applied to them. Used only by the thread that runs
 * the simulation.
 */
final class SimulatedNetwork {
    // The first number of a pair is shifted by this many bits in the key of the pair.
    private static final int PAIR_KEY_SHIFT = 32;
    // One-way delay within a zone.
    private static final int BASE_DELAY_MICROS = 1;

    private final List<WorkloadPlan.UpstreamSpec> upstreams;
    private final UniformRandomProvider upstreamRandom;
    private final UniformRandomProvider peerRandom;
    private final Scenario.Network networkSettings;
    // One-way delay without faults, by balancer and upstream.
    private final int[][] delaysMicros;
    // Used between any two balancers as long as no fault has affected peer links.
    private final NetworkLink healthyPeerLink;
    private final List<FaultChange> upstreamFaultChanges = new ArrayList<>();
    private final List<FaultChange> peerFaultChanges = new ArrayList<>();
    // Links by the key of balancer and upstream, created on first use after a fault.
    private final Map<Long, LinkPair> upstreamLinks = new HashMap<>();
    // Links by the key of sender and recipient, created on first use after a fault.
    private final Map<Long, NetworkLink> peerLinks = new HashMap<>();
    private final List<WorkloadPlan.Fault> activeRefusals = new ArrayList<>();

    /** The start or the end of a link fault. */
    private record FaultChange(
            WorkloadPlan.Fault fault, NetworkLink.LinkFault linkFault, boolean active) {
        void applyTo(NetworkLink link) {
            link.setFault(linkFault, active);
        }
    }

    /** The link from a balancer to an upstream and the link back. */
    private record LinkPair(NetworkLink forward, NetworkLink reverse) {}

    SimulatedNetwork(WorkloadPlan plan) {
        Scenario scenario = plan.scenario();
        upstreams = plan.upstreams();
        networkSettings = scenario.network();
        upstreamRandom = RandomStreams.stream(plan.seed(), "paths");
        peerRandom = RandomStreams.stream(plan.seed(), "mesh");
        healthyPeerLink = newPeerLink();
        delaysMicros = new int[scenario.fleet().balancers()][upstreams.size()];
        Range zoneDelayRangeMs = networkSettings.zoneDelayMs();
        for (int balancer = 0; balancer < delaysMicros.length; balancer++) {
            for (int upstream = 0; upstream < upstreams.size(); upstream++) {
                double zoneDelayMs = RandomStreams.drawUniform(upstreamRandom, zoneDelayRangeMs);
                boolean sameZone =
                        upstreams.get(upstream).zone() == scenario.zoneOfBalancer(balancer);
                int zoneDelayMicros = sameZone ? 0 : (int) Math.round(zoneDelayMs * 1e3);
                delaysMicros[balancer][upstream] = BASE_DELAY_MICROS + zoneDelayMicros;
            }
        }
    }

    private NetworkLink newPeerLink() {
        return NetworkLink.betweenPeers(peerRandom, networkSettings);
    }

    private static long pairKey(int first, int second) {
        return ((long) first << PAIR_KEY_SHIFT) | second;
    }

    private static void applyAffecting(
            List<FaultChange> changes, Predicate<WorkloadPlan.Fault> affects, NetworkLink link) {
        for (FaultChange change : changes) {
            if (affects.test(change.fault)) {
                change.applyTo(link);
            }
        }
    }

    /** Returns the link from one balancer to another. */
    NetworkLink peerLink(int from, int to) {
        return peerFaultChanges.isEmpty()
                ? healthyPeerLink
                : peerLinks.computeIfAbsent(
                        pairKey(from, to), key -> newPeerLinkWithFaults(from, to));
    }

    private NetworkLink newPeerLinkWithFaults(int from, int to) {
        NetworkLink link = newPeerLink();
        applyAffecting(peerFaultChanges, fault -> fault.affectsPeers(from, to), link);
        return link;
    }

    private LinkPair linkPair(int balancer, int upstream) {
        return upstreamLinks.computeIfAbsent(
                pairKey(balancer, upstream), key -> newLinkPairWithFaults(balancer, upstream));
    }

    private LinkPair newLinkPairWithFaults(int balancer, int upstream) {
        int position = upstreams.get(upstream).position();
        int delayMicros = delaysMicros[balancer][upstream];
        LinkPair pair =
                new LinkPair(
                        new NetworkLink(upstreamRandom, delayMicros),
                        new NetworkLink(upstreamRandom, delayMicros));
        applyAffecting(
                upstreamFaultChanges,
                fault -> fault.affectsForwardPath(balancer, position),
                pair.forward);
        applyAffecting(
                upstreamFaultChanges,
                fault -> fault.affectsReversePath(balancer, position),
                pair.reverse);
        return pair;
    }

    /** Draws the one-way delay from a balancer to an upstream in µs. */
    long forwardDelayMicros(int balancer, int upstream, long nowMicros) {
        return upstreamFaultChanges.isEmpty()
                ? delaysMicros[balancer][upstream]
                : linkPair(balancer, upstream).forward.sampleTcpDelayMicros(nowMicros, 0);
    }

    /** Draws the one-way delay from an upstream to a balancer in µs. */
    long reverseDelayMicros(int balancer, int upstream, long nowMicros) {
        return upstreamFaultChanges.isEmpty()
                ? delaysMicros[balancer][upstream]
                : linkPair(balancer, upstream).reverse.sampleTcpDelayMicros(nowMicros, 0);
    }

    /** Returns whether the link is cut in at least one direction. */
    boolean isCut(int balancer, int upstream) {
        if (upstreamFaultChanges.isEmpty()) {
            return false;
        }
        LinkPair pair = linkPair(balancer, upstream);
        return pair.forward.isCut() || pair.reverse.isCut();
    }

    /** Returns whether a fault refuses connections from the balancer to the upstream. */
    boolean refusesConnections(int balancer, int upstream) {
        for (WorkloadPlan.Fault fault : activeRefusals) {
            if (fault.balancers().contains(balancer)
                    && fault.toUpstreams().contains(upstreams.get(upstream).position())) {
                return true;
            }
        }
        return false;
    }

    /** Applies the start or the end of a link fault to all links that it affects. */
    void applyLinkFault(WorkloadPlan.Fault fault, boolean active) {
        FaultChange change = new FaultChange(fault, NetworkLink.LinkFault.of(fault), active);
        if (!fault.balancers().isEmpty() && !fault.toBalancers().isEmpty()) {
            peerFaultChanges.add(change);
            peerLinks.forEach((key, link) -> applyToPeerLink(change, key, link));
        }
        boolean affectsUpstreamLinks =
                (!fault.balancers().isEmpty() && !fault.toUpstreams().isEmpty())
                        || (!fault.upstreams().isEmpty() && !fault.toBalancers().isEmpty());
        if (affectsUpstreamLinks) {
            upstreamFaultChanges.add(change);
            upstreamLinks.forEach((key, pair) -> applyToLinkPair(change, key, pair));
        }
    }

    private static int firstOf(long pairKey) {
        return (int) (pairKey >> PAIR_KEY_SHIFT);
    }

    private static int secondOf(long pairKey) {
        return (int) pairKey;
    }

    private static void applyToPeerLink(FaultChange change, long pairKey, NetworkLink link) {
        if (change.fault.affectsPeers(firstOf(pairKey), secondOf(pairKey))) {
            change.applyTo(link);
        }
    }

    private void applyToLinkPair(FaultChange change, long pairKey, LinkPair pair) {
        int balancer = firstOf(pairKey);
        int position = upstreams.get(secondOf(pairKey)).position();
        if (change.fault.affectsForwardPath(balancer, position)) {
            change.applyTo(pair.forward);
        }
        if (change.fault.affectsReversePath(balancer, position)) {
            change.applyTo(pair.reverse);
        }
    }

    /** Applies the start or the end of a fault that refuses connections. */
    void setRefusing(WorkloadPlan.Fault fault, boolean active) {
        if (active) {
            activeRefusals.add(fault);
        } else {
            activeRefusals.remove(fault);
        }
    }
}

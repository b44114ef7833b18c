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
 * The links between balancers, and between balancers and upstreams, in virtual time. For a pair
 * without faults only its delay is stored. A pair gets links of its own when it is first used after
 * a fault; the faults so far are applied to them then. Single-threaded.
 */
final class SimulatedNetwork {
    // Of a pair's key: width of its second half
    private static final int KEY_HALF_BITS = 32;
    // One way, within a zone
    private static final int BASE_DELAY_MICROS = 1;

    private final List<WorkloadPlan.UpstreamSpec> upstreams;
    private final UniformRandomProvider upstreamRandom;
    private final UniformRandomProvider peerRandom;
    private final Scenario.Network networkSettings;
    // By balancer and upstream, without faults
    private final int[][] delaysMicros;
    // Between any two balancers, without faults
    private final NetworkLink healthyPeerLink;
    private final List<FaultChange> upstreamChanges = new ArrayList<>();
    private final List<FaultChange> peerChanges = new ArrayList<>();
    // By balancer and upstream, created on use
    private final Map<Long, LinkPair> upstreamLinks = new HashMap<>();
    // By sender and recipient, created on use
    private final Map<Long, NetworkLink> peerLinks = new HashMap<>();
    private final List<WorkloadPlan.Fault> activeRefusals = new ArrayList<>();

    /** The begin or the end of a fault of links. */
    private record FaultChange(
            WorkloadPlan.Fault fault, NetworkLink.LinkFault linkFault, boolean active) {
        void applyTo(NetworkLink link) {
            link.setFault(linkFault, active);
        }
    }

    /** The links from a balancer to an upstream and back. */
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
        return ((long) first << KEY_HALF_BITS) | second;
    }

    private static void replay(
            List<FaultChange> changes, Predicate<WorkloadPlan.Fault> affects, NetworkLink link) {
        for (FaultChange change : changes) {
            if (affects.test(change.fault)) {
                change.applyTo(link);
            }
        }
    }

    /** The link from one balancer to another. */
    NetworkLink peerLink(int from, int to) {
        return peerChanges.isEmpty()
                ? healthyPeerLink
                : peerLinks.computeIfAbsent(pairKey(from, to), key -> faultyPeerLink(from, to));
    }

    private NetworkLink faultyPeerLink(int from, int to) {
        NetworkLink link = newPeerLink();
        replay(peerChanges, fault -> fault.affectsPeers(from, to), link);
        return link;
    }

    private LinkPair linkPair(int balancer, int upstream) {
        return upstreamLinks.computeIfAbsent(
                pairKey(balancer, upstream), key -> faultyLinkPair(balancer, upstream));
    }

    private LinkPair faultyLinkPair(int balancer, int upstream) {
        int position = upstreams.get(upstream).position();
        int delayMicros = delaysMicros[balancer][upstream];
        LinkPair pair =
                new LinkPair(
                        new NetworkLink(upstreamRandom, delayMicros),
                        new NetworkLink(upstreamRandom, delayMicros));
        replay(
                upstreamChanges,
                fault -> fault.affectsForwardPath(balancer, position),
                pair.forward);
        replay(
                upstreamChanges,
                fault -> fault.affectsReversePath(balancer, position),
                pair.reverse);
        return pair;
    }

    /** Draws the delay from a balancer to an upstream in µs. */
    long forwardDelayMicros(int balancer, int upstream, long nowMicros) {
        return upstreamChanges.isEmpty()
                ? delaysMicros[balancer][upstream]
                : linkPair(balancer, upstream).forward.tcpDelayMicros(nowMicros, 0);
    }

    /** Draws the delay from an upstream to a balancer in µs. */
    long reverseDelayMicros(int balancer, int upstream, long nowMicros) {
        return upstreamChanges.isEmpty()
                ? delaysMicros[balancer][upstream]
                : linkPair(balancer, upstream).reverse.tcpDelayMicros(nowMicros, 0);
    }

    /** Whether nothing passes in at least one direction. */
    boolean isCut(int balancer, int upstream) {
        if (upstreamChanges.isEmpty()) {
            return false;
        }
        LinkPair pair = linkPair(balancer, upstream);
        return pair.forward.isCut() || pair.reverse.isCut();
    }

    /** Whether connections from the balancer to the upstream are refused. */
    boolean refusesConnections(int balancer, int upstream) {
        for (WorkloadPlan.Fault fault : activeRefusals) {
            if (fault.balancers().contains(balancer)
                    && fault.toUpstreams().contains(upstreams.get(upstream).position())) {
                return true;
            }
        }
        return false;
    }

    /** A fault of links begins or ends. */
    void applyLinkFault(WorkloadPlan.Fault fault, boolean active) {
        FaultChange change = new FaultChange(fault, NetworkLink.LinkFault.of(fault), active);
        if (!fault.balancers().isEmpty() && !fault.toBalancers().isEmpty()) {
            peerChanges.add(change);
            peerLinks.forEach((key, link) -> applyToPeerLink(change, key, link));
        }
        boolean affectsUpstreamLinks =
                (!fault.balancers().isEmpty() && !fault.toUpstreams().isEmpty())
                        || (!fault.upstreams().isEmpty() && !fault.toBalancers().isEmpty());
        if (affectsUpstreamLinks) {
            upstreamChanges.add(change);
            upstreamLinks.forEach((key, pair) -> applyToLinkPair(change, key, pair));
        }
    }

    private static int firstOf(long pairKey) {
        return (int) (pairKey >> KEY_HALF_BITS);
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

    /** A fault begins, or one ends, in which connections are refused. */
    void setRefusing(WorkloadPlan.Fault fault, boolean active) {
        if (active) {
            activeRefusals.add(fault);
        } else {
            activeRefusals.remove(fault);
        }
    }
}

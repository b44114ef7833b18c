package loadbalancer.testbed.simulation;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Predicate;
import loadbalancer.testbed.network.NetworkLink;
import loadbalancer.testbed.scenario.Scenario;
import loadbalancer.testbed.workload.RandomStreams;
import loadbalancer.testbed.workload.WorkloadPlan;
import org.apache.commons.rng.UniformRandomProvider;

/**
 * Every way between two parties in simulated time, and what is wrong with it now. Of each pair of
 * balancer and server only the delay is kept; a pair has ways of its own from when something goes
 * by it after a first fault of paths, and then they are as if all faults had found them there.
 */
final class SimulatedNetwork {
    // Of a pair's key, for its second half
    private static final int KEY_HALF_BITS = 32;

    private final List<WorkloadPlan.UpstreamSpec> upstreams;
    private final UniformRandomProvider upstreamRandom;
    private final UniformRandomProvider peerRandom;
    private final Scenario.Network networkSettings;
    // µs by balancer and server, all being well
    private final int[][] delaysMicros;
    // Between any two balancers, likewise
    private final NetworkLink healthyPeerLink;
    private final List<FaultChange> upstreamChanges = new ArrayList<>();
    private final List<FaultChange> peerChanges = new ArrayList<>();
    // By balancer and server, as far as used
    private final Map<Long, LinkPair> upstreamLinks = new HashMap<>();
    // By who sends and who hears, as far as used
    private final Map<Long, NetworkLink> peerLinks = new HashMap<>();
    // That last
    private final List<WorkloadPlan.Fault> activeRefusals = new ArrayList<>();

    /** A fault of paths began or ended. */
    private record FaultChange(
            WorkloadPlan.Fault fault, NetworkLink.LinkFault linkFault, boolean active) {}

    private record LinkPair(NetworkLink forward, NetworkLink reverse) {}

    SimulatedNetwork(WorkloadPlan plan) {
        Scenario scenario = plan.scenario();
        upstreams = plan.upstreams();
        networkSettings = scenario.network();
        upstreamRandom = RandomStreams.stream(plan.seed(), "paths");
        peerRandom = RandomStreams.stream(plan.seed(), "mesh");
        healthyPeerLink = newPeerLink();
        delaysMicros = new int[scenario.fleet().balancers()][upstreams.size()];
        List<Double> zoneDelayRangeMs = networkSettings.zoneDelayMs();
        for (int balancer = 0; balancer < delaysMicros.length; balancer++) {
            for (int upstream = 0; upstream < upstreams.size(); upstream++) {
                double zoneDelayMs =
                        zoneDelayRangeMs.get(0)
                                + upstreamRandom.nextDouble()
                                        * (zoneDelayRangeMs.get(1) - zoneDelayRangeMs.get(0));
                delaysMicros[balancer][upstream] =
                        1
                                + (upstreams.get(upstream).zone()
                                                == scenario.zoneOfBalancer(balancer)
                                        ? 0
                                        : (int) Math.round(zoneDelayMs * 1e3));
            }
        }
    }

    private NetworkLink newPeerLink() {
        List<Double> delayRangeMs = networkSettings.peerDelayMs();
        NetworkLink link = new NetworkLink(peerRandom, Math.round(delayRangeMs.get(0) * 1e3));
        link.setFault(
                new NetworkLink.LinkFault(
                        false,
                        networkSettings.peerLoss(),
                        0,
                        Math.round((delayRangeMs.get(1) - delayRangeMs.get(0)) * 1e3),
                        0,
                        0,
                        0),
                true);
        return link;
    }

    private static long pairKey(int first, int second) {
        return (long) first << KEY_HALF_BITS | second;
    }

    private static void replay(
            List<FaultChange> changes, Predicate<WorkloadPlan.Fault> affects, NetworkLink link) {
        for (FaultChange change : changes) {
            if (affects.test(change.fault)) {
                link.setFault(change.linkFault, change.active);
            }
        }
    }

    NetworkLink peerLinks(int from, int to) {
        return peerChanges.isEmpty()
                ? healthyPeerLink
                : peerLinks.computeIfAbsent(
                        pairKey(from, to),
                        key -> {
                            NetworkLink link = newPeerLink();
                            replay(peerChanges, fault -> fault.affectsPeers(from, to), link);
                            return link;
                        });
    }

    private LinkPair linkPair(int balancer, int upstream) {
        return upstreamLinks.computeIfAbsent(
                pairKey(balancer, upstream),
                key -> {
                    int position = upstreams.get(upstream).position();
                    LinkPair pair =
                            new LinkPair(
                                    new NetworkLink(
                                            upstreamRandom, delaysMicros[balancer][upstream]),
                                    new NetworkLink(
                                            upstreamRandom, delaysMicros[balancer][upstream]));
                    replay(
                            upstreamChanges,
                            fault -> fault.affectsForwardPath(balancer, position),
                            pair.forward);
                    replay(
                            upstreamChanges,
                            fault -> fault.affectsReversePath(balancer, position),
                            pair.reverse);
                    return pair;
                });
    }

    long forwardDelayMicros(int balancer, int upstream, long now) {
        return upstreamChanges.isEmpty()
                ? delaysMicros[balancer][upstream]
                : linkPair(balancer, upstream).forward.tcpDelayMicros(now, 0);
    }

    long reverseDelayMicros(int balancer, int upstream, long now) {
        return upstreamChanges.isEmpty()
                ? delaysMicros[balancer][upstream]
                : linkPair(balancer, upstream).reverse.tcpDelayMicros(now, 0);
    }

    boolean isCut(int balancer, int upstream) {
        if (upstreamChanges.isEmpty()) {
            return false;
        }
        LinkPair pair = linkPair(balancer, upstream);
        return pair.forward.isCut() || pair.reverse.isCut();
    }

    boolean refusesConnections(int balancer, int upstream) {
        for (WorkloadPlan.Fault fault : activeRefusals) {
            if (fault.balancers().contains(balancer)
                    && fault.toUpstreams().contains(upstreams.get(upstream).position())) {
                return true;
            }
        }
        return false;
    }

    /** A fault of paths begins or ends. */
    void applyLinkFault(WorkloadPlan.Fault fault, boolean active) {
        FaultChange change = new FaultChange(fault, NetworkLink.LinkFault.of(fault), active);
        if (!fault.balancers().isEmpty() && !fault.toBalancers().isEmpty()) {
            peerChanges.add(change);
            peerLinks.forEach(
                    (key, link) ->
                            replay(
                                    List.of(change),
                                    ignored ->
                                            fault.affectsPeers(
                                                    (int) (key >> KEY_HALF_BITS), key.intValue()),
                                    link));
        }
        if (!fault.balancers().isEmpty() && !fault.toUpstreams().isEmpty()
                || !fault.upstreams().isEmpty() && !fault.toBalancers().isEmpty()) {
            upstreamChanges.add(change);
            upstreamLinks.forEach(
                    (key, pair) -> {
                        int balancer = (int) (key >> KEY_HALF_BITS);
                        int position = upstreams.get(key.intValue()).position();
                        replay(
                                List.of(change),
                                ignored -> fault.affectsForwardPath(balancer, position),
                                pair.forward);
                        replay(
                                List.of(change),
                                ignored -> fault.affectsReversePath(balancer, position),
                                pair.reverse);
                    });
        }
    }

    /** Connections from some balancers to some servers are refused, or no longer. */
    void setRefusing(WorkloadPlan.Fault fault, boolean active) {
        if (active) {
            activeRefusals.add(fault);
        } else {
            activeRefusals.remove(fault);
        }
    }
}

package junctionhead.lab.sim;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Predicate;
import junctionhead.lab.model.Way;
import junctionhead.lab.plan.Plan;
import junctionhead.lab.plan.Seeds;
import junctionhead.lab.scenario.Scenario;
import org.apache.commons.rng.UniformRandomProvider;

/**
 * Every way between two parties in simulated time, and what is wrong with it now. Of each pair of
 * balancer and server only the delay is kept; a pair has ways of its own from when something goes
 * by it after a first fault of paths, and then they are as if all faults had found them there.
 */
final class SimPaths {
    // Of a pair's key, for its second half
    private static final int BITS = 32;

    private final List<Plan.Server> servers;
    private final UniformRandomProvider paths;
    private final UniformRandomProvider mesh;
    private final Scenario.Network network;
    // µs by balancer and server, all being well
    private final int[][] delays;
    // Between any two balancers, likewise
    private final Way plainPeer;
    private final List<Change> ofServers = new ArrayList<>();
    private final List<Change> ofPeers = new ArrayList<>();
    // By balancer and server, as far as used
    private final Map<Long, Pair> pairs = new HashMap<>();
    // By who sends and who hears, as far as used
    private final Map<Long, Way> peers = new HashMap<>();
    // That last
    private final List<Plan.Fault> refusals = new ArrayList<>();

    /** A fault of paths began or ended. */
    private record Change(Plan.Fault fault, Way.Trouble trouble, boolean on) {}

    private record Pair(Way there, Way back) {}

    SimPaths(Plan plan) {
        Scenario scenario = plan.scenario();
        servers = plan.servers();
        network = scenario.network();
        paths = Seeds.stream(plan.seed(), "paths");
        mesh = Seeds.stream(plan.seed(), "mesh");
        plainPeer = newPeer();
        delays = new int[scenario.fleet().balancers()][servers.size()];
        List<Double> zone = network.zoneDelayMs();
        for (int b = 0; b < delays.length; b++) {
            for (int s = 0; s < servers.size(); s++) {
                double drawn = zone.get(0) + paths.nextDouble() * (zone.get(1) - zone.get(0));
                delays[b][s] =
                        1
                                + (servers.get(s).zone() == scenario.zoneOfBalancer(b)
                                        ? 0
                                        : (int) Math.round(drawn * 1e3));
            }
        }
    }

    private Way newPeer() {
        List<Double> delay = network.peerDelayMs();
        Way way = new Way(mesh, Math.round(delay.get(0) * 1e3));
        way.set(
                new Way.Trouble(
                        false,
                        network.peerLoss(),
                        0,
                        Math.round((delay.get(1) - delay.get(0)) * 1e3),
                        0,
                        0,
                        0),
                true);
        return way;
    }

    private static long key(int one, int other) {
        return (long) one << BITS | other;
    }

    private static void replay(List<Change> changes, Predicate<Plan.Fault> touches, Way way) {
        for (Change c : changes) {
            if (touches.test(c.fault)) {
                way.set(c.trouble, c.on);
            }
        }
    }

    Way peers(int from, int to) {
        return ofPeers.isEmpty()
                ? plainPeer
                : peers.computeIfAbsent(
                        key(from, to),
                        k -> {
                            Way way = newPeer();
                            replay(ofPeers, f -> f.troublesPeers(from, to), way);
                            return way;
                        });
    }

    private Pair pair(int balancer, int server) {
        return pairs.computeIfAbsent(
                key(balancer, server),
                k -> {
                    int place = servers.get(server).place();
                    Pair pair =
                            new Pair(
                                    new Way(paths, delays[balancer][server]),
                                    new Way(paths, delays[balancer][server]));
                    replay(ofServers, f -> f.troublesThere(balancer, place), pair.there);
                    replay(ofServers, f -> f.troublesBack(balancer, place), pair.back);
                    return pair;
                });
    }

    long delayTo(int balancer, int server, long now) {
        return ofServers.isEmpty()
                ? delays[balancer][server]
                : pair(balancer, server).there.delayOf(now, 0);
    }

    long delayFrom(int balancer, int server, long now) {
        return ofServers.isEmpty()
                ? delays[balancer][server]
                : pair(balancer, server).back.delayOf(now, 0);
    }

    boolean cut(int balancer, int server) {
        if (ofServers.isEmpty()) {
            return false;
        }
        Pair pair = pair(balancer, server);
        return pair.there.cut() || pair.back.cut();
    }

    boolean refuses(int balancer, int server) {
        for (Plan.Fault f : refusals) {
            if (f.balancers().contains(balancer)
                    && f.toUpstreams().contains(servers.get(server).place())) {
                return true;
            }
        }
        return false;
    }

    /** A fault of paths begins or ends. */
    void trouble(Plan.Fault f, boolean on) {
        Change change = new Change(f, Way.Trouble.of(f), on);
        if (!f.balancers().isEmpty() && !f.toBalancers().isEmpty()) {
            ofPeers.add(change);
            peers.forEach(
                    (key, way) ->
                            replay(
                                    List.of(change),
                                    any -> f.troublesPeers((int) (key >> BITS), key.intValue()),
                                    way));
        }
        if (!f.balancers().isEmpty() && !f.toUpstreams().isEmpty()
                || !f.upstreams().isEmpty() && !f.toBalancers().isEmpty()) {
            ofServers.add(change);
            pairs.forEach(
                    (key, pair) -> {
                        int balancer = (int) (key >> BITS);
                        int place = servers.get(key.intValue()).place();
                        replay(
                                List.of(change),
                                any -> f.troublesThere(balancer, place),
                                pair.there);
                        replay(List.of(change), any -> f.troublesBack(balancer, place), pair.back);
                    });
        }
    }

    /** Connections from some balancers to some servers are refused, or no longer. */
    void refuse(Plan.Fault f, boolean on) {
        if (on) {
            refusals.add(f);
        } else {
            refusals.remove(f);
        }
    }
}

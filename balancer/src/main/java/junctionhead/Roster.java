package junctionhead;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.function.IntToLongFunction;
import java.util.function.Predicate;
import java.util.function.ToDoubleFunction;
import junctionhead.Books.Node;
import junctionhead.Policy.Server;
import junctionhead.Policy.State;

/**
 * The servers that discovery has named, and what follows from the list alone: their ring, mean weight and
 * kinds.
 */
final class Roster {
    private static final int POINTS = 8;                // on the ring, for a server of mean weight

    private final SplittableRandom random;
    private final int classes;
    private final long home;                            // where this balancer's subset starts
    private final Map<String, Node> nodes = new LinkedHashMap<>();
    private final Ring ring = new Ring();               // of the listed servers, more points by weight
    private List<Node> listed = new ArrayList<>();      // up, in the seeded order
    private Node[] homeRing = {};                       // each server once, from this balancer's point on
    private double meanWeight = 1;                      // of listed servers
    private double fastShare = 0.5;                     // the paper's p

    Roster(Policy.Settings settings, SplittableRandom random) {
        this.random = random;
        this.classes = settings.classes().size();
        this.home = (long) ((settings.rank() + 0.5) / settings.balancers() * 0x1p64 - 0x1p63);
    }

    /** Takes a list in: all of it, or changes ({@code partial}). */
    void update(List<Server> servers, boolean partial, long now) {
        if (!partial) {
            for (Node n : nodes.values()) {
                n.server = n.server.in(State.GONE);
            }
        }
        for (Server s : servers) {
            enter(s, now);
        }
        listed = new ArrayList<>();
        for (Node n : nodes.values()) {
            if (n.server.state() == State.UP) {
                listed.add(n);
            }
        }
        arrange();
        nodes.values().removeIf(n -> n.server.state() == State.GONE && n.inFlight == 0);
        fastShare = share();
    }

    private void enter(Server s, long now) {
        Node n = nodes.get(s.id());
        if (n == null || n.server.startedAt() != s.startedAt() && s.startedAt() > 0) {
            if (n != null) {
                ring.place(n, 0);
            }
            n = new Node(s, random.nextInt(), classes);
            n.tokens = random.nextDouble();
            n.tokensAt = now;
            n.lastOk = now;
            nodes.put(s.id(), n);
        }
        n.server = s;
    }

    private void arrange() {
        meanWeight = listed.stream().mapToDouble(n -> n.server.weight()).average().orElse(1);
        for (Node n : nodes.values()) {
            double share = POINTS * n.server.weight() / meanWeight;
            int many = (int) Math.max(1, Math.min(8 * POINTS, Math.round(share)));
            ring.place(n, n.server.state() == State.UP ? many : 0);
        }
        homeRing = ring.eachOnce(home);
    }

    // The paper's p: the share of servers of the kinds whose mean weight is above the mean of all.
    private double share() {
        Map<Integer, double[]> kinds = new LinkedHashMap<>();
        double sum = 0;
        for (Node n : listed) {
            double[] k = kinds.computeIfAbsent(n.server.kind(), x -> new double[2]);
            k[0] += n.server.weight();
            k[1]++;
            sum += n.server.weight();
        }
        double fast = 0;
        for (double[] k : kinds.values()) {
            if (k[0] / k[1] >= sum / listed.size()) {
                fast += k[1];
            }
        }
        return kinds.size() < 2 ? 0.5 : fast / listed.size();
    }

    /** Those that are up; the caller leaves the list as it is. */
    List<Node> listed() {
        return listed;
    }

    /**
     * Of each zone that servers name, what is known of them: {@code silent} tells who seems gone, {@code
     * from} since when an answer counts.
     */
    List<Books.Tally> tallies(Predicate<Node> silent, IntToLongFunction from) {
        int zones = 1 + listed.stream().mapToInt(n -> n.server.zone()).max().orElse(-1);
        int[][] counts = new int[zones][3];
        for (Node n : listed) {
            if (n.server.zone() >= 0) {
                int[] of = counts[n.server.zone()];
                boolean out = silent.test(n);
                of[0]++;
                of[1] += out ? 1 : 0;
                of[2] += !out && n.oks > 0 && n.lastOk >= from.applyAsLong(n.server.zone()) ? 1 : 0;
            }
        }
        return Arrays.stream(counts).map(c -> new Books.Tally(c[0], c[1], c[2])).toList();
    }

    /**
     * What is known of each listed server; counts as if one more counted for 1, and not for {@code scale}.
     */
    List<Kept.OfServer> keep(double scale, long now) {
        return listed.stream().map(n -> new Kept.OfServer(n.server.id(), n.server.startedAt(),
            n.count / scale,
            n.oks / scale, n.fails / scale, Math.max(0, n.ejectedUntil - now), n.ejections, n.unreached,
            Arrays.stream(n.classes).map(c -> Math.max(0, c.foundUntil() - now)).toList())).toList();
    }

    /**
     * Takes over what was known {@code age} µs ago of servers that are listed and the same processes still:
     * counts for {@code scale}, and of each rest what is left. A server is tried at its end, as ever.
     */
    void recall(List<Kept.OfServer> kept, double scale, long age, long now) {
        for (Kept.OfServer k : kept) {
            Node n = nodes.get(k.id());
            if (n == null || n.server.startedAt() != k.startedAt()) {
                continue;
            }
            n.count = k.count() * scale;
            n.oks = k.served() * scale;
            n.fails = k.failed() * scale;
            if (k.restsFor() > age) {
                n.ejectedUntil = now + k.restsFor() - age;
                n.ejections = k.ejections();
                n.unreached = k.unreached();
                n.trial = Exclusion.TRIALS_OK;
            }
            for (int i = 0; i < Math.min(n.classes.length, k.classRests().size()); i++) {
                if (k.classRests().get(i) > age) {
                    n.classes[i].heard(now + k.classRests().get(i) - age);
                }
            }
        }
    }

    /** Null where it is not known. */
    Node get(String id) {
        return nodes.get(id);
    }

    /** Brings faded counts back to scale. */
    void rescale(double scale) {
        for (Node n : nodes.values()) {
            n.count /= scale;
            n.oks /= scale;
            n.fails /= scale;
        }
    }

    /** Each listed server once, from this balancer's point of the ring on. */
    Node[] homeRing() {
        return homeRing;
    }

    Ring ring() {
        return ring;
    }

    double meanWeight() {
        return meanWeight;
    }

    /** The mean of what servers have of something, weighted as they are. */
    double share(ToDoubleFunction<Node> of) {
        return listed.stream().mapToDouble(n -> of.applyAsDouble(n) * n.server.weight()).sum()
            / Math.max(1e-9, listed.size() * meanWeight);
    }

    /** The paper's p, from 0 to 1. */
    double fastShare() {
        return fastShare;
    }
}

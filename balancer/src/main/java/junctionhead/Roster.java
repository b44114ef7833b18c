package junctionhead;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.Collections;
import java.util.Comparator;
import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.function.Consumer;
import java.util.function.IntToDoubleFunction;
import java.util.function.IntToLongFunction;
import java.util.function.Predicate;
import java.util.function.ToDoubleFunction;
import java.util.stream.IntStream;
import junctionhead.Books.Node;
import junctionhead.Policy.Server;
import junctionhead.Policy.State;

/**
 * The servers that discovery has named, and what follows from the list alone: their ring, mean
 * weight and kinds. A change costs by what it changes: sums, ring and order are mended, not made
 * anew.
 */
final class Roster {
    /** Servers that it holds at most: more would not fit beside the requests. */
    static final int MOST = 20_000;

    private static final Comparator<Node> BY_PLACE = Comparator.comparingLong(n -> n.place);
    // That come or go at once: then sorted
    private static final int MANY = 64;

    private final SplittableRandom random;
    private final int classes;
    private final Map<String, Node> nodes = new HashMap<>();
    // Gone with work: held until that has ended
    private final Set<Node> gone = new LinkedHashSet<>();
    // Of the listed servers, more points by weight
    private final Ring ring;
    private final Points points;
    // Of the listed servers
    private final Census census = new Census();
    private final Watched watched = new Watched();
    // Up, in the order in which they were first named
    private final List<Node> listed = new ArrayList<>();
    // Of listed servers
    private double meanWeight = 1;
    private int lists;
    // Servers, as far as the list has been read
    private int held;
    private long places;

    Roster(Policy.Settings settings, SplittableRandom random) {
        this.random = random;
        this.classes = settings.classes().size();
        this.ring =
                new Ring((long) ((settings.rank() + 0.5) / settings.balancers() * 0x1p64 - 0x1p63));
        this.points = new Points(ring);
    }

    /** Where in the order of the list a server is, or would have to be. */
    static int where(List<Node> ordered, Node n) {
        int last = ordered.size() - 1;
        if (last < 0 || ordered.get(last).place < n.place) {
            return last + 1;
        }
        int found = Collections.binarySearch(ordered, n, BY_PLACE);
        return found < 0 ? -found - 1 : found;
    }

    /**
     * Takes a list in: all of it, or changes ({@code partial}); {@code remark} hears of a lack of
     * room.
     */
    void update(List<Server> servers, boolean partial, long now, Consumer<String> remark) {
        lists++;
        held = partial ? nodes.size() : 0;
        List<Node> changed = new ArrayList<>();
        int unused = 0;
        for (Server s : servers) {
            unused += enter(s, partial, now, changed) ? 0 : 1;
        }
        if (!partial) {
            for (Node n : nodes.values()) {
                if (n.named != lists && n.server.state() != State.GONE) {
                    n.server = n.server.in(State.GONE);
                    changed.add(n);
                }
            }
        }
        // Into the list, or out of it
        List<Node> moved = new ArrayList<>();
        for (Node n : changed) {
            settle(n, moved);
        }
        order(moved);
        meanWeight = census.meanWeight();
        points.meanIs(meanWeight);
        changed.forEach(points::place);
        gone.removeIf(
                n ->
                        n.server.state() != State.GONE
                                || nodes.get(n.server.id()) != n
                                || n.inFlight == 0 && nodes.remove(n.server.id(), n));
        if (unused > 0) {
            remark.accept(
                    "list: "
                            + unused
                            + " servers beyond the "
                            + MOST
                            + " that it may hold are not used");
        }
    }

    // False where there is no room for it.
    private boolean enter(Server s, boolean partial, long now, List<Node> changed) {
        Node n = nodes.get(s.id());
        if (n == null || !partial && n.named != lists) {
            if (held >= MOST) {
                return false;
            }
            held++;
        }
        if (n == null || n.server.startedAt() != s.startedAt() && s.startedAt() > 0) {
            Node earlier = n;
            n = new Node(s, random.nextInt(), classes, watched);
            n.tokens = random.nextDouble();
            n.tokensAt = now;
            n.lastOk = now;
            n.place = earlier == null ? places++ : earlier.place;
            nodes.put(s.id(), n);
            if (earlier != null) {
                earlier.server = earlier.server.in(State.GONE);
                // First: they have one place in the order
                changed.add(earlier);
            }
            changed.add(n);
        } else if (!n.server.equals(s)) {
            n.server = s;
            changed.add(n);
        }
        n.named = lists;
        return true;
    }

    // Has the sums count a server as it is now.
    private void settle(Node n, List<Node> moved) {
        Server is = n.server.state() == State.UP ? n.server : null;
        Server was = n.counted;
        if (n.server.state() == State.GONE) {
            gone.add(n);
        }
        if (is == was) {
            return;
        }
        if (was != null) {
            census.count(was, false);
            points.remove(n, was.weight());
        }
        if (is != null) {
            census.count(is, true);
            points.add(n, is.weight());
        }
        if (is == null) {
            watched.remove(n);
        }
        n.counted = is;
        n.watch();
        if (is == null || was == null) {
            moved.add(n);
        }
    }

    private void order(List<Node> moved) {
        if (moved.size() > MANY) {
            listed.removeIf(n -> n.counted == null);
            moved.stream().filter(n -> n.counted != null).forEach(listed::add);
            listed.sort(BY_PLACE);
            return;
        }
        for (Node n : moved) {
            int where = where(listed, n);
            if (n.counted == null) {
                listed.remove(where);
            } else {
                listed.add(where, n);
            }
        }
    }

    /** Those that are up; the caller leaves the list as it is. */
    List<Node> listed() {
        return listed;
    }

    /**
     * Those of them that may be out of the ordinary, in the same order: cold, sent to, at rest, cut
     * off.
     */
    List<Node> watched() {
        return watched.nodes();
    }

    /** Drops those watched that are ordinary again; returns those left. */
    List<Node> tidy(Predicate<Node> warm, long now) {
        watched.tidy(warm, now);
        return watched.nodes();
    }

    /**
     * Of each zone that servers name, what is known of them: {@code silent} tells who seems gone,
     * {@code from} since when an answer counts.
     */
    List<Books.Tally> tallies(Predicate<Node> silent, IntToLongFunction from) {
        int[][] counts = new int[census.zones()][2];
        for (Node n : watched.nodes()) {
            int zone = n.server.zone();
            if (zone >= 0) {
                boolean out = silent.test(n);
                counts[zone][0] += out ? 1 : 0;
                counts[zone][1] += !out && n.oks > 0 && n.lastOk >= from.applyAsLong(zone) ? 1 : 0;
            }
        }
        return IntStream.range(0, counts.length)
                .mapToObj(
                        zone ->
                                new Books.Tally(
                                        census.inZone(zone), counts[zone][0], counts[zone][1]))
                .toList();
    }

    /**
     * What is known of each listed server; counts as if one more counted for 1, and not for {@code
     * scale}.
     */
    List<Kept.OfServer> keep(double scale, long now) {
        return listed.stream()
                .map(
                        n ->
                                new Kept.OfServer(
                                        n.server.id(),
                                        n.server.startedAt(),
                                        n.count / scale,
                                        n.oks / scale,
                                        n.fails / scale,
                                        Math.max(0, n.ejectedUntil - now),
                                        n.ejections,
                                        n.unreached,
                                        Arrays.stream(n.classes)
                                                .map(c -> Math.max(0, c.foundUntil() - now))
                                                .toList()))
                .toList();
    }

    /**
     * Takes over what was known {@code age} µs ago of servers that are listed and the same
     * processes still: counts for {@code scale}, and of each rest what is left. A server is tried
     * at its end, as ever.
     */
    void recall(List<Kept.OfServer> kept, double scale, long age, long now) {
        for (Kept.OfServer k : kept) {
            Node n = nodes.get(k.id());
            if (n == null || n.server.startedAt() != k.startedAt()) {
                continue;
            }
            n.watch();
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

    Ring ring() {
        return ring;
    }

    double meanWeight() {
        return meanWeight;
    }

    /** Of the listed servers that are so; those not watched are warm. */
    double weight(Predicate<Node> warm) {
        double weight = census.weight();
        for (Node n : watched.nodes()) {
            weight -= warm.test(n) ? 0 : n.server.weight();
        }
        return weight;
    }

    /**
     * Faded answers of the listed servers that are so; those not watched have given none of late.
     */
    double oks(Predicate<Node> warm) {
        double oks = 0;
        for (Node n : watched.nodes()) {
            oks += warm.test(n) ? n.oks : 0;
        }
        return oks;
    }

    /**
     * The mean of what servers have of something, weighted as they are: those watched {@code of},
     * all others what is ordinary in their zone.
     */
    double share(IntToDoubleFunction ordinary, ToDoubleFunction<Node> of) {
        double sum = census.sum(ordinary);
        for (Node n : watched.nodes()) {
            sum +=
                    (of.applyAsDouble(n) - ordinary.applyAsDouble(n.server.zone()))
                            * n.server.weight();
        }
        return sum / Math.max(1e-9, listed.size() * meanWeight);
    }

    /** The paper's p, from 0 to 1. */
    double fastShare() {
        return census.fastShare();
    }
}

package junctionhead;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertSame;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashSet;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.TreeMap;
import java.util.stream.IntStream;
import junctionhead.Books.Node;
import junctionhead.Policy.Server;
import junctionhead.Policy.State;
import org.junit.jupiter.api.Test;

/** A list that is mended by each change is the list that would have been made anew. */
class RosterTest {
    private static final double[][] WEIGHTS = {
        {1}, {1, 1.5, 2, 0.5}, {1, 1.35, 1.7, 2.05}, {0.8}, {3, 1, 0.1, 12}
    };

    private final Random random = new Random(3);

    private static Roster roster() {
        return new Roster(ListCost.settings(), new SplittableRandom(1));
    }

    private static List<String> ids(Iterator<Node> servers) {
        List<String> ids = new ArrayList<>();
        servers.forEachRemaining(n -> ids.add(n.server.id()));
        return ids;
    }

    private static List<String> ids(Collection<Node> servers) {
        return ids(servers.iterator());
    }

    private Server any(int id, double[] weights) {
        double weight =
                weights[random.nextInt(weights.length)]
                        * (random.nextInt(50) == 0 ? random.nextDouble() : 1);
        State[] states = {State.UP, State.UP, State.UP, State.DRAINING, State.GONE};
        return new Server(
                "s" + id,
                states[random.nextInt(states.length)],
                random.nextInt(3),
                weight,
                0,
                random.nextInt(4) - 1,
                random.nextInt(4) - 1);
    }

    // The ring by its definition: all points in order, from a point on.
    private static List<String> ring(List<Server> up, double mean, long from) {
        TreeMap<Long, String> points = new TreeMap<>();
        for (Server s : up) {
            long many = Math.max(1, Math.min(64, Math.round(8 * s.weight() / mean)));
            for (int i = 0; i < many; i++) {
                points.put(Hashing.mix(Hashing.hash(s.id()) + i), s.id());
            }
        }
        List<String> order = new ArrayList<>(points.tailMap(from).values());
        order.addAll(points.headMap(from).values());
        return order;
    }

    private static double fastShare(List<Server> up) {
        Map<Integer, List<Double>> kinds = new LinkedHashMap<>();
        up.forEach(s -> kinds.computeIfAbsent(s.kind(), k -> new ArrayList<>()).add(s.weight()));
        double mean = up.stream().mapToDouble(Server::weight).average().orElse(1);
        double fast =
                kinds.values().stream()
                        .filter(
                                k ->
                                        k.stream().mapToDouble(w -> w).average().orElse(0)
                                                >= mean * (1 - 1e-12))
                        .mapToInt(List::size)
                        .sum();
        return kinds.size() < 2 ? 0.5 : fast / up.size();
    }

    private void compare(Roster mended, Collection<Server> list, String step) {
        Roster anew = roster();
        anew.update(List.copyOf(list), false, 0, line -> {});
        List<Server> up = list.stream().filter(s -> s.state() == State.UP).toList();
        assertEquals(up, mended.listed().stream().map(n -> n.server).toList(), step);
        assertEquals(up, anew.listed().stream().map(n -> n.server).toList(), step);
        assertEquals(anew.meanWeight(), mended.meanWeight(), step);
        double mean = up.stream().mapToDouble(Server::weight).average().orElse(1);
        assertEquals(mean, mended.meanWeight(), 1e-9 * mean, step);
        assertEquals(mean * up.size(), mended.weight(n -> true), 1e-9 * mean * list.size(), step);
        assertEquals(anew.fastShare(), mended.fastShare(), step);
        assertEquals(fastShare(up), mended.fastShare(), 1e-9, step);
        long point = random.nextLong();
        List<String> order = ring(up, mended.meanWeight(), point);
        assertEquals(order, ids(mended.ring().from(point)), step);
        assertEquals(order, ids(anew.ring().from(point)), step);
        List<String> home = ring(up, mended.meanWeight(), 0).stream().distinct().toList();
        // As far as some request walks, and now and then all round.
        int far = random.nextInt(4) == 0 ? home.size() : Math.min(home.size(), random.nextInt(30));
        Iterator<Node> walk = mended.ring().fromHome();
        for (int i = 0; i < far; i++) {
            assertEquals(home.get(i), walk.next().server.id(), step);
        }
        assertEquals(far < home.size(), walk.hasNext(), step);
        assertEquals(home, ids(anew.ring().fromHome()), step);
    }

    @Test
    void mendedByChangesItIsAsMadeAnew() {
        for (int seed = 0; seed < 10; seed++) {
            double[] weights = WEIGHTS[seed % WEIGHTS.length];
            Roster mended = roster();
            Map<String, Server> list = new LinkedHashMap<>();
            int ids = seed < 5 ? 12 : 400;
            for (int step = 0; step < 150; step++) {
                boolean all = random.nextInt(12) == 0;
                int many = random.nextInt(5) == 0 ? random.nextInt(ids) : 1 + random.nextInt(3);
                Map<String, Server> news = new LinkedHashMap<>();
                for (int i = 0; i < many; i++) {
                    Server s = any(random.nextInt(ids), weights);
                    news.put(s.id(), s);
                }
                if (all) {
                    list.keySet().retainAll(news.keySet());
                }
                list.putAll(news);
                list.values().removeIf(s -> s.state() == State.GONE);
                mended.update(List.copyOf(news.values()), !all, 0, line -> {});
                compare(mended, list.values(), "seed " + seed + ", step " + step);
            }
        }
    }

    /** One that left with work keeps its place while that lasts, and comes back as the same. */
    @Test
    void whoLeftWithWorkIsTheSameWhenItIsBackBeforeThatHasEnded() {
        Roster roster = roster();
        roster.update(ListCost.fleet(3), false, 0, line -> {});
        Node first = roster.listed().get(0);
        first.inFlight = 1;
        roster.update(List.of(first.server.in(State.GONE)), true, 0, line -> {});
        assertEquals(2, roster.listed().size());
        roster.update(List.of(first.server.in(State.UP)), true, 0, line -> {});
        assertSame(first, roster.listed().get(0));
        roster.update(List.of(first.server.in(State.GONE)), true, 0, line -> {});
        first.inFlight = 0;
        roster.update(List.of(), true, 0, line -> {});
        assertEquals(null, roster.get(first.server.id()));
        roster.update(List.of(first.server.in(State.UP)), true, 0, line -> {});
        assertEquals(first.server.id(), roster.listed().get(2).server.id());
        assertTrue(first != roster.listed().get(2), "it is new");
    }

    @Test
    void aServerThatStartsAnewTakesTheOldOnesPlace() {
        Roster roster = roster();
        roster.update(ListCost.fleet(5), false, 0, line -> {});
        Server s = roster.listed().get(2).server;
        roster.update(
                List.of(new Server(s.id(), State.UP, s.startedAt() + 1, 7, 0, 0, 0)),
                true,
                0,
                line -> {});
        assertEquals(
                List.of("upstream-0", "upstream-1", "upstream-2", "upstream-3", "upstream-4"),
                ids(roster.listed()));
        assertEquals(7, roster.listed().get(2).server.weight());
        assertEquals(1, ids(roster.ring().fromHome()).stream().filter(s.id()::equals).count());
    }

    /** What was never watched is what a look at all servers would find ordinary. */
    @Test
    void whatIsOutOfTheOrdinaryIsWatched() {
        Harness harness = new Harness(ListCost.settings(), 1);
        Roster roster = roster();
        roster.update(ListCost.fleet(300), false, harness.now, line -> {});
        // Until they have been looked at
        assertEquals(300, roster.watched().size());
        roster.tidy(n -> true, harness.now);
        assertEquals(List.of(), roster.watched());
        Set<Node> odd = new HashSet<>();
        Latencies latencies = new Latencies(ListCost.settings().classes());
        Exclusion exclusion = new Exclusion(new SplittableRandom(1), latencies, 5_000);
        long now = harness.now + 20_000_000;
        List<Node> all = List.copyOf(roster.listed());
        for (Node n : List.of(all.get(250), all.get(7))) {
            exclusion.saidLost(n, now);
            odd.add(n);
        }
        exclusion.failed(all.get(100), 1, 1_000, 1, now, line -> {});
        exclusion.failed(all.get(100), 1, 1_000, 1, now, line -> {});
        odd.add(all.get(100));
        all.get(33).classes[1].heard(now + 1_000_000);
        odd.add(all.get(33));
        Books.Request request =
                new Books.Request(
                        "r", 0, ListCost.settings().classes().get(0), 0, now, 1, 1, false);
        new Books.Attempt(all.get(8), request, now).begins(1);
        odd.add(all.get(8));
        roster.tidy(n -> n != all.get(5), now);
        assertEquals(
                List.of(all.get(7), all.get(8), all.get(33), all.get(100), all.get(250)),
                roster.watched());
        assertEquals(odd, new HashSet<>(roster.watched()));
        roster.update(List.of(all.get(100).server.in(State.DRAINING)), true, now, line -> {});
        assertEquals(4, roster.watched().size());
        exclusion.failed(all.get(100), 1, 1_000, 1, now, line -> {});
        // It is not listed
        assertEquals(4, roster.watched().size());
        roster.update(List.of(all.get(100).server.in(State.UP)), true, now, line -> {});
        assertEquals(5, roster.watched().size());
        all.get(8).inFlight = 0;
        roster.tidy(n -> true, now + 60_000_000);
        // Said lost until it is met
        assertEquals(List.of(all.get(7), all.get(250)), roster.watched());
    }

    @Test
    void beyondWhatItMayHoldServersAreNotUsedAndALineSaysSo() {
        Harness harness = new Harness(ListCost.settings(), 1);
        harness.list(Policy.ListKind.COMPLETE, ListCost.fleet(Roster.MOST + 3));
        assertEquals(
                List.of(
                        harness.now
                                + " remark list: 3 servers beyond the 20000 that it may hold are not used"),
                harness.log);
        harness.pass(2_000_000);
        harness.log.clear();
        List<Server> others =
                IntStream.range(0, Roster.MOST).mapToObj(i -> Harness.up("other-" + i)).toList();
        // The ones before leave room
        harness.list(Policy.ListKind.COMPLETE, others);
        harness.list(Policy.ListKind.PARTIAL, List.of(others.get(0)));
        assertEquals(List.of(), harness.log);
        harness.list(Policy.ListKind.PARTIAL, List.of(Harness.up("one more")));
        assertEquals(1, harness.log.size());
        assertTrue(harness.log.get(0).contains("1 servers beyond the 20000"), harness.log.get(0));
    }
}

package junctionhead;

import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.ObjIntConsumer;
import java.util.function.Predicate;
import java.util.random.RandomGenerator;
import java.util.stream.IntStream;
import junctionhead.Books.Node;
import junctionhead.aggregation.BlockSums;
import junctionhead.aggregation.Blocks;

/**
 * What the balancers tell one another, several times a second: how many attempts each has out at
 * which server, which servers it has found to fail a class or can't connect to, and how many
 * requests it gets. Guards against queues that say nothing: one balancer of fourteen saw a
 * fourteenth of each queue, and chose servers no better than at random; and against fourteen that
 * each pay for the same discovery. Messages may be lost: what was heard of a balancer is forgotten
 * soon after its last one, and nothing depends on any.
 *
 * <p>A small fleet's balancers tell all others. In a larger one each tells its neighbours by
 * number, whose parts of the servers' ring overlap with its own, and no more bytes than it may; how
 * many requests all get comes by {@link BlockSums}. Guards against messages that grow with the
 * fleet: with 1,600 balancers each had 400 KB a second to take in.
 */
final class Peers {
    // µs between messages, at the price's bidding
    private static final long EVERY_LEAST = 50_000;
    private static final long EVERY_MOST = 1_000_000;
    // µs after a balancer's last message
    private static final long FORGET = 1_500_000;
    // Of the goal that messages may cost
    private static final double COST = 0.005;
    // On each side; those of the own block are among them.
    private static final int NEIGHBOURS = Blocks.SIZE;
    // Of a neighbour's message
    private static final int BYTES_MOST = 48;
    // To all neighbours
    private static final double BYTES_PER_SECOND = 1536;

    private final Policy.Settings settings;
    // By code, what is held of all balancers
    private final int[] elsewhere = new int[PeerMessage.CODES];
    // By the balancer's number
    private final Map<Integer, Heard> held = new HashMap<>();
    // Null where all tell all, or there are too many
    private final BlockSums sums;
    private final boolean tellsAll;
    // Of the last message sent
    private int bytes;
    private long tellAt;
    // As last told
    private double ownRate;
    // Requests a second that the others get
    private double summed;
    // Messages sent: in which order servers are told
    private int turn;

    private record Heard(PeerMessage message, long at) {}

    Peers(Policy.Settings settings) {
        this.settings = settings;
        this.tellsAll = settings.balancers() <= 2 * NEIGHBOURS + 1;
        this.sums =
                tellsAll || settings.balancers() > Blocks.BALANCERS_MOST
                        ? null
                        : new BlockSums(settings.rank(), new Blocks(settings.balancers()));
    }

    private boolean speaks() {
        return settings.limits().mayTell() && settings.balancers() > 1;
    }

    private int receivers() {
        return tellsAll ? settings.balancers() - 1 : 2 * NEIGHBOURS;
    }

    /**
     * µs until the next message: as often as the price allows at {@code rate} requests a second.
     */
    long every(double rate) {
        double cost = settings.prices().peer() * receivers() * bytes / PeerMessage.BYTES_MOST;
        double budget = tellsAll ? 0 : receivers() * bytes / BYTES_PER_SECOND;
        return (long)
                Math.max(
                        EVERY_LEAST,
                        Math.min(
                                EVERY_MOST,
                                Math.max(budget, cost / (COST * Math.max(1, rate))) * 1e6));
    }

    /**
     * Tells what is due. {@code listed} are the servers that are up, {@code lost} picks those cut
     * off, {@code rate} is what this balancer gets a second, {@code steadyRate} the same over a
     * longer time.
     */
    void tell(
            long now,
            List<Node> listed,
            Predicate<Node> lost,
            double rate,
            double steadyRate,
            RandomGenerator random,
            Policy.Actions out) {
        if (!speaks()) {
            return;
        }
        if (turn == 0 && !tellsAll && sums == null) {
            out.remark(
                    "sums over the fleet reach "
                            + Blocks.BALANCERS_MOST
                            + " balancers, not "
                            + settings.balancers()
                            + ": of requests only the neighbours' are known");
        }
        if (now >= tellAt) {
            byte[] text = message(listed, listed.stream().filter(lost).toList(), rate, now);
            if (tellsAll) {
                out.tell(-1, text);
            } else {
                for (int i = 1; i <= NEIGHBOURS; i++) {
                    out.tell((settings.rank() + i) % settings.balancers(), text);
                    out.tell(Math.floorMod(settings.rank() - i, settings.balancers()), text);
                }
            }
            tellAt = now + (long) (every(steadyRate) * (0.75 + random.nextDouble() / 2));
        }
        if (sums != null) {
            int block = sums.blocks().of(settings.rank());
            ownRate = rate;
            sums.own(now, 1 + heardOf(block), Math.round(rate) + rateOf(block));
            sums.tick(now, held::containsKey, out::tell);
        }
    }

    // Of a block's balancers, less this one, how many were heard themselves.
    private int heardOf(int block) {
        return (int) members(block).filter(held::containsKey).count();
    }

    private long rateOf(int block) {
        return members(block)
                .mapToObj(held::get)
                .mapToLong(h -> h == null ? 0 : h.message.rate())
                .sum();
    }

    private IntStream members(int block) {
        int first = sums.blocks().first(block);
        return IntStream.range(first, first + sums.blocks().size(block));
    }

    /**
     * This balancer's message; {@code listed} are the servers that are up, {@code lost} those cut
     * off.
     */
    byte[] message(List<Node> listed, List<Node> lost, double rate, long now) {
        int most = tellsAll ? PeerMessage.BYTES_MOST : BYTES_MOST;
        List<PeerMessage.Rest> rests =
                inTurn(
                        listed.stream()
                                .flatMap(
                                        n ->
                                                IntStream.range(0, Math.min(256, n.classes.length))
                                                        .filter(
                                                                i ->
                                                                        n.classes[i].foundUntil()
                                                                                > now)
                                                        .mapToObj(
                                                                i ->
                                                                        new PeerMessage.Rest(
                                                                                code(n),
                                                                                i,
                                                                                n.classes[i]
                                                                                                .foundUntil()
                                                                                        - now)))
                                .toList(),
                        PeerMessage.RESTS_MOST * most / PeerMessage.BYTES_MOST);
        List<Integer> codes =
                inTurn(
                        lost.stream().map(Peers::code).toList(),
                        PeerMessage.LOST_MOST * most / PeerMessage.BYTES_MOST);
        List<PeerMessage.Queue> queues =
                listed.stream()
                        .filter(n -> n.inFlight > 0)
                        .sorted(Comparator.comparingInt(n -> -n.inFlight))
                        .limit(PeerMessage.queuesMost(most, rests.size(), codes.size()))
                        .map(n -> new PeerMessage.Queue(code(n), n.inFlight))
                        .toList();
        byte[] text =
                new PeerMessage(settings.zone() & 255, (int) Math.round(rate), queues, rests, codes)
                        .encode();
        bytes = text.length;
        turn++;
        return text;
    }

    // Those that fit: where a message has little room, others each time, so that each has its turn.
    private <T> List<T> inTurn(List<T> all, int most) {
        int from = tellsAll || all.size() <= most ? 0 : Math.floorMod(turn * most, all.size());
        return IntStream.range(0, Math.min(most, all.size()))
                .mapToObj(i -> all.get((from + i) % all.size()))
                .toList();
    }

    private static int code(Node n) {
        return PeerMessage.code(n.hash);
    }

    /**
     * Takes a message in; false where it is none or nobody's. {@code lost} hears who is said to be
     * lost, and from which zone.
     */
    boolean heard(long now, int from, byte[] text, List<Node> listed, ObjIntConsumer<Node> lost) {
        if (sums != null && text.length > 0 && text[0] == BlockSums.FORMAT) {
            return from != settings.rank() && sums.heard(now, from, text);
        }
        PeerMessage message =
                from < 0 || from >= settings.balancers() || from == settings.rank()
                        ? null
                        : PeerMessage.decode(text);
        if (message == null) {
            return false;
        }
        Heard earlier = held.put(from, new Heard(message, now));
        if (earlier != null) {
            count(earlier.message, -1);
        }
        count(message, 1);
        for (PeerMessage.Rest rest : message.rests()) {
            listed.stream()
                    .filter(n -> code(n) == rest.code() && rest.number() < n.classes.length)
                    .forEach(n -> n.classes[rest.number()].heard(now + rest.left()));
        }
        if (!message.lost().isEmpty()) {
            Set<Integer> codes = new HashSet<>(message.lost());
            listed.stream()
                    .filter(n -> codes.contains(code(n)))
                    .forEach(n -> lost.accept(n, message.zone()));
        }
        return true;
    }

    private void count(PeerMessage message, int sign) {
        message.queues().forEach(queue -> elsewhere[queue.code()] += sign * queue.count());
    }

    /** Forgets balancers that have fallen silent; returns how many of the others are silent. */
    int silent(long now) {
        held.values()
                .removeIf(
                        heard -> {
                            boolean old = now - heard.at > FORGET;
                            if (old) {
                                count(heard.message, -1);
                            }
                            return old;
                        });
        if (sums != null) {
            summed = sum(now);
        }
        return settings.balancers() - 1 - held.size();
    }

    /** Requests a second that the other balancers get, by what they tell. */
    double rate() {
        return sums == null
                ? held.values().stream().mapToInt(heard -> heard.message.rate()).sum()
                : summed;
    }

    // Blocks that tell no sums, as an older program's, may be heard themselves.
    private double sum(long now) {
        return Math.max(0, sums.total(now).rate() - ownRate)
                + IntStream.range(0, sums.blocks().count())
                        .filter(b -> !sums.knows(now, b))
                        .mapToLong(this::rateOf)
                        .sum();
    }

    /** The attempts that the other balancers have told of at a server. */
    int elsewhere(Node n) {
        return elsewhere[code(n)];
    }
}

package junctionhead;

import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.ObjIntConsumer;
import java.util.stream.IntStream;
import junctionhead.Books.Node;

/**
 * What the balancers tell one another, several times a second: how many attempts each has out at which
 * server, which servers it has found to fail a class or can't connect to, and how many requests it gets.
 * Guards against queues that say nothing: one balancer of fourteen saw a fourteenth of each queue, and chose
 * servers no better than at random; and against fourteen that each pay for the same discovery. Messages may
 * be lost: what was heard of a balancer is forgotten soon after its last one, and nothing depends on any.
 */
final class Peers {
    private static final long EVERY_LEAST = 50_000;     // µs between messages, at the price's bidding
    private static final long EVERY_MOST = 1_000_000;
    private static final long FORGET = 1_500_000;       // µs after a balancer's last message
    private static final double COST = 0.005;           // of the goal that messages may cost

    private final Policy.Settings settings;
    private final int[] elsewhere = new int[PeerMessage.CODES]; // by code, what is held of all balancers
    private final Map<Integer, Heard> held = new HashMap<>(); // by the balancer's number
    private int bytes;                                  // of the last message sent

    private record Heard(PeerMessage message, long at) { }

    Peers(Policy.Settings settings) {
        this.settings = settings;
    }

    boolean speaks() {
        return settings.limits().mayTell() && settings.balancers() > 1;
    }

    /** µs until the next message: as often as the price allows at {@code rate} requests a second. */
    long every(double rate) {
        double cost = settings.prices().peer() * (settings.balancers() - 1) * bytes / PeerMessage.BYTES_MOST;
        return (long) Math.max(EVERY_LEAST, Math.min(EVERY_MOST, cost / (COST * Math.max(1, rate)) * 1e6));
    }

    /** This balancer's message; {@code listed} are the servers that are up, {@code lost} those cut off. */
    byte[] message(List<Node> listed, List<Node> lost, double rate, long now) {
        List<PeerMessage.Rest> rests = listed.stream().flatMap(n -> IntStream
            .range(0, Math.min(256, n.classes.length)).filter(i -> n.classes[i].foundUntil() > now)
            .mapToObj(i -> new PeerMessage.Rest(code(n), i, n.classes[i].foundUntil() - now)))
            .limit(PeerMessage.RESTS_MOST).toList();
        List<Integer> codes = lost.stream().limit(PeerMessage.LOST_MOST).map(Peers::code).toList();
        List<PeerMessage.Queue> queues = listed.stream().filter(n -> n.inFlight > 0)
            .sorted(Comparator.comparingInt(n -> -n.inFlight))
            .limit(PeerMessage.queuesMost(rests.size(), codes.size()))
            .map(n -> new PeerMessage.Queue(code(n), n.inFlight)).toList();
        byte[] text = new PeerMessage(settings.zone() & 255, (int) Math.round(rate), queues, rests, codes)
            .encode();
        bytes = text.length;
        return text;
    }

    private static int code(Node n) {
        return PeerMessage.code(n.hash);
    }

    /**
     * Takes a message in; false where it is none or nobody's. {@code lost} hears who is said to be lost, and
     * from which zone.
     */
    boolean heard(long now, int from, byte[] text, List<Node> listed, ObjIntConsumer<Node> lost) {
        PeerMessage message = from < 0 || from >= settings.balancers() || from == settings.rank() ? null
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
            listed.stream().filter(n -> code(n) == rest.code() && rest.number() < n.classes.length)
                .forEach(n -> n.classes[rest.number()].heard(now + rest.left()));
        }
        if (!message.lost().isEmpty()) {
            Set<Integer> codes = new HashSet<>(message.lost());
            listed.stream().filter(n -> codes.contains(code(n))).forEach(n -> lost.accept(n, message.zone()));
        }
        return true;
    }

    private void count(PeerMessage message, int sign) {
        message.queues().forEach(queue -> elsewhere[queue.code()] += sign * queue.count());
    }

    /** Forgets balancers that have fallen silent; returns how many of the others are silent. */
    int silent(long now) {
        held.values().removeIf(heard -> {
            boolean old = now - heard.at > FORGET;
            if (old) {
                count(heard.message, -1);
            }
            return old;
        });
        return settings.balancers() - 1 - held.size();
    }

    /** Requests a second that the other balancers get, by what they tell. */
    double rate() {
        return held.values().stream().mapToInt(heard -> heard.message.rate()).sum();
    }

    /** The attempts that the other balancers have told of at a server. */
    int elsewhere(Node n) {
        return elsewhere[code(n)];
    }
}

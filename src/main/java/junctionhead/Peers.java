package junctionhead;

import java.util.Arrays;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import junctionhead.Books.Node;

/**
 * What the balancers tell one another, several times a second: how many attempts each has out at which
 * server, and which servers it has found to fail a class. Guards against queues that say nothing: one
 * balancer of fourteen saw a fourteenth of each queue, and chose servers no better than at random; and
 * against fourteen that each pay for the same discovery. Messages may be lost: what was heard of a balancer
 * is forgotten soon after its last one, and nothing depends on any.
 *
 * <p>A message: the format; the number of queues; for each, in two bytes, 13 bits of the server's hash and 3
 * of its count; then, in four bytes each, the hash, the class and the tenths of a second left of a rest.
 */
final class Peers {
    private static final int FORMAT = 2;
    private static final int MESSAGE_MOST = 256;
    private static final int COUNT_BITS = 3;
    private static final int COUNT_MOST = (1 << COUNT_BITS) - 1;
    private static final int CODES = 1 << 16 - COUNT_BITS;
    private static final int RESTS_MOST = 16;
    private static final long REST_UNIT = 100_000;      // µs
    private static final long EVERY_LEAST = 50_000;     // µs between messages, at the price's bidding
    private static final long EVERY_MOST = 1_000_000;
    private static final long FORGET = 1_500_000;       // µs after a balancer's last message
    private static final double COST = 0.005;           // of the goal that messages may cost

    private final Policy.Settings settings;
    private final int[] elsewhere = new int[CODES];     // by code, the sum of what is held of all balancers
    private final Map<Integer, Heard> held = new HashMap<>(); // by the balancer's number
    private int bytes;                                  // of the last message sent

    private record Heard(byte[] text, long at) { }

    Peers(Policy.Settings settings) {
        this.settings = settings;
    }

    boolean speaks() {
        return settings.limits().mayTell() && settings.balancers() > 1;
    }

    /** µs until the next message: as often as the price allows at {@code rate} requests a second. */
    long every(double rate) {
        double cost = settings.prices().peer() * (settings.balancers() - 1) * bytes / MESSAGE_MOST;
        return (long) Math.max(EVERY_LEAST, Math.min(EVERY_MOST, cost / (COST * Math.max(1, rate)) * 1e6));
    }

    /** This balancer's message; {@code listed} are the servers that are up. */
    byte[] message(List<Node> listed, long now) {
        byte[] text = new byte[MESSAGE_MOST];
        text[0] = FORMAT;
        int at = 2;
        for (Node n : listed.stream().filter(n -> n.inFlight > 0)
                .sorted(Comparator.comparingInt(n -> -n.inFlight))
                .limit((MESSAGE_MOST - 2 - 4 * RESTS_MOST) / 2).toList()) {
            text[1]++;
            at = put(text, at, code(n) << COUNT_BITS | Math.min(COUNT_MOST, n.inFlight));
        }
        int rests = 0;
        for (Node n : listed) {
            for (int number = 0; number < Math.min(256, n.classes.length) && rests < RESTS_MOST; number++) {
                long left = (n.classes[number].foundUntil() - now) / REST_UNIT;
                if (left > 0) {
                    rests++;
                    at = put(text, at, code(n));
                    text[at++] = (byte) number;
                    text[at++] = (byte) Math.min(255, left);
                }
            }
        }
        bytes = at;
        return Arrays.copyOf(text, at);
    }

    private static int put(byte[] text, int at, int value) {
        text[at] = (byte) (value >> 8);
        text[at + 1] = (byte) value;
        return at + 2;
    }

    private static int at(byte[] text, int i) {
        return (text[i] & 255) << 8 | text[i + 1] & 255;
    }

    private static int code(Node n) {
        return (int) (n.hash & CODES - 1);
    }

    /** Takes a message in; false where it is none, or from nobody. */
    boolean heard(long now, int from, byte[] text, List<Node> listed) {
        if (from < 0 || from >= settings.balancers() || from == settings.rank() || text.length < 2
                || text[0] != FORMAT || text.length < rests(text) || (text.length - rests(text)) % 4 != 0) {
            return false;
        }
        Heard earlier = held.put(from, new Heard(text, now));
        if (earlier != null) {
            count(earlier.text, -1);
        }
        count(text, 1);
        for (int i = rests(text); i < text.length; i += 4) {
            for (Node n : listed) {
                int number = text[i + 2] & 255;
                if (code(n) == at(text, i) && number < n.classes.length) {
                    n.classes[number].heard(now + (text[i + 3] & 255) * REST_UNIT);
                }
            }
        }
        return true;
    }

    // Where the rests begin: behind the queues.
    private static int rests(byte[] text) {
        return 2 + 2 * (text[1] & 255);
    }

    private void count(byte[] text, int sign) {
        for (int i = 0; i < (text[1] & 255); i++) {
            int entry = at(text, 2 + 2 * i);
            elsewhere[entry >> COUNT_BITS] += sign * (entry & COUNT_MOST);
        }
    }

    /** Forgets balancers that have fallen silent; returns how many of the others are silent. */
    int silent(long now) {
        held.values().removeIf(heard -> {
            boolean old = now - heard.at > FORGET;
            if (old) {
                count(heard.text, -1);
            }
            return old;
        });
        return settings.balancers() - 1 - held.size();
    }

    /** The attempts that the other balancers have told of at a server. */
    int elsewhere(Node n) {
        return elsewhere[code(n)];
    }
}

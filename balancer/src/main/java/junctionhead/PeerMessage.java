package junctionhead;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;

/**
 * One datagram between balancers, as values: how it is written and read. What is told and what to
 * make of it is the module's. Servers go by {@link #code}; two of a large fleet may share one.
 *
 * <p>Six bytes: the format, the sender's zone, the requests a second that it gets (two bytes), how
 * many queues and how many rests follow. Each queue takes two bytes, 13 bits of code and 3 of its
 * length; each rest four, the code, the class and the tenths of a second left of it; the remaining
 * bytes are codes, two bytes each, of servers that the sender can't connect to.
 *
 * @param zone of the sender, 0 to 255
 * @param rate requests a second that the sender gets, 0 to 65535
 */
record PeerMessage(int zone, int rate, List<Queue> queues, List<Rest> rests, List<Integer> lost) {
    static final int BYTES_MOST = 256;
    static final int RESTS_MOST = 16;
    static final int LOST_MOST = 40;
    static final int CODES = 1 << 13;

    private static final int FORMAT = 3;
    private static final int HEAD = 6;
    private static final int COUNT_BITS = 3;
    private static final int COUNT_MOST = (1 << COUNT_BITS) - 1;
    // µs
    private static final long REST_UNIT = 100_000;

    /** Attempts that the sender has out at a server; more than seven are told as seven. */
    record Queue(int code, int count) {}

    /** A class that the sender has found a server to fail, for {@code left} µs more. */
    record Rest(int code, int number, long left) {}

    PeerMessage {
        queues = List.copyOf(queues);
        rests = List.copyOf(rests);
        lost = List.copyOf(lost);
        if (rests.size() > RESTS_MOST
                || lost.size() > LOST_MOST
                || queues.size() > queuesMost(BYTES_MOST, rests.size(), lost.size())) {
            throw new IllegalArgumentException("more than fits in " + BYTES_MOST + " bytes");
        }
    }

    /** How many queues fit in so many bytes beside so many rests and lost servers. */
    static int queuesMost(int bytes, int rests, int lost) {
        return (bytes - HEAD - 4 * rests - 2 * lost) / 2;
    }

    /** What stands for the server whose id has this hash. */
    static int code(long hash) {
        return (int) (hash & CODES - 1);
    }

    byte[] encode() {
        byte[] text = new byte[BYTES_MOST];
        text[0] = FORMAT;
        text[1] = (byte) zone;
        put(text, 2, Math.max(0, Math.min(0xffff, rate)));
        text[4] = (byte) queues.size();
        text[5] = (byte) rests.size();
        int at = HEAD;
        for (Queue queue : queues) {
            at = put(text, at, queue.code << COUNT_BITS | Math.min(COUNT_MOST, queue.count));
        }
        for (Rest rest : rests) {
            at = put(text, at, rest.code);
            text[at++] = (byte) rest.number;
            text[at++] = (byte) Math.min(255, rest.left / REST_UNIT);
        }
        for (int code : lost) {
            at = put(text, at, code);
        }
        return Arrays.copyOf(text, at);
    }

    /** The message of these bytes, or null where they are none: another format, or damaged. */
    static PeerMessage decode(byte[] text) {
        if (text.length < HEAD || text.length > BYTES_MOST || text[0] != FORMAT) {
            return null;
        }
        int restsAt = HEAD + 2 * (text[4] & 255);
        int lostAt = restsAt + 4 * (text[5] & 255);
        int left = text.length - lostAt;
        if (left < 0 || left % 2 != 0 || left > 2 * LOST_MOST || (text[5] & 255) > RESTS_MOST) {
            return null;
        }
        List<Queue> queues = new ArrayList<>();
        for (int at = HEAD; at < restsAt; at += 2) {
            queues.add(new Queue(at(text, at) >> COUNT_BITS, at(text, at) & COUNT_MOST));
        }
        List<Rest> rests = new ArrayList<>();
        for (int at = restsAt; at < lostAt; at += 4) {
            rests.add(new Rest(at(text, at), text[at + 2] & 255, (text[at + 3] & 255) * REST_UNIT));
        }
        List<Integer> lost = new ArrayList<>();
        for (int at = lostAt; at < text.length; at += 2) {
            lost.add(at(text, at));
        }
        return new PeerMessage(text[1] & 255, at(text, 2), queues, rests, lost);
    }

    private static int put(byte[] text, int at, int value) {
        text[at] = (byte) (value >> 8);
        text[at + 1] = (byte) value;
        return at + 2;
    }

    private static int at(byte[] text, int i) {
        return (text[i] & 255) << 8 | text[i + 1] & 255;
    }
}

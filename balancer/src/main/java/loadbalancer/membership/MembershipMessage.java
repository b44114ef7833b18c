package loadbalancer.membership;

import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.List;

/**
 * One datagram of membership, as values.
 *
 * <p>Fourteen bytes: the format, the kind, the subject (two bytes), the number that an answer
 * repeats (four), the sender's incarnation (six). The rest is news, eight bytes each: status and
 * member in two, the incarnation in six.
 *
 * @param subject the member that the message is about: whom an ACK speaks for, whom an ASK asks for
 * @param sequenceNumber of the question that it puts or answers
 * @param incarnation of its sender
 */
public record MembershipMessage(
        Kind kind, int subject, int sequenceNumber, long incarnation, List<MemberUpdate> updates) {
    /** Bytes of a datagram at most. */
    public static final int MAX_BYTES = 256;

    /** Members that a configuration may name. */
    public static final int MAX_MEMBERS = 1 << 14;

    /** News in one message at most. */
    public static final int MAX_UPDATES = (MAX_BYTES - 14) / 8;

    private static final byte FORMAT = 4;
    private static final int HEADER_BYTES = 14;
    private static final int UPDATE_BYTES = 8;
    private static final long MAX_INCARNATION = (1L << 48) - 1;

    /** What it is for. */
    public enum Kind {
        /** Are you there? */
        PING,
        /** {@code subject} is there. */
        ACK,
        /** Ask {@code subject} for me. */
        PING_REQ,
        /** Nothing but news. */
        GOSSIP
    }

    public MembershipMessage {
        updates = List.copyOf(updates);
        if (updates.size() > MAX_UPDATES
                || subject < 0
                || subject >= MAX_MEMBERS
                || incarnation < 0
                || incarnation > MAX_INCARNATION) {
            throw new IllegalArgumentException("does not fit in a datagram");
        }
    }

    /** Whether bytes claim to be such a message, whole or not. */
    public static boolean matchesFormat(byte[] bytes) {
        return bytes.length > 0 && bytes[0] == FORMAT;
    }

    /** As bytes, {@link #MAX_BYTES} at most. */
    public byte[] encode() {
        ByteBuffer out = ByteBuffer.allocate(HEADER_BYTES + UPDATE_BYTES * updates.size());
        out.put(FORMAT).put((byte) kind.ordinal()).putShort((short) subject).putInt(sequenceNumber);
        putLong(out, incarnation);
        for (MemberUpdate update : updates) {
            out.putShort((short) (update.status().ordinal() << 14 | update.member()));
            putLong(out, update.incarnation());
        }
        return out.array();
    }

    private static void putLong(ByteBuffer out, long value) {
        out.putShort((short) (value >> 32)).putInt((int) value);
    }

    private static long getLong(ByteBuffer in) {
        return (in.getShort() & 0xffffL) << 32 | in.getInt() & 0xffffffffL;
    }

    /** The message of these bytes; null where they are none of this format, or damaged. */
    public static MembershipMessage decode(byte[] bytes) {
        if (!matchesFormat(bytes)
                || bytes.length < HEADER_BYTES
                || bytes.length > MAX_BYTES
                || (bytes.length - HEADER_BYTES) % UPDATE_BYTES != 0
                || bytes[1] < 0
                || bytes[1] >= Kind.values().length) {
            return null;
        }
        ByteBuffer in = ByteBuffer.wrap(bytes, 2, bytes.length - 2);
        int subject = in.getShort() & 0xffff;
        if (subject >= MAX_MEMBERS) {
            return null;
        }
        int sequenceNumber = in.getInt();
        long incarnation = getLong(in);
        List<MemberUpdate> updates = new ArrayList<>();
        while (in.hasRemaining()) {
            int statusAndMember = in.getShort() & 0xffff;
            updates.add(
                    new MemberUpdate(
                            statusAndMember & MAX_MEMBERS - 1,
                            MemberStatus.values()[statusAndMember >> 14],
                            getLong(in)));
        }
        return new MembershipMessage(
                Kind.values()[bytes[1]], subject, sequenceNumber, incarnation, updates);
    }
}

package loadbalancer.membership;

import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;

/**
 * One datagram of the membership protocol. Immutable.
 *
 * <p>The header of {@value #HEADER_BYTES} bytes holds the format (1), the kind (1), the subject
 * (2), the sequence number (4) and the sender's incarnation (6). Each update takes {@value
 * #UPDATE_BYTES} bytes: status and member (2) and incarnation (6).
 *
 * @param subject the member that the message is about; in a PING_REQ the member to probe, in an ACK
 *     the member that is alive
 * @param sequenceNumber number of the probe; an ACK repeats it
 * @param incarnation incarnation of the sender
 * @param updates at most {@value #MAX_UPDATES} updates
 */
public record MembershipMessage(
        Kind kind, int subject, int sequenceNumber, long incarnation, List<MemberUpdate> updates) {
    /** Maximum size of a datagram, bytes. */
    public static final int MAX_BYTES = 256;

    /** Maximum number of configured members. */
    public static final int MAX_MEMBERS = 1 << 14;

    private static final byte FORMAT = 4;
    private static final int HEADER_BYTES = 14;
    private static final int UPDATE_BYTES = 8;
    private static final int MEMBER_BITS = 14;
    private static final long MAX_INCARNATION = (1L << 48) - 1;
    private static final Kind[] KINDS = Kind.values();
    private static final MemberStatus[] STATUSES = MemberStatus.values();

    /** Maximum number of updates of one message. */
    public static final int MAX_UPDATES = (MAX_BYTES - HEADER_BYTES) / UPDATE_BYTES;

    /** Kind of a message; the ordinal is sent on the wire. */
    public enum Kind {
        /** Probes the receiver. */
        PING,
        /** Confirms that {@code subject} is alive. */
        ACK,
        /** Asks the receiver to probe {@code subject}. */
        PING_REQ,
        /** Carries updates only. */
        GOSSIP
    }

    /**
     * Creates a message.
     *
     * @throws InvalidMembershipArgumentException if a value does not fit in a datagram
     */
    public MembershipMessage {
        updates = List.copyOf(updates);
        require(
                updates.size() <= MAX_UPDATES,
                "number of updates",
                updates.size(),
                "at most " + MAX_UPDATES);
        require(
                subject >= 0 && subject < MAX_MEMBERS,
                "subject",
                subject,
                "0 or more, below " + MAX_MEMBERS);
        require(
                incarnation >= 0 && incarnation <= MAX_INCARNATION,
                "incarnation",
                incarnation,
                "0 to " + MAX_INCARNATION);
    }

    private static void require(boolean valid, String field, long value, String range) {
        InvalidMembershipArgumentException.require(
                valid, "membership message: " + field, value, range);
    }

    /** Returns whether the first byte is that of this format; the rest may be invalid. */
    public static boolean matchesFormat(byte[] bytes) {
        return bytes.length > 0 && bytes[0] == FORMAT;
    }

    /** Encodes the message as a datagram of at most {@link #MAX_BYTES} bytes. */
    public byte[] encode() {
        ByteBuffer out = ByteBuffer.allocate(HEADER_BYTES + UPDATE_BYTES * updates.size());
        out.put(FORMAT).put((byte) kind.ordinal()).putShort((short) subject).putInt(sequenceNumber);
        putIncarnation(out, incarnation);
        for (MemberUpdate update : updates) {
            int statusAndMember = (update.status().ordinal() << MEMBER_BITS) | update.member();
            out.putShort((short) statusAndMember);
            putIncarnation(out, update.incarnation());
        }
        return out.array();
    }

    private static void putIncarnation(ByteBuffer out, long value) {
        out.putShort((short) (value >> 32)).putInt((int) value);
    }

    /** Decodes a datagram; returns empty if it is of another format or invalid. */
    public static Optional<MembershipMessage> decode(byte[] bytes) {
        if (!matchesFormat(bytes) || !hasValidLength(bytes) || !hasValidKind(bytes)) {
            return Optional.empty();
        }
        ByteBuffer in = ByteBuffer.wrap(bytes, 2, bytes.length - 2);
        int subject = in.getShort() & 0xffff;
        if (subject >= MAX_MEMBERS) {
            return Optional.empty();
        }
        int sequenceNumber = in.getInt();
        long incarnation = getIncarnation(in);
        List<MemberUpdate> updates = new ArrayList<>();
        while (in.hasRemaining()) {
            int statusAndMember = in.getShort() & 0xffff;
            int member = statusAndMember & (MAX_MEMBERS - 1);
            MemberStatus status = STATUSES[statusAndMember >> MEMBER_BITS];
            updates.add(new MemberUpdate(member, status, getIncarnation(in)));
        }
        return Optional.of(
                new MembershipMessage(
                        KINDS[bytes[1]], subject, sequenceNumber, incarnation, updates));
    }

    private static boolean hasValidLength(byte[] bytes) {
        return bytes.length >= HEADER_BYTES
                && bytes.length <= MAX_BYTES
                && (bytes.length - HEADER_BYTES) % UPDATE_BYTES == 0;
    }

    private static boolean hasValidKind(byte[] bytes) {
        return bytes[1] >= 0 && bytes[1] < KINDS.length;
    }

    private static long getIncarnation(ByteBuffer in) {
        long high = in.getShort() & 0xffffL;
        long low = in.getInt() & 0xffffffffL;
        return (high << 32) | low;
    }
}

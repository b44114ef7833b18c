package junctionhead.membership;

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
 * @param number of the question that it puts or answers
 * @param incarnation of its sender
 */
public record Message(Kind kind, int subject, int number, long incarnation, List<News> news) {
    /** Bytes of a datagram at most. */
    public static final int BYTES_MOST = 256;

    /** Members that a configuration may name. */
    public static final int MEMBERS_MOST = 1 << 14;

    /** News in one message at most. */
    public static final int NEWS_MOST = (BYTES_MOST - 14) / 8;

    private static final byte FORMAT = 4;
    private static final int HEAD = 14;
    private static final int ONE = 8;
    private static final long INCARNATION_MOST = (1L << 48) - 1;

    /** What it is for. */
    public enum Kind {
        /** Are you there? */
        PING,
        /** {@code subject} is there. */
        ACK,
        /** Ask {@code subject} for me. */
        ASK,
        /** Nothing but news. */
        TELL
    }

    public Message {
        news = List.copyOf(news);
        if (news.size() > NEWS_MOST
                || subject < 0
                || subject >= MEMBERS_MOST
                || incarnation < 0
                || incarnation > INCARNATION_MOST) {
            throw new IllegalArgumentException("does not fit in a datagram");
        }
    }

    /** Whether bytes claim to be such a message, whole or not. */
    public static boolean claims(byte[] text) {
        return text.length > 0 && text[0] == FORMAT;
    }

    /** As bytes, {@link #BYTES_MOST} at most. */
    public byte[] encode() {
        ByteBuffer out = ByteBuffer.allocate(HEAD + ONE * news.size());
        out.put(FORMAT).put((byte) kind.ordinal()).putShort((short) subject).putInt(number);
        putLong(out, incarnation);
        for (News n : news) {
            out.putShort((short) (n.status().ordinal() << 14 | n.member()));
            putLong(out, n.incarnation());
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
    public static Message decode(byte[] text) {
        if (!claims(text)
                || text.length < HEAD
                || text.length > BYTES_MOST
                || (text.length - HEAD) % ONE != 0
                || text[1] < 0
                || text[1] >= Kind.values().length) {
            return null;
        }
        ByteBuffer in = ByteBuffer.wrap(text, 2, text.length - 2);
        int subject = in.getShort() & 0xffff;
        if (subject >= MEMBERS_MOST) {
            return null;
        }
        int number = in.getInt();
        long incarnation = getLong(in);
        List<News> news = new ArrayList<>();
        while (in.hasRemaining()) {
            int head = in.getShort() & 0xffff;
            news.add(new News(head & MEMBERS_MOST - 1, Status.values()[head >> 14], getLong(in)));
        }
        return new Message(Kind.values()[text[1]], subject, number, incarnation, news);
    }
}

package junctionhead.duties;

import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.List;

/**
 * A datagram about duties: a head of {@value #HEAD} bytes (format, kind, process, number) and
 * {@value #ONE} bytes an entry.
 *
 * @param process tells processes of one member apart, by chance: below {@value #PROCESSES}; an
 *     answer bears that of its question
 * @param number of the asking that it belongs to, likewise
 */
public record Word(Kind kind, int process, int number, List<Entry> entries) {
    /** The first byte of all such messages; other formats begin otherwise. */
    public static final byte FORMAT = 5;

    /** Entries of a message at most. */
    public static final int ENTRIES_MOST = 35;

    /** Epochs are shorter than 48 bits. */
    public static final long EPOCH_MOST = (1L << 48) - 1;

    /** So many processes of a member can be told apart. */
    public static final int PROCESSES = 1 << 15;

    private static final int HEAD = 8;
    private static final int ONE = 7;

    /** What is said. */
    public enum Kind {
        /** Would you grant me these slots under these epochs? Binds nobody. */
        SOUND,
        /** I would, as things stand. */
        WOULD,
        /** Grant me these slots under these epochs, or renew them. */
        ASK,
        /** Granted. */
        GRANTED,
        /** Not granted, nor would they be; the epochs are the highest that this voter knows. */
        REFUSED,
        /** These were asked for in vain. */
        RELEASE,
        /** These were held until now: who is next may ask at once. */
        PASS
    }

    /** One slot's part. */
    public record Entry(int slot, long epoch) {}

    public Word {
        entries = List.copyOf(entries);
        if (process < 0
                || process >= PROCESSES
                || entries.size() > ENTRIES_MOST
                || entries.stream()
                        .anyMatch(
                                e ->
                                        e.slot < 0
                                                || e.slot > 255
                                                || e.epoch < 0
                                                || e.epoch > EPOCH_MOST)) {
            throw new IllegalArgumentException("does not fit in a datagram");
        }
    }

    /** Whether bytes claim to be such a message, whole or not. */
    public static boolean claims(byte[] text) {
        return text.length > 0 && text[0] == FORMAT;
    }

    /** As bytes, 253 at most. */
    public byte[] encode() {
        ByteBuffer out = ByteBuffer.allocate(HEAD + ONE * entries.size());
        out.put(FORMAT).put((byte) kind.ordinal()).putShort((short) process).putInt(number);
        for (Entry e : entries) {
            out.put((byte) e.slot).putShort((short) (e.epoch >> 32)).putInt((int) e.epoch);
        }
        return out.array();
    }

    /** The message of these bytes; null where they are none of this format, or damaged. */
    public static Word decode(byte[] text) {
        if (!claims(text)
                || text.length < HEAD
                || (text.length - HEAD) % ONE != 0
                || text.length > HEAD + ONE * ENTRIES_MOST
                || text[1] < 0
                || text[1] >= Kind.values().length) {
            return null;
        }
        ByteBuffer in = ByteBuffer.wrap(text, 2, text.length - 2);
        int process = in.getShort();
        if (process < 0) {
            return null;
        }
        int number = in.getInt();
        List<Entry> entries = new ArrayList<>();
        while (in.hasRemaining()) {
            int slot = in.get() & 0xff;
            entries.add(
                    new Entry(slot, (in.getShort() & 0xffffL) << 32 | in.getInt() & 0xffffffffL));
        }
        return new Word(Kind.values()[text[1]], process, number, entries);
    }
}

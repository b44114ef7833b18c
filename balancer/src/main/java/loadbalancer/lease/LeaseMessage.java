package loadbalancer.lease;

import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.List;

/**
 * A datagram about duties: a head of {@value #HEADER_BYTES} bytes (format, kind, process, number)
 * and {@value #ENTRY_BYTES} bytes an entry.
 *
 * @param processId tells processes of one member apart, by chance: below {@value
 *     #PROCESS_ID_LIMIT}; an answer bears that of its question
 * @param sequenceNumber of the asking that it belongs to, likewise
 */
public record LeaseMessage(Kind kind, int processId, int sequenceNumber, List<Entry> entries) {
    /** The first byte of all such messages; other formats begin otherwise. */
    public static final byte FORMAT = 5;

    /** Entries of a message at most. */
    public static final int MAX_ENTRIES = 35;

    /** Epochs are shorter than 48 bits. */
    public static final long MAX_EPOCH = (1L << 48) - 1;

    /** So many processes of a member can be told apart. */
    public static final int PROCESS_ID_LIMIT = 1 << 15;

    private static final int HEADER_BYTES = 8;
    private static final int ENTRY_BYTES = 7;

    /** What is said. */
    public enum Kind {
        /** Would you grant me these slots under these epochs? Binds nobody. */
        PRE_VOTE,
        /** I would, as things stand. */
        PRE_VOTE_GRANTED,
        /** Grant me these slots under these epochs, or renew them. */
        REQUEST,
        /** Granted. */
        GRANTED,
        /** Not granted, nor would they be; the epochs are the highest that this voter knows. */
        DENIED,
        /** These were asked for in vain. */
        RELEASE,
        /** These were held until now: who is next may ask at once. */
        TRANSFER
    }

    /** One slot's part. */
    public record Entry(int slot, long epoch) {}

    public LeaseMessage {
        entries = List.copyOf(entries);
        if (processId < 0
                || processId >= PROCESS_ID_LIMIT
                || entries.size() > MAX_ENTRIES
                || entries.stream()
                        .anyMatch(
                                entry ->
                                        entry.slot < 0
                                                || entry.slot > 255
                                                || entry.epoch < 0
                                                || entry.epoch > MAX_EPOCH)) {
            throw new IllegalArgumentException("does not fit in a datagram");
        }
    }

    /** Whether bytes claim to be such a message, whole or not. */
    public static boolean matchesFormat(byte[] bytes) {
        return bytes.length > 0 && bytes[0] == FORMAT;
    }

    /** As bytes, 253 at most. */
    public byte[] encode() {
        ByteBuffer out = ByteBuffer.allocate(HEADER_BYTES + ENTRY_BYTES * entries.size());
        out.put(FORMAT)
                .put((byte) kind.ordinal())
                .putShort((short) processId)
                .putInt(sequenceNumber);
        for (Entry entry : entries) {
            out.put((byte) entry.slot)
                    .putShort((short) (entry.epoch >> 32))
                    .putInt((int) entry.epoch);
        }
        return out.array();
    }

    /** The message of these bytes; null where they are none of this format, or damaged. */
    public static LeaseMessage decode(byte[] bytes) {
        if (!matchesFormat(bytes)
                || bytes.length < HEADER_BYTES
                || (bytes.length - HEADER_BYTES) % ENTRY_BYTES != 0
                || bytes.length > HEADER_BYTES + ENTRY_BYTES * MAX_ENTRIES
                || bytes[1] < 0
                || bytes[1] >= Kind.values().length) {
            return null;
        }
        ByteBuffer in = ByteBuffer.wrap(bytes, 2, bytes.length - 2);
        int processId = in.getShort();
        if (processId < 0) {
            return null;
        }
        int sequenceNumber = in.getInt();
        List<Entry> entries = new ArrayList<>();
        while (in.hasRemaining()) {
            int slot = in.get() & 0xff;
            entries.add(
                    new Entry(slot, (in.getShort() & 0xffffL) << 32 | in.getInt() & 0xffffffffL));
        }
        return new LeaseMessage(Kind.values()[bytes[1]], processId, sequenceNumber, entries);
    }
}

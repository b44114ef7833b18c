package loadbalancer.lease;

import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;

/**
 * One datagram of the lease protocol: a header of {@value #HEADER_BYTES} bytes (format, kind,
 * process id, sequence number) and {@value #ENTRY_BYTES} bytes for each entry. Immutable.
 *
 * @param processId random number, below {@value #PROCESS_ID_LIMIT}, that distinguishes the
 *     processes of one member; a response repeats the process id of its request
 * @param sequenceNumber number of the request; a response repeats it
 * @param entries one entry for each slot, at most {@value #MAX_ENTRIES}
 */
public record LeaseMessage(Kind kind, int processId, int sequenceNumber, List<Entry> entries) {
    /** First byte of each datagram of this protocol; no other protocol uses it. */
    public static final byte FORMAT = 5;

    /** Maximum number of entries of a message. */
    public static final int MAX_ENTRIES = 35;

    /** Highest epoch: 48 bits. */
    public static final long MAX_EPOCH = (1L << 48) - 1;

    /** Process ids are below this number. */
    public static final int PROCESS_ID_LIMIT = 1 << 15;

    private static final int HEADER_BYTES = 8;
    private static final int ENTRY_BYTES = 7;
    private static final int MAX_SLOT = 255;
    private static final Kind[] KINDS = Kind.values();

    /** Kind of a message; the ordinal is sent on the wire. */
    public enum Kind {
        /** Asks whether the receiver would grant the slots under these epochs; not binding. */
        PRE_VOTE,
        /** Answers a pre-vote: the sender would grant the slots. */
        PRE_VOTE_GRANTED,
        /** Requests or renews the slots under these epochs. */
        REQUEST,
        /** Answers a request: the sender has granted the slots. */
        GRANTED,
        /** Denies a request or a pre-vote; the epochs are the highest that the sender knows. */
        DENIED,
        /** Releases the sender's requests for the slots. */
        RELEASE,
        /**
         * Releases the slots, or declines them while draining; the next holder may request them.
         */
        TRANSFER
    }

    /** A slot and an epoch of that slot. */
    public record Entry(int slot, long epoch) {}

    /**
     * Creates a message.
     *
     * @throws InvalidLeaseArgumentException if a value does not fit in a datagram
     */
    public LeaseMessage {
        entries = List.copyOf(entries);
        require(
                processId >= 0 && processId < PROCESS_ID_LIMIT,
                "processId",
                processId,
                "0 or more, below " + PROCESS_ID_LIMIT);
        require(
                entries.size() <= MAX_ENTRIES,
                "number of entries",
                entries.size(),
                "at most " + MAX_ENTRIES);
        for (Entry entry : entries) {
            require(
                    entry.slot >= 0 && entry.slot <= MAX_SLOT,
                    "slot",
                    entry.slot,
                    "0 to " + MAX_SLOT);
            require(
                    entry.epoch >= 0 && entry.epoch <= MAX_EPOCH,
                    "epoch",
                    entry.epoch,
                    "0 to " + MAX_EPOCH);
        }
    }

    private static void require(boolean valid, String field, long value, String range) {
        InvalidLeaseArgumentException.require(valid, "lease message: " + field, value, range);
    }

    /** Returns whether the first byte is {@link #FORMAT}; the rest may be invalid. */
    public static boolean matchesFormat(byte[] bytes) {
        return bytes.length > 0 && bytes[0] == FORMAT;
    }

    /** Encodes the message as a datagram of at most 253 bytes. */
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

    /** Decodes a datagram; returns empty if it is of another format or invalid. */
    public static Optional<LeaseMessage> decode(byte[] bytes) {
        if (!matchesFormat(bytes) || !hasValidLength(bytes) || !hasValidKind(bytes)) {
            return Optional.empty();
        }
        ByteBuffer in = ByteBuffer.wrap(bytes, 2, bytes.length - 2);
        int processId = in.getShort();
        if (processId < 0) {
            return Optional.empty();
        }
        int sequenceNumber = in.getInt();
        List<Entry> entries = new ArrayList<>();
        while (in.hasRemaining()) {
            int slot = in.get() & 0xff;
            long epochHigh = in.getShort() & 0xffffL;
            long epochLow = in.getInt() & 0xffffffffL;
            entries.add(new Entry(slot, (epochHigh << 32) | epochLow));
        }
        return Optional.of(new LeaseMessage(KINDS[bytes[1]], processId, sequenceNumber, entries));
    }

    private static boolean hasValidLength(byte[] bytes) {
        return bytes.length >= HEADER_BYTES
                && bytes.length <= HEADER_BYTES + ENTRY_BYTES * MAX_ENTRIES
                && (bytes.length - HEADER_BYTES) % ENTRY_BYTES == 0;
    }

    private static boolean hasValidKind(byte[] bytes) {
        return bytes[1] >= 0 && bytes[1] < KINDS.length;
    }
}

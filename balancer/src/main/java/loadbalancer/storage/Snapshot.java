package loadbalancer.storage;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.zip.CRC32C;

/**
 * What was true of one balancer at one time, as bytes that tell whether they are whole: a mark, a
 * version, the length of the rest and its checksum, then sequence, time, incarnation, the owner's
 * name and the content.
 *
 * @param sequence raised by each snapshot of a folder
 * @param createdAtMs ms since 1970 by the wall clock, for the reader to judge its age
 * @param incarnation of the process that wrote it
 * @param owner site and name of the balancer whose state it is
 * @param content what was kept, in a form that is its owner's affair
 */
public record Snapshot(
        long sequence, long createdAtMs, long incarnation, String owner, byte[] content) {
    /** Bytes at most, all told. */
    public static final int MAX_BYTES = 4 << 20;

    // "tfs1"
    private static final int MAGIC = 0x74667331;
    private static final int FORMAT_VERSION = 1;
    private static final int HEADER_BYTES = 16;
    private static final int FIXED_FIELDS_BYTES = 28;

    /** Why bytes are no snapshot of this program and owner. */
    public enum Corruption {
        NONE,
        TRUNCATED,
        BAD_MAGIC,
        UNSUPPORTED_VERSION,
        LENGTH_MISMATCH,
        CHECKSUM_MISMATCH,
        WRONG_OWNER
    }

    /** What was read: the snapshot, or null and why not. */
    public record DecodeResult(Snapshot snapshot, Corruption corruption) {}

    /** As bytes. */
    public byte[] encode() {
        byte[] ownerBytes = owner.getBytes(StandardCharsets.UTF_8);
        ByteBuffer buffer =
                ByteBuffer.allocate(
                        HEADER_BYTES + FIXED_FIELDS_BYTES + ownerBytes.length + content.length);
        if (buffer.capacity() > MAX_BYTES) {
            throw new IllegalArgumentException("a snapshot of " + buffer.capacity() + " bytes");
        }
        buffer.putInt(MAGIC)
                .putInt(FORMAT_VERSION)
                .putInt(buffer.capacity() - HEADER_BYTES)
                .putInt(0);
        buffer.putLong(sequence)
                .putLong(createdAtMs)
                .putLong(incarnation)
                .putInt(ownerBytes.length)
                .put(ownerBytes)
                .put(content);
        buffer.putInt(HEADER_BYTES - Integer.BYTES, checksum(buffer.array()));
        return buffer.array();
    }

    // Of all but itself: what it does not cover could change unseen.
    private static int checksum(byte[] bytes) {
        CRC32C crc = new CRC32C();
        crc.update(bytes, 0, HEADER_BYTES - Integer.BYTES);
        crc.update(bytes, HEADER_BYTES, bytes.length - HEADER_BYTES);
        return (int) crc.getValue();
    }

    /** Reads what {@link #encode} wrote, for that owner; any other bytes have a flaw. */
    public static DecodeResult decode(byte[] bytes, String owner) {
        if (bytes.length < HEADER_BYTES + FIXED_FIELDS_BYTES) {
            return new DecodeResult(null, Corruption.TRUNCATED);
        }
        ByteBuffer buffer = ByteBuffer.wrap(bytes);
        if (buffer.getInt() != MAGIC) {
            return new DecodeResult(null, Corruption.BAD_MAGIC);
        }
        if (buffer.getInt() != FORMAT_VERSION) {
            return new DecodeResult(null, Corruption.UNSUPPORTED_VERSION);
        }
        if (buffer.getInt() != bytes.length - HEADER_BYTES) {
            return new DecodeResult(null, Corruption.LENGTH_MISMATCH);
        }
        if (buffer.getInt() != checksum(bytes)) {
            return new DecodeResult(null, Corruption.CHECKSUM_MISMATCH);
        }
        long sequence = buffer.getLong();
        long createdAtMs = buffer.getLong();
        long incarnation = buffer.getLong();
        int ownerLength = buffer.getInt();
        if (ownerLength < 0 || ownerLength > buffer.remaining()) {
            return new DecodeResult(null, Corruption.LENGTH_MISMATCH);
        }
        String storedOwner =
                new String(bytes, buffer.position(), ownerLength, StandardCharsets.UTF_8);
        if (!storedOwner.equals(owner)) {
            return new DecodeResult(null, Corruption.WRONG_OWNER);
        }
        byte[] content = new byte[buffer.remaining() - ownerLength];
        buffer.position(buffer.position() + ownerLength).get(content);
        return new DecodeResult(
                new Snapshot(sequence, createdAtMs, incarnation, storedOwner, content),
                Corruption.NONE);
    }
}

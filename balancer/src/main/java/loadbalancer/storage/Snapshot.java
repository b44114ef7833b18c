package loadbalancer.storage;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.zip.CRC32C;

/**
 * The state of one balancer at one time. Encodes it as a file with a checksum, and decodes and
 * verifies such a file. Immutable, provided that nobody changes the content.
 *
 * <p>File layout, with big-endian integers:
 *
 * <pre>
 * header, 16 bytes:  magic (4), format version (4), length of the body (4), checksum (4)
 * body:              sequence (8), created at (8), incarnation (8), length of the owner (4),
 *                    owner (UTF-8), content
 * </pre>
 *
 * The checksum is a CRC32C of all bytes except the checksum itself.
 *
 * @param sequence number that increases with each snapshot in a directory
 * @param createdAtMs creation time by the wall clock, in ms since 1970, from which a reader
 *     computes the age
 * @param incarnation incarnation of the process that wrote the snapshot
 * @param owner site and name of the balancer whose state it is
 * @param content the state, opaque to this class; the array is not copied
 */
public record Snapshot(
        long sequence, long createdAtMs, long incarnation, String owner, byte[] content) {
    /** Maximum encoded size, in bytes. */
    public static final int MAX_BYTES = 4 << 20;

    // "tfs1" in ASCII.
    private static final int MAGIC = 0x74667331;
    private static final int FORMAT_VERSION = 1;
    private static final int HEADER_BYTES = 16;
    private static final int CHECKSUM_OFFSET = HEADER_BYTES - Integer.BYTES;
    private static final int FIXED_FIELDS_BYTES = 3 * Long.BYTES + Integer.BYTES;

    /**
     * Encodes this snapshot as a file.
     *
     * @throws SnapshotTooLargeException if the file would exceed {@link #MAX_BYTES}
     */
    public byte[] encode() {
        byte[] ownerBytes = owner.getBytes(StandardCharsets.UTF_8);
        int bodyBytes = FIXED_FIELDS_BYTES + ownerBytes.length + content.length;
        ByteBuffer buffer = ByteBuffer.allocate(HEADER_BYTES + bodyBytes);
        if (buffer.capacity() > MAX_BYTES) {
            throw new SnapshotTooLargeException(buffer.capacity());
        }
        buffer.putInt(MAGIC);
        buffer.putInt(FORMAT_VERSION);
        buffer.putInt(bodyBytes);
        buffer.position(HEADER_BYTES);
        buffer.putLong(sequence);
        buffer.putLong(createdAtMs);
        buffer.putLong(incarnation);
        buffer.putInt(ownerBytes.length);
        buffer.put(ownerBytes);
        buffer.put(content);
        buffer.putInt(CHECKSUM_OFFSET, checksum(buffer.array()));
        return buffer.array();
    }

    private static int checksum(byte[] bytes) {
        CRC32C crc = new CRC32C();
        crc.update(bytes, 0, CHECKSUM_OFFSET);
        crc.update(bytes, HEADER_BYTES, bytes.length - HEADER_BYTES);
        return (int) crc.getValue();
    }

    /**
     * Decodes and verifies a file.
     *
     * @param bytes the whole file
     * @param owner site and name of the balancer that must own the snapshot
     * @throws CorruptSnapshotException if the bytes are not a complete snapshot of {@code owner}
     */
    public static Snapshot decode(byte[] bytes, String owner) throws CorruptSnapshotException {
        require(bytes.length >= HEADER_BYTES + FIXED_FIELDS_BYTES, Corruption.TRUNCATED);
        ByteBuffer buffer = ByteBuffer.wrap(bytes);
        require(buffer.getInt() == MAGIC, Corruption.BAD_MAGIC);
        require(buffer.getInt() == FORMAT_VERSION, Corruption.UNSUPPORTED_VERSION);
        require(buffer.getInt() == bytes.length - HEADER_BYTES, Corruption.LENGTH_MISMATCH);
        require(buffer.getInt() == checksum(bytes), Corruption.CHECKSUM_MISMATCH);
        long sequence = buffer.getLong();
        long createdAtMs = buffer.getLong();
        long incarnation = buffer.getLong();
        String storedOwner = readOwner(buffer);
        require(storedOwner.equals(owner), Corruption.WRONG_OWNER);
        byte[] content = new byte[buffer.remaining()];
        buffer.get(content);
        return new Snapshot(sequence, createdAtMs, incarnation, storedOwner, content);
    }

    private static String readOwner(ByteBuffer buffer) throws CorruptSnapshotException {
        int length = buffer.getInt();
        require(length >= 0 && length <= buffer.remaining(), Corruption.LENGTH_MISMATCH);
        byte[] ownerBytes = new byte[length];
        buffer.get(ownerBytes);
        return new String(ownerBytes, StandardCharsets.UTF_8);
    }

    private static void require(boolean isValid, Corruption corruption)
            throws CorruptSnapshotException {
        if (!isValid) {
            throw new CorruptSnapshotException(corruption);
        }
    }
}

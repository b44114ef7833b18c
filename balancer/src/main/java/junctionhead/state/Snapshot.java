package junctionhead.state;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.zip.CRC32C;

/**
 * What was true of one balancer at one time, as bytes that tell whether they are whole: a mark, a
 * version, the length of the rest and its checksum, then sequence, time, incarnation, the owner's
 * name and the content.
 *
 * @param sequence raised by each snapshot of a folder
 * @param at ms since 1970 by the wall clock, for the reader to judge its age
 * @param incarnation of the process that wrote it
 * @param owner site and name of the balancer whose state it is
 * @param content what was kept, in a form that is its owner's affair
 */
public record Snapshot(long sequence, long at, long incarnation, String owner, byte[] content) {
    /** Bytes at most, all told. */
    public static final int BYTES_MOST = 4 << 20;

    // "tfs1"
    private static final int MARK = 0x74667331;
    private static final int VERSION = 1;
    private static final int HEAD = 16;
    private static final int FIXED = 28;

    /** Why bytes are no snapshot of this program and owner. */
    public enum Flaw {
        NONE,
        SHORT,
        NO_MARK,
        OTHER_VERSION,
        LENGTH,
        CHECKSUM,
        OTHER_OWNER
    }

    /** What was read: the snapshot, or null and why not. */
    public record Reading(Snapshot snapshot, Flaw flaw) {}

    /** As bytes. */
    public byte[] encode() {
        byte[] name = owner.getBytes(StandardCharsets.UTF_8);
        ByteBuffer out = ByteBuffer.allocate(HEAD + FIXED + name.length + content.length);
        if (out.capacity() > BYTES_MOST) {
            throw new IllegalArgumentException("a snapshot of " + out.capacity() + " bytes");
        }
        out.putInt(MARK).putInt(VERSION).putInt(out.capacity() - HEAD).putInt(0);
        out.putLong(sequence)
                .putLong(at)
                .putLong(incarnation)
                .putInt(name.length)
                .put(name)
                .put(content);
        out.putInt(HEAD - Integer.BYTES, checksum(out.array()));
        return out.array();
    }

    // Of all but itself: what it does not cover could change unseen.
    private static int checksum(byte[] bytes) {
        CRC32C sum = new CRC32C();
        sum.update(bytes, 0, HEAD - Integer.BYTES);
        sum.update(bytes, HEAD, bytes.length - HEAD);
        return (int) sum.getValue();
    }

    /** Reads what {@link #encode} wrote, for that owner; any other bytes have a flaw. */
    public static Reading read(byte[] bytes, String owner) {
        if (bytes.length < HEAD + FIXED) {
            return new Reading(null, Flaw.SHORT);
        }
        ByteBuffer in = ByteBuffer.wrap(bytes);
        if (in.getInt() != MARK) {
            return new Reading(null, Flaw.NO_MARK);
        }
        if (in.getInt() != VERSION) {
            return new Reading(null, Flaw.OTHER_VERSION);
        }
        if (in.getInt() != bytes.length - HEAD) {
            return new Reading(null, Flaw.LENGTH);
        }
        if (in.getInt() != checksum(bytes)) {
            return new Reading(null, Flaw.CHECKSUM);
        }
        long sequence = in.getLong();
        long at = in.getLong();
        long incarnation = in.getLong();
        int length = in.getInt();
        if (length < 0 || length > in.remaining()) {
            return new Reading(null, Flaw.LENGTH);
        }
        String name = new String(bytes, in.position(), length, StandardCharsets.UTF_8);
        if (!name.equals(owner)) {
            return new Reading(null, Flaw.OTHER_OWNER);
        }
        byte[] content = new byte[in.remaining() - length];
        in.position(in.position() + length).get(content);
        return new Reading(new Snapshot(sequence, at, incarnation, name, content), Flaw.NONE);
    }
}

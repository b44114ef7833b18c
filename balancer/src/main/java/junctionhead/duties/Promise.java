package junctionhead.duties;

import java.nio.ByteBuffer;
import java.util.Arrays;
import java.util.List;

/**
 * What a voter has promised of a slot: to grant nothing under a lower epoch, nor this one to
 * anybody else.
 *
 * @param claimant the member that the epoch was granted to, and which of its processes; -1: nobody
 *     yet
 */
public record Promise(long epoch, int claimant) {
    /** Nothing under this epoch or a lower one was granted, as far as is known. */
    static Promise none(long floor) {
        return new Promise(floor, -1);
    }

    /** One process of one member. */
    static int claimant(int member, int process) {
        return process << 16 | member;
    }

    private static final int BYTES = Long.BYTES + Integer.BYTES;

    /** Of all slots in turn, as bytes to be kept. */
    public static byte[] encode(List<Promise> promises) {
        ByteBuffer out = ByteBuffer.allocate(BYTES * promises.size());
        promises.forEach(p -> out.putLong(p.epoch).putInt(p.claimant));
        return out.array();
    }

    /** What {@link #encode} wrote; null where these are no promises of so many slots. */
    public static List<Promise> decode(byte[] bytes, int slots) {
        if (bytes == null || bytes.length != BYTES * slots) {
            return null;
        }
        ByteBuffer in = ByteBuffer.wrap(bytes);
        Promise[] promises = new Promise[slots];
        Arrays.setAll(promises, i -> new Promise(in.getLong(), in.getInt()));
        return Arrays.stream(promises)
                        .anyMatch(p -> p.epoch < 0 || p.epoch > Word.EPOCH_MOST || p.claimant < -1)
                ? null
                : List.of(promises);
    }
}

package loadbalancer.lease;

import java.nio.ByteBuffer;
import java.util.Arrays;
import java.util.List;

/**
 * What a voter has promised of a slot: to grant nothing under a lower epoch, nor this one to
 * anybody else.
 *
 * @param granteeId the member that the epoch was granted to, and which of its processes; -1: nobody
 *     yet
 */
public record VoterPromise(long epoch, int granteeId) {
    /** Nothing under this epoch or a lower one was granted, as far as is known. */
    static VoterPromise initial(long epochFloor) {
        return new VoterPromise(epochFloor, -1);
    }

    /** One process of one member. */
    static int granteeId(int member, int processId) {
        return processId << 16 | member;
    }

    private static final int ENCODED_BYTES = Long.BYTES + Integer.BYTES;

    /** Of all slots in turn, as bytes to be kept. */
    public static byte[] encode(List<VoterPromise> promises) {
        ByteBuffer out = ByteBuffer.allocate(ENCODED_BYTES * promises.size());
        promises.forEach(p -> out.putLong(p.epoch).putInt(p.granteeId));
        return out.array();
    }

    /** What {@link #encode} wrote; null where these are no promises of so many slots. */
    public static List<VoterPromise> decode(byte[] bytes, int slotCount) {
        if (bytes == null || bytes.length != ENCODED_BYTES * slotCount) {
            return null;
        }
        ByteBuffer in = ByteBuffer.wrap(bytes);
        VoterPromise[] promises = new VoterPromise[slotCount];
        Arrays.setAll(promises, i -> new VoterPromise(in.getLong(), in.getInt()));
        return Arrays.stream(promises)
                        .anyMatch(
                                p ->
                                        p.epoch < 0
                                                || p.epoch > LeaseMessage.MAX_EPOCH
                                                || p.granteeId < -1)
                ? null
                : List.of(promises);
    }
}

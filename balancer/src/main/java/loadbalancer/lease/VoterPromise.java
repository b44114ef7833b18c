package loadbalancer.lease;

import java.nio.ByteBuffer;
import java.util.Arrays;
import java.util.List;
import java.util.Optional;

/**
 * A voter's promise for one slot: to grant nothing under a lower epoch, nor this epoch to another
 * grantee.
 *
 * @param epoch highest epoch that was granted
 * @param granteeId the process of the member that it was granted to, see {@link #granteeId}; {@link
 *     #NO_GRANTEE} before the first grant
 */
public record VoterPromise(long epoch, int granteeId) {
    /** Grantee of an epoch that was granted to nobody. */
    static final int NO_GRANTEE = -1;

    private static final int ENCODED_BYTES = Long.BYTES + Integer.BYTES;
    private static final int PROCESS_ID_SHIFT = 16;

    /** The promise before the first grant: nothing is granted at or below {@code epochFloor}. */
    static VoterPromise initial(long epochFloor) {
        return new VoterPromise(epochFloor, NO_GRANTEE);
    }

    /** Identifies one process of one member. */
    static int granteeId(int member, int processId) {
        return (processId << PROCESS_ID_SHIFT) | member;
    }

    /** The promises of all slots, in order of slots, as stored bytes. */
    public static byte[] encode(List<VoterPromise> promises) {
        ByteBuffer out = ByteBuffer.allocate(ENCODED_BYTES * promises.size());
        for (VoterPromise promise : promises) {
            out.putLong(promise.epoch).putInt(promise.granteeId);
        }
        return out.array();
    }

    /**
     * The promises that {@link #encode} wrote; empty if {@code bytes} is not the valid encoding of
     * {@code slotCount} promises.
     */
    public static Optional<List<VoterPromise>> decode(byte[] bytes, int slotCount) {
        if (bytes.length != ENCODED_BYTES * slotCount) {
            return Optional.empty();
        }
        ByteBuffer in = ByteBuffer.wrap(bytes);
        VoterPromise[] promises = new VoterPromise[slotCount];
        Arrays.setAll(promises, slot -> new VoterPromise(in.getLong(), in.getInt()));
        return Arrays.stream(promises).allMatch(VoterPromise::isValid)
                ? Optional.of(List.of(promises))
                : Optional.empty();
    }

    private boolean isValid() {
        return epoch >= 0 && epoch <= LeaseMessage.MAX_EPOCH && granteeId >= NO_GRANTEE;
    }
}

package loadbalancer.lease;

import java.nio.ByteBuffer;
import java.util.Arrays;
import java.util.List;
import java.util.Optional;

/**
 * A voter's promise for one slot to grant no lower epoch to anyone and this epoch to no other
 * grantee. Immutable.
 *
 * @param epoch highest epoch that was granted
 * @param granteeId the process of the member that received the grant, see {@link #granteeId};
 *     {@link #NO_GRANTEE} before the first grant
 */
public record VoterPromise(long epoch, int granteeId) {
    /** Grantee id of an epoch that was never granted. */
    static final int NO_GRANTEE = -1;

    private static final int ENCODED_BYTES = Long.BYTES + Integer.BYTES;
    private static final int PROCESS_ID_SHIFT = 16;

    /** Returns the promise before the first grant: to grant no epoch up to {@code epochFloor}. */
    static VoterPromise initial(long epochFloor) {
        return new VoterPromise(epochFloor, NO_GRANTEE);
    }

    /** Returns the id of one process of one member. */
    static int granteeId(int member, int processId) {
        return (processId << PROCESS_ID_SHIFT) | member;
    }

    /** Encodes the promises of all slots, in the order of the slots, for storage. */
    public static byte[] encode(List<VoterPromise> promises) {
        ByteBuffer out = ByteBuffer.allocate(ENCODED_BYTES * promises.size());
        for (VoterPromise promise : promises) {
            out.putLong(promise.epoch).putInt(promise.granteeId);
        }
        return out.array();
    }

    /**
     * Decodes promises that {@link #encode} encoded; returns empty if {@code bytes} is not a valid
     * encoding of {@code slotCount} promises.
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

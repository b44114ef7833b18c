package loadbalancer.testbed.modelcheck;

import java.util.List;
import java.util.function.ToLongFunction;

/** Combines the hashes of a state's parts into its 64-bit fingerprint. */
final class Fingerprints {
    // Multipliers from the SplitMix64 random number generator.
    private static final long MESSAGE_MULTIPLIER = 0x9e3779b97f4a7c15L;
    private static final long STATE_MULTIPLIER = 0xbf58476d1ce4e5b9L;
    private static final int MESSAGE_SHIFT_BITS = 17;

    private Fingerprints() {}

    /** Returns the fingerprint from the members' hash and the messages, whose order is ignored. */
    static <M> long combine(long membersHash, List<M> messages, ToLongFunction<M> messageHash) {
        long messagesHash = 0;
        for (M message : messages) {
            long hash = messageHash.applyAsLong(message);
            messagesHash += (hash ^ hash >>> MESSAGE_SHIFT_BITS) * MESSAGE_MULTIPLIER;
        }
        return (membersHash ^ messagesHash) * STATE_MULTIPLIER;
    }

    /** Returns the hash of a message from its sender, recipient and content. */
    static long messageHash(int from, int to, long contentHash) {
        return (from * 31L + to) * 31 + contentHash;
    }
}

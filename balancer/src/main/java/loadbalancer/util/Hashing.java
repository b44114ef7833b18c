package loadbalancer.util;

/**
 * Hash functions whose values are the same on every machine and in every run. Balancers compare
 * them with each other, so they are part of the protocols between them. Stateless.
 */
public final class Hashing {
    private static final long FNV_OFFSET_BASIS = 0xcbf29ce484222325L;
    private static final long FNV_PRIME = 0x100000001b3L;
    private static final long GOLDEN_GAMMA = 0x9e3779b97f4a7c15L;
    private static final long MIX_MULTIPLIER_1 = 0xbf58476d1ce4e5b9L;
    private static final long MIX_MULTIPLIER_2 = 0x94d049bb133111ebL;

    private Hashing() {}

    /** Returns the hash of a text: 64-bit FNV-1a over its UTF-16 code units, then {@link #mix}. */
    public static long hash(String text) {
        long hash = FNV_OFFSET_BASIS;
        for (int i = 0; i < text.length(); i++) {
            hash = (hash ^ text.charAt(i)) * FNV_PRIME;
        }
        return mix(hash);
    }

    /**
     * Returns a hash that spreads close numbers over all 64 bits; a variant of the finalizer of
     * SplitMix64.
     */
    public static long mix(long value) {
        long mixed = ((value + GOLDEN_GAMMA) ^ (value >>> 30)) * MIX_MULTIPLIER_1;
        mixed = (mixed ^ (mixed >>> 27)) * MIX_MULTIPLIER_2;
        return mixed ^ (mixed >>> 31);
    }
}

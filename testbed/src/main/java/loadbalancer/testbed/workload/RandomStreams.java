package loadbalancer.testbed.workload;

import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.simple.RandomSource;

/**
 * Streams of random numbers that depend on a seed and a purpose, not on what other purposes draw.
 */
public final class RandomStreams {
    // Odd, from the LXM generators' multipliers
    private static final long PURPOSE_MULTIPLIER = 0xD1342543DE82EF95L;

    private RandomStreams() {}

    /** The stream of that purpose. */
    public static UniformRandomProvider stream(long seed, String purpose) {
        // From one long the library makes the whole state by SplitMix; an array would be the state
        // itself, and
        // neighbouring seeds would begin with like numbers.
        return RandomSource.XO_RO_SHI_RO_128_PP.create(
                Long.valueOf(seed ^ PURPOSE_MULTIPLIER * purpose.hashCode()));
    }

    /** One number of a purpose, as a seed for somebody else. */
    public static long seedFor(long seed, String purpose) {
        return stream(seed, purpose).nextLong();
    }
}

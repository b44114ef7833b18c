package loadbalancer.testbed.workload;

import loadbalancer.testbed.scenario.Range;
import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.simple.RandomSource;

/**
 * Creates random number streams that depend only on a seed and a purpose, not on how many numbers
 * are drawn for other purposes. A stream must be used by one thread only.
 */
public final class RandomStreams {
    // Multiplier of the LXM family of generators
    private static final long PURPOSE_MULTIPLIER = 0xD1342543DE82EF95L;

    private RandomStreams() {}

    /** Creates the stream of a purpose; equal arguments give equal streams. */
    public static UniformRandomProvider stream(long seed, String purpose) {
        // A Long seed is expanded to the state by SplitMix. An array would be used as the state
        // itself, and streams of neighbouring seeds would begin with similar numbers.
        return RandomSource.XO_RO_SHI_RO_128_PP.create(
                Long.valueOf(seed ^ PURPOSE_MULTIPLIER * purpose.hashCode()));
    }

    /** Draws one number from a uniform distribution over a range. */
    public static double drawUniform(UniformRandomProvider random, Range range) {
        return range.lower() + random.nextDouble() * (range.upper() - range.lower());
    }

    /** Returns the first number of a purpose's stream, to be used as the seed of a generator. */
    public static long seedFor(long seed, String purpose) {
        return stream(seed, purpose).nextLong();
    }
}

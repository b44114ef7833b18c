package loadbalancer.testbed.workload;

import loadbalancer.testbed.scenario.Range;
import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.simple.RandomSource;

/**
 * Random number streams that depend on a seed and a purpose only, not on what other purposes draw.
 * A stream belongs to one thread.
 */
public final class RandomStreams {
    // Multiplier of the LXM generators
    private static final long PURPOSE_MULTIPLIER = 0xD1342543DE82EF95L;

    private RandomStreams() {}

    /** Creates the stream of a purpose, from its beginning. */
    public static UniformRandomProvider stream(long seed, String purpose) {
        // The library derives the state from a single long by SplitMix. An array would be the state
        // itself, and streams of neighbouring seeds would begin with similar numbers.
        return RandomSource.XO_RO_SHI_RO_128_PP.create(
                Long.valueOf(seed ^ PURPOSE_MULTIPLIER * purpose.hashCode()));
    }

    /** Draws one number evenly from a range. */
    public static double drawUniform(UniformRandomProvider random, Range range) {
        return range.lower() + random.nextDouble() * (range.upper() - range.lower());
    }

    /** The first number of a purpose's stream, as the seed of another generator. */
    public static long seedFor(long seed, String purpose) {
        return stream(seed, purpose).nextLong();
    }
}

package loadbalancer.testbed;

import java.io.IOException;
import java.util.List;
import java.util.Locale;
import java.util.Set;
import java.util.TreeSet;
import loadbalancer.testbed.docfigures.RepeatedMeasurements;

/**
 * The measurements of a simulated cluster, seed by seed. The file is written after each seed, so
 * that a long call that is interrupted leaves what it has. Not thread-safe.
 */
final class SeededMeasurements {
    private final RepeatedMeasurements measurements = new RepeatedMeasurements();
    private final Set<Long> completedSeeds = new TreeSet<>();

    /** The prefix of the keys of a cluster of that size at that loss rate of datagrams. */
    static String keyPrefix(int memberCount, double lossRate) {
        return String.format(Locale.ROOT, "n%d.loss%.0f.", memberCount, lossRate * 100);
    }

    /** Adds one value, in the unit that its key names. */
    void add(String key, double value) {
        measurements.add(key, value);
    }

    /**
     * Notes that a seed is done, and writes all that was measured so far.
     *
     * @throws IOException if the file can't be written
     */
    void completeSeed(long seed, MeasurementFileOption file) throws IOException {
        completedSeeds.add(seed);
        file.write(List.copyOf(completedSeeds), measurements);
    }
}

package loadbalancer.testbed;

import java.io.IOException;
import java.util.List;
import java.util.Locale;
import java.util.Set;
import java.util.TreeSet;
import loadbalancer.testbed.docfigures.RepeatedMeasurements;

/**
 * Collects the measurements of simulated clusters, seed by seed. The file is written after each
 * seed, so that a long run that is interrupted keeps what it has measured. Not thread-safe.
 */
final class SeededMeasurements {
    private final RepeatedMeasurements measurements = new RepeatedMeasurements();
    private final Set<Long> completedSeeds = new TreeSet<>();

    /**
     * Returns the prefix of the keys of a cluster.
     *
     * @param lossRate fraction of lost datagrams
     */
    static String keyPrefix(int memberCount, double lossRate) {
        return String.format(Locale.ROOT, "n%d.loss%.0f.", memberCount, lossRate * 100);
    }

    /** Adds one value, in the unit that its key implies. */
    void add(String key, double value) {
        measurements.add(key, value);
    }

    /**
     * Records that a seed is completed, and writes all measurements so far.
     *
     * @throws IOException if the file can't be written
     */
    void completeSeed(long seed, MeasurementFileOption file) throws IOException {
        completedSeeds.add(seed);
        file.write(List.copyOf(completedSeeds), measurements);
    }
}

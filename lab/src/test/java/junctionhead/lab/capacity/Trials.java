package junctionhead.lab.capacity;

import java.io.IOException;
import java.util.Map;
import java.util.Set;

/** Short trials in simulated time. */
final class Trials {
    private static final int ZONES = 10;
    private static final int CLASSES = 2;

    private Trials() {}

    /** Figures of one trial; seconds are simulated. */
    static Map<String, Double> play(
            int balancers,
            int upstreams,
            double rate,
            Set<Part> parts,
            Condition condition,
            int warmUp,
            int seconds)
            throws IOException {
        Site site = new Site(balancers, upstreams, ZONES, CLASSES, rate, parts);
        try (Drive drive = new SimulatedDrive(site, 1)) {
            Trial trial = new Trial(site, drive, seconds * 1_000_000L);
            trial.start(warmUp * 1_000_000L, 1);
            return trial.measure(condition);
        }
    }
}

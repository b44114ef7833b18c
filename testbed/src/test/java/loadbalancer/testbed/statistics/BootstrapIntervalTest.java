package loadbalancer.testbed.statistics;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;

class BootstrapIntervalTest {
    @Test
    void differencesWithinNoiseAreIgnored() {
        List<Double> noise =
                IntStream.range(0, 20).mapToObj(i -> i % 2 == 0 ? 0.1 : -0.09).toList();
        assertFalse(BootstrapInterval.of(noise, 1).isSignificant());
        assertTrue(
                BootstrapInterval.of(noise.stream().map(difference -> difference + 0.2).toList(), 9)
                        .isSignificant());
        assertEquals(BootstrapInterval.of(noise, 1), BootstrapInterval.of(noise, 1));
    }

    @Test
    void multipleComparisonsWidenTheInterval() {
        List<Double> differences = List.of(0.3, 0.2, -0.1, 0.4, 0.25, -0.05, 0.1, 0.3);
        assertTrue(BootstrapInterval.of(differences, 1).isSignificant());
        assertFalse(BootstrapInterval.of(differences, 200).isSignificant());
    }
}

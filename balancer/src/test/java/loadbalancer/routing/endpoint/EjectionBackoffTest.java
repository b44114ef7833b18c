package loadbalancer.routing.endpoint;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.SplittableRandom;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Tests {@link EjectionBackoff}: duration of ejections and their jitter. */
class EjectionBackoffTest {
    @ParameterizedTest(name = "after {0} ejections: {1} µs")
    @CsvSource({"0, 1000000", "1, 2000000", "3, 8000000", "4, 16000000", "5, 16000000"})
    void durationDoublesUpToItsMaximum(int priorEjections, long expectedMicros) {
        assertEquals(expectedMicros, EjectionBackoff.ejectionMicros(priorEjections));
    }

    @Test
    void jitterAddsLessThanAQuarter() {
        SplittableRandom random = new SplittableRandom(1);
        long now = 5_000_000;
        for (int i = 0; i < 1_000; i++) {
            long untilMicros = EjectionBackoff.ejectedUntilMicros(now, 2_000_000, random);
            assertTrue(
                    untilMicros >= now + 2_000_000 && untilMicros < now + 2_500_000,
                    "ejected until " + untilMicros);
        }
    }
}

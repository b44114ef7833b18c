package loadbalancer.routing.gossip;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.SplittableRandom;
import org.junit.jupiter.api.Test;

class FleetLoadMessageTest {
    // The mantissa has 12 bits.
    private static final double MAX_ROUNDING_ERROR = 1.0 / 2048;

    @Test
    void encodedRatesKeepRelativePrecision() {
        SplittableRandom random = new SplittableRandom(13);
        for (int i = 0; i < 10_000; i++) {
            int rate = random.nextInt(1 << random.nextInt(1, 28));
            int decoded = FleetLoadMessage.decodeRate(FleetLoadMessage.encodeRate(rate));
            assertTrue(
                    decoded <= rate && rate - decoded <= rate * MAX_ROUNDING_ERROR,
                    rate + " was decoded as " + decoded);
        }
        assertEquals(
                4095 << 15,
                FleetLoadMessage.decodeRate(FleetLoadMessage.encodeRate(Integer.MAX_VALUE)));
    }
}

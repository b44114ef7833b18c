package loadbalancer.routing.endpoint;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;

import org.junit.jupiter.api.Test;

/** Tests that the counts of a {@link ZoneTally} are consistent. */
class ZoneTallyTest {
    @Test
    void observedEndpointsAreUnresponsiveOrResponding() {
        assertEquals(9, new ZoneTally(10, 6, 3).observed());
    }

    @Test
    void moreObservedThanListedEndpointsAreRejected() {
        InvalidZoneTallyException exception =
                assertThrows(InvalidZoneTallyException.class, () -> new ZoneTally(10, 6, 5));
        assertEquals(
                "zone tally: 6 unresponsive and 5 responding endpoints exceed the 10 that are"
                        + " listed",
                exception.getMessage());
    }
}

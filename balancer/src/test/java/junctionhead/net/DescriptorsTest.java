package junctionhead.net;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;

/** How the limit on descriptors is divided. */
class DescriptorsTest {
    private static int room(Descriptors descriptors) {
        int opened = 0;
        while (!descriptors.full()) {
            descriptors.opened();
            opened++;
        }
        for (int i = 0; i < opened; i++) {
            descriptors.closed();
        }
        return opened;
    }

    /**
     * An old process and a new one each start from their half; what both hold beside is kept twice.
     */
    @Test
    void twoProcessesAtTheirLimitsStayWithinThatOfTheBalancer() {
        Descriptors fresh = new Descriptors(384, true);
        int half = room(fresh);
        assertTrue(2 * half + 2 * 48 <= 384, half + " sockets");
        fresh.alone();
        assertEquals(2 * half, room(fresh));
        assertTrue(room(new Descriptors(384, false)) > room(fresh));
    }

    @Test
    void clientsLeaveAThirdToTheUpstreamsAndMoreWhereTheseHaveMore() {
        // 150 sockets
        Descriptors descriptors = new Descriptors(198, false);
        assertFalse(descriptors.crowded(100));
        assertTrue(descriptors.crowded(101));
        for (int i = 0; i < 60 + 82; i++) {
            descriptors.opened();
        }
        // 60 upstreams' and 8 more
        assertFalse(descriptors.crowded(82));
        descriptors.opened();
        assertTrue(descriptors.crowded(83));
    }
}

package loadbalancer.lease;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;

class RendezvousPlacementTest {
    @Test
    void placementIsStableWhenAMemberLeaves() {
        int moved = 0;
        for (int slot = 0; slot < 200; slot++) {
            assertEquals(9, RendezvousPlacement.votersOf(slot, 40, 9).length);
            assertArrayEquals(new int[] {0, 1, 2}, RendezvousPlacement.votersOf(slot, 3, 9));
            int holder = RendezvousPlacement.preferredHolder(slot, 40, member -> true);
            int newHolder = RendezvousPlacement.preferredHolder(slot, 40, member -> member != 17);
            assertEquals(holder == 17, newHolder != holder);
            moved += newHolder != holder ? 1 : 0;
        }
        assertTrue(moved < 20, moved + " of 200 slots moved");
        assertEquals(-1, RendezvousPlacement.preferredHolder(0, 4, member -> false));
        assertEquals(
                RendezvousPlacement.slotOf("fleet-record", 32),
                RendezvousPlacement.slotOf("fleet-record", 32));
    }
}

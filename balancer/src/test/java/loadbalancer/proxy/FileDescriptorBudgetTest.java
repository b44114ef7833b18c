package loadbalancer.proxy;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;

/** Tests how the limit on file descriptors is divided. */
class FileDescriptorBudgetTest {
    private static int countAvailable(FileDescriptorBudget descriptorBudget) {
        int opened = 0;
        while (!descriptorBudget.isExhausted()) {
            descriptorBudget.socketOpened();
            opened++;
        }
        for (int i = 0; i < opened; i++) {
            descriptorBudget.socketClosed();
        }
        return opened;
    }

    /**
     * During a handover the old and the new process each use half of the limit, and the reserve for
     * descriptors that are not counted is kept twice.
     */
    @Test
    void twoProcessesStayWithinTheSharedLimit() {
        FileDescriptorBudget handoverBudget = new FileDescriptorBudget(384, true);
        int halfBudget = countAvailable(handoverBudget);
        assertTrue(2 * halfBudget + 2 * 48 <= 384, halfBudget + " sockets");
        handoverBudget.useFullLimit();
        assertEquals(2 * halfBudget, countAvailable(handoverBudget));
        assertTrue(
                countAvailable(new FileDescriptorBudget(384, false))
                        > countAvailable(handoverBudget));
    }

    @Test
    void clientsLeaveAThirdOfTheSocketsForUpstreams() {
        // The limit leaves 150 sockets.
        FileDescriptorBudget descriptorBudget = new FileDescriptorBudget(198, false);
        assertFalse(descriptorBudget.isClientLimitReached(100));
        assertTrue(descriptorBudget.isClientLimitReached(101));
        for (int i = 0; i < 60 + 82; i++) {
            descriptorBudget.socketOpened();
        }
        // Open are 60 sockets of upstreams and 82 of clients; 8 are kept for upstreams.
        assertFalse(descriptorBudget.isClientLimitReached(82));
        descriptorBudget.socketOpened();
        assertTrue(descriptorBudget.isClientLimitReached(83));
    }
}

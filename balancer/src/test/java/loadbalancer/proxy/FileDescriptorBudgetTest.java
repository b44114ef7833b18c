package loadbalancer.proxy;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;

/** How the limit on descriptors is divided. */
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
     * An old process and a new one each start from their half; what both hold beside is kept twice.
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
    void clientsLeaveAThirdForUpstreams() {
        // 150 sockets
        FileDescriptorBudget descriptorBudget = new FileDescriptorBudget(198, false);
        assertFalse(descriptorBudget.isClientLimitReached(100));
        assertTrue(descriptorBudget.isClientLimitReached(101));
        for (int i = 0; i < 60 + 82; i++) {
            descriptorBudget.socketOpened();
        }
        // 60 upstreams' and 8 more
        assertFalse(descriptorBudget.isClientLimitReached(82));
        descriptorBudget.socketOpened();
        assertTrue(descriptorBudget.isClientLimitReached(83));
    }
}

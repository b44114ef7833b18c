package loadbalancer.routing.gossip;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;

class BlockPartitionTest {
    @Test
    void blocksPartitionAllBalancers() {
        for (int balancerCount = 1;
                balancerCount <= BlockPartition.MAX_BALANCERS;
                balancerCount++) {
            BlockPartition partition = new BlockPartition(balancerCount);
            int nextBalancer = 0;
            for (int block = 0; block < partition.blockCount(); block++) {
                assertEquals(nextBalancer, partition.firstBalancer(block));
                assertTrue(
                        partition.blockSize(block) >= 1
                                && partition.blockSize(block) <= BlockPartition.DEFAULT_BLOCK_SIZE);
                for (int i = 0; i < partition.blockSize(block); i++) {
                    assertEquals(block, partition.blockOf(nextBalancer++));
                }
            }
            assertEquals(balancerCount, nextBalancer);
        }
    }

    @Test
    void fleetBeyondTheLimitIsRejected() {
        FleetSizeException exception =
                assertThrows(
                        FleetSizeException.class,
                        () -> new BlockPartition(BlockPartition.MAX_BALANCERS + 1));
        assertTrue(exception.getMessage().contains("1824"), exception.getMessage());
        assertThrows(FleetSizeException.class, () -> new BlockPartition(0));
    }
}

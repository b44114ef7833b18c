package loadbalancer.routing.gossip;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import loadbalancer.GoldenFiles;
import org.junit.jupiter.api.Test;

/**
 * Datagrams of {@link FleetLoadAggregator}, byte for byte: one record and as many as fit, with
 * extreme values.
 */
class GoldenFleetLoadTest {
    private static final String LONE = "sums/lone-block.hex";
    private static final String FORWARD = "sums/most-records-forward.hex";
    private static final String BACKWARD = "sums/most-records-backward.hex";

    private static final BlockPartition MOST_BLOCKS =
            new BlockPartition(BlockPartition.MAX_BALANCERS);
    private static final int BLOCK_COUNT = 114;
    private static final int RECORD_COUNT = 50;
    private static final int UNKNOWN_BLOCK = 7;
    private static final long STEP_MICROS = 142_857;
    private static final long FIRST_STEP_AT_MICROS = 7_000 * STEP_MICROS;
    private static final long LAST_STEP_AT_MICROS = FIRST_STEP_AT_MICROS + 6 * STEP_MICROS;
    private static final long AGE_UNIT_MICROS = 50_000;

    private record Datagram(int to, byte[] data) {}

    /**
     * Requests a second of a block: the extremes of the encoded form, then values all over its
     * range.
     */
    private static long rate(int block) {
        long[] extremes = {Integer.MAX_VALUE, 0, 1, 4_095, 4_096, 4_097, 134_184_960, 134_184_959};
        return block < extremes.length ? extremes[block] : 37L * block * block;
    }

    /** The rate of a block after encoding: literal where it loses digits. */
    private static double receivedRate(int block) {
        return switch (block) {
            case 0 -> 134_184_960;
            case 5 -> 4_096;
            default -> rate(block) < 4_096 ? rate(block) : roundedDown(rate(block));
        };
    }

    private static long roundedDown(long rate) {
        int lostBits = 64 - Long.numberOfLeadingZeros(rate) - 12;
        return rate >> lostBits << lostBits;
    }

    private static int presentCount(int block) {
        return 1 + block % 16;
    }

    private static long ageAtFirstStepMicros(int block) {
        return block == 1 ? 0 : Math.min(81, block) * AGE_UNIT_MICROS;
    }

    /** Age of a record in the golden datagrams, whole units rounded up, µs. */
    private static long receivedAgeMicros(int block) {
        if (block == 0) {
            return 0;
        }
        long micros = ageAtFirstStepMicros(block) + LAST_STEP_AT_MICROS - FIRST_STEP_AT_MICROS;
        return (micros + AGE_UNIT_MICROS - 1) / AGE_UNIT_MICROS * AGE_UNIT_MICROS;
    }

    /** The datagram with which the first balancer of a block reports its own block. */
    private static byte[] ownRecordDatagram(int block) {
        FleetLoadAggregator aggregator =
                new FleetLoadAggregator(MOST_BLOCKS.firstBalancer(block), MOST_BLOCKS);
        aggregator.ownBlock(
                FIRST_STEP_AT_MICROS - ageAtFirstStepMicros(block),
                presentCount(block),
                rate(block));
        return sent(aggregator, FIRST_STEP_AT_MICROS).get(0).data();
    }

    private static List<Datagram> sent(FleetLoadAggregator aggregator, long now) {
        List<Datagram> sent = new ArrayList<>();
        aggregator.tick(now, balancer -> true, (to, data) -> sent.add(new Datagram(to, data)));
        return sent;
    }

    /** What balancer 0 of the largest fleet sends in the last step, knowing all blocks but one. */
    private static List<Datagram> sentInLastStep() {
        FleetLoadAggregator aggregator = new FleetLoadAggregator(0, MOST_BLOCKS);
        aggregator.ownBlock(FIRST_STEP_AT_MICROS, presentCount(0), rate(0));
        for (int block = 1; block < BLOCK_COUNT; block++) {
            if (block != UNKNOWN_BLOCK) {
                assertTrue(
                        aggregator.onDatagram(
                                FIRST_STEP_AT_MICROS,
                                MOST_BLOCKS.firstBalancer(block),
                                ownRecordDatagram(block)));
            }
        }
        aggregator.ownBlock(LAST_STEP_AT_MICROS, presentCount(0), rate(0));
        return sent(aggregator, LAST_STEP_AT_MICROS);
    }

    static byte[] forwardDatagram() {
        return sentInLastStep().get(0).data();
    }

    static byte[] backwardDatagram() {
        List<Datagram> sent = sentInLastStep();
        return sent.get(sent.size() - 1).data();
    }

    /** The only block left of three, whose own figures are older than the format can say. */
    static byte[] loneDatagram() {
        FleetLoadAggregator aggregator = new FleetLoadAggregator(0, new BlockPartition(34));
        aggregator.ownBlock(0, 11, 0);
        return sent(aggregator, 20_000_000).get(0).data();
    }

    private static void assertBlocks(String file, int first, int direction) {
        byte[] data = GoldenFiles.bytes(file);
        assertEquals(4 + 5 * RECORD_COUNT, data.length);
        FleetLoadAggregator receiver =
                new FleetLoadAggregator(MOST_BLOCKS.firstBalancer(57), MOST_BLOCKS);
        assertTrue(receiver.onDatagram(LAST_STEP_AT_MICROS, 0, data));
        for (int i = 0; i < RECORD_COUNT; i++) {
            int block = Math.floorMod(first + direction * i, BLOCK_COUNT);
            FleetLoadAggregator.LoadTotal expected =
                    block == UNKNOWN_BLOCK
                            ? null
                            : new FleetLoadAggregator.LoadTotal(
                                    receivedRate(block),
                                    presentCount(block),
                                    receivedAgeMicros(block));
            assertEquals(
                    expected, receiver.blockTotal(LAST_STEP_AT_MICROS, block), "block " + block);
        }
        assertNull(
                receiver.blockTotal(
                        LAST_STEP_AT_MICROS,
                        Math.floorMod(first + direction * RECORD_COUNT, BLOCK_COUNT)));
    }

    @Test
    void forwardBytesGiveValues() {
        assertBlocks(FORWARD, 0, -1);
    }

    @Test
    void backwardBytesGiveValues() {
        assertBlocks(BACKWARD, 0, 1);
    }

    @Test
    void valuesGiveForwardBytes() {
        assertEquals(GoldenFiles.text(FORWARD), GoldenFiles.hexLines(forwardDatagram()));
    }

    @Test
    void valuesGiveBackwardBytes() {
        assertEquals(GoldenFiles.text(BACKWARD), GoldenFiles.hexLines(backwardDatagram()));
    }

    /** The greatest age of the format is past the time after which a record counts. */
    @Test
    void loneBytesAreAcceptedButDoNotCount() {
        FleetLoadAggregator receiver = new FleetLoadAggregator(33, new BlockPartition(34));
        assertTrue(receiver.onDatagram(20_000_000, 0, GoldenFiles.bytes(LONE)));
        assertNull(receiver.blockTotal(20_000_000, 0));
    }

    @Test
    void valuesGiveLoneBytes() {
        assertEquals(GoldenFiles.text(LONE), GoldenFiles.hexLines(loneDatagram()));
    }
}

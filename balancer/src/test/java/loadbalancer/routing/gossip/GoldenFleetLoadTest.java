package loadbalancer.routing.gossip;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import loadbalancer.GoldenFiles;
import org.junit.jupiter.api.Test;

/**
 * Compares the datagrams of {@link FleetLoadAggregator} with golden files byte for byte: one
 * record, and the maximum number of records, with extreme values.
 */
class GoldenFleetLoadTest {
    private static final String SINGLE_RECORD_FILE = "sums/lone-block.hex";
    private static final String FORWARD_FILE = "sums/most-records-forward.hex";
    private static final String BACKWARD_FILE = "sums/most-records-backward.hex";

    private static final BlockPartition MAX_PARTITION =
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
     * Returns the requests per second of a block: extremes of the encoding for the first blocks,
     * then values across its range.
     */
    private static long rate(int block) {
        long[] extremes = {Integer.MAX_VALUE, 0, 1, 4_095, 4_096, 4_097, 134_184_960, 134_184_959};
        return block < extremes.length ? extremes[block] : 37L * block * block;
    }

    /** Returns the rate of a block after encoding and decoding, which truncates the low bits. */
    private static double receivedRate(int block) {
        return switch (block) {
            case 0 -> 134_184_960;
            case 5 -> 4_096;
            default -> rate(block) < 4_096 ? rate(block) : truncateToMantissa(rate(block));
        };
    }

    private static long truncateToMantissa(long rate) {
        int truncatedBits = 64 - Long.numberOfLeadingZeros(rate) - 12;
        return rate >> truncatedBits << truncatedBits;
    }

    private static int presentCount(int block) {
        return 1 + block % 16;
    }

    private static long ageAtFirstStepMicros(int block) {
        return block == 1 ? 0 : Math.min(81, block) * AGE_UNIT_MICROS;
    }

    /** Returns the age of a record in the golden datagrams in µs, rounded up to whole units. */
    private static long receivedAgeMicros(int block) {
        if (block == 0) {
            return 0;
        }
        long micros = ageAtFirstStepMicros(block) + LAST_STEP_AT_MICROS - FIRST_STEP_AT_MICROS;
        return (micros + AGE_UNIT_MICROS - 1) / AGE_UNIT_MICROS * AGE_UNIT_MICROS;
    }

    /** Returns the datagram in which the first balancer of a block reports its own block. */
    private static byte[] ownRecordDatagram(int block) {
        FleetLoadAggregator aggregator =
                new FleetLoadAggregator(MAX_PARTITION.firstBalancer(block), MAX_PARTITION);
        aggregator.setOwnBlockRecord(
                FIRST_STEP_AT_MICROS - ageAtFirstStepMicros(block),
                presentCount(block),
                rate(block));
        return sentDatagrams(aggregator, FIRST_STEP_AT_MICROS).get(0).data();
    }

    private static List<Datagram> sentDatagrams(FleetLoadAggregator aggregator, long now) {
        List<Datagram> sentDatagrams = new ArrayList<>();
        aggregator.tick(
                now, balancer -> true, (to, data) -> sentDatagrams.add(new Datagram(to, data)));
        return sentDatagrams;
    }

    /**
     * Returns the datagrams that balancer 0 of the largest fleet sends in the last step, with the
     * records of all blocks but one.
     */
    private static List<Datagram> datagramsOfLastStep() {
        FleetLoadAggregator aggregator = new FleetLoadAggregator(0, MAX_PARTITION);
        aggregator.setOwnBlockRecord(FIRST_STEP_AT_MICROS, presentCount(0), rate(0));
        for (int block = 1; block < BLOCK_COUNT; block++) {
            if (block != UNKNOWN_BLOCK) {
                assertTrue(
                        aggregator.onDatagram(
                                FIRST_STEP_AT_MICROS,
                                MAX_PARTITION.firstBalancer(block),
                                ownRecordDatagram(block)));
            }
        }
        aggregator.setOwnBlockRecord(LAST_STEP_AT_MICROS, presentCount(0), rate(0));
        return sentDatagrams(aggregator, LAST_STEP_AT_MICROS);
    }

    static byte[] forwardDatagram() {
        return datagramsOfLastStep().get(0).data();
    }

    static byte[] backwardDatagram() {
        List<Datagram> sentDatagrams = datagramsOfLastStep();
        return sentDatagrams.get(sentDatagrams.size() - 1).data();
    }

    /**
     * Returns the datagram of the only remaining block of three. Its own record is older than the
     * maximum age of the format.
     */
    static byte[] singleRecordDatagram() {
        FleetLoadAggregator aggregator = new FleetLoadAggregator(0, new BlockPartition(34));
        aggregator.setOwnBlockRecord(0, 11, 0);
        return sentDatagrams(aggregator, 20_000_000).get(0).data();
    }

    private static void assertDecodedRecords(String file, int first, int direction) {
        byte[] data = GoldenFiles.bytes(file);
        assertEquals(4 + 5 * RECORD_COUNT, data.length);
        FleetLoadAggregator receiver =
                new FleetLoadAggregator(MAX_PARTITION.firstBalancer(57), MAX_PARTITION);
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
    void forwardBytesDecodeToRecords() {
        assertDecodedRecords(FORWARD_FILE, 0, -1);
    }

    @Test
    void backwardBytesDecodeToRecords() {
        assertDecodedRecords(BACKWARD_FILE, 0, 1);
    }

    @Test
    void recordsEncodeToForwardBytes() {
        assertEquals(GoldenFiles.text(FORWARD_FILE), GoldenFiles.hexLines(forwardDatagram()));
    }

    @Test
    void recordsEncodeToBackwardBytes() {
        assertEquals(GoldenFiles.text(BACKWARD_FILE), GoldenFiles.hexLines(backwardDatagram()));
    }

    /** A record with the maximum age of the format has expired. */
    @Test
    void singleExpiredRecordIsAcceptedButDoesNotCount() {
        FleetLoadAggregator receiver = new FleetLoadAggregator(33, new BlockPartition(34));
        assertTrue(receiver.onDatagram(20_000_000, 0, GoldenFiles.bytes(SINGLE_RECORD_FILE)));
        assertNull(receiver.blockTotal(20_000_000, 0));
    }

    @Test
    void singleRecordEncodesToBytes() {
        assertEquals(
                GoldenFiles.text(SINGLE_RECORD_FILE), GoldenFiles.hexLines(singleRecordDatagram()));
    }
}

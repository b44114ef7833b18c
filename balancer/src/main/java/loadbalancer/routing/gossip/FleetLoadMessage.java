package loadbalancer.routing.gossip;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;

/**
 * Load records of blocks of balancers, and their encoding as a datagram of format 6. Immutable.
 *
 * <p>Layout, integers big-endian:
 *
 * <pre>
 * header, 4 bytes:   format, number of balancers in the fleet (2), record count
 * record, 5:         block, age in units of 50 ms, balancers present, request rate (2)
 * </pre>
 *
 * The rate is a floating-point number with 4 bits of exponent and 12 bits of mantissa. It is exact
 * up to 4095 requests per second, and its relative error is below 1/2048 up to 134 million.
 *
 * @param balancerCount number of balancers in the sender's fleet
 * @param records records of different blocks, at most {@link #MAX_RECORDS}
 */
record FleetLoadMessage(int balancerCount, List<BlockRecord> records) {
    static final byte FORMAT = 6;
    static final int HEADER_BYTES = 4;
    static final int RECORD_BYTES = 5;

    /** Maximum number of records; they fit in a datagram of 256 bytes. */
    static final int MAX_RECORDS = 50;

    static final long AGE_UNIT_MICROS = 50_000;

    private static final int BALANCER_COUNT_OFFSET = 1;
    private static final int RECORD_COUNT_OFFSET = 3;
    private static final int MANTISSA_BITS = 12;
    private static final int MAX_MANTISSA = (1 << MANTISSA_BITS) - 1;
    private static final int MAX_EXPONENT = 15;

    /**
     * Load of a block at one point in time.
     *
     * @param block number of the block
     * @param ageMicros age of the record when it is sent, µs
     * @param presentCount number of balancers of the block that were present
     * @param requestsPerSecond requests per second that they received together
     */
    record BlockRecord(int block, long ageMicros, int presentCount, int requestsPerSecond) {}

    FleetLoadMessage {
        records = List.copyOf(records);
    }

    /** Returns whether a datagram has format 6. The rest of the datagram is not checked. */
    static boolean hasFormat(byte[] datagram) {
        return datagram.length > 0 && datagram[0] == FORMAT;
    }

    /**
     * Encodes this message. Ages are rounded up so that forwarding does not make records younger.
     */
    byte[] encode() {
        byte[] datagram = new byte[HEADER_BYTES + RECORD_BYTES * records.size()];
        datagram[0] = FORMAT;
        WireBytes.writeShort(datagram, BALANCER_COUNT_OFFSET, balancerCount);
        int offset = WireBytes.writeByte(datagram, RECORD_COUNT_OFFSET, records.size());
        for (BlockRecord blockRecord : records) {
            long ageUnits =
                    (Math.max(0, blockRecord.ageMicros) + AGE_UNIT_MICROS - 1) / AGE_UNIT_MICROS;
            offset = WireBytes.writeByte(datagram, offset, blockRecord.block);
            offset =
                    WireBytes.writeByte(
                            datagram,
                            offset,
                            (int) Math.min(WireBytes.MAX_UNSIGNED_BYTE, ageUnits));
            offset = WireBytes.writeByte(datagram, offset, blockRecord.presentCount);
            offset =
                    WireBytes.writeShort(
                            datagram, offset, encodeRate(blockRecord.requestsPerSecond));
        }
        return datagram;
    }

    /**
     * Decodes a datagram. Returns empty if it has another format, is damaged, comes from a fleet of
     * another size, or contains a record that is impossible in {@code partition}.
     */
    static Optional<FleetLoadMessage> decode(byte[] datagram, BlockPartition partition) {
        if (datagram.length < HEADER_BYTES || !hasFormat(datagram)) {
            return Optional.empty();
        }
        int balancerCount = WireBytes.readUnsignedShort(datagram, BALANCER_COUNT_OFFSET);
        int recordCount = WireBytes.readUnsignedByte(datagram, RECORD_COUNT_OFFSET);
        if (balancerCount != partition.balancerCount()
                || datagram.length != HEADER_BYTES + RECORD_BYTES * recordCount
                || recordCount > MAX_RECORDS) {
            return Optional.empty();
        }
        List<BlockRecord> records = new ArrayList<>(recordCount);
        for (int offset = HEADER_BYTES; offset < datagram.length; offset += RECORD_BYTES) {
            BlockRecord blockRecord = readRecord(datagram, offset);
            if (blockRecord.block >= partition.blockCount()
                    || blockRecord.presentCount > partition.blockSize(blockRecord.block)) {
                return Optional.empty();
            }
            records.add(blockRecord);
        }
        return Optional.of(new FleetLoadMessage(balancerCount, records));
    }

    private static BlockRecord readRecord(byte[] datagram, int offset) {
        return new BlockRecord(
                WireBytes.readUnsignedByte(datagram, offset),
                WireBytes.readUnsignedByte(datagram, offset + 1) * AGE_UNIT_MICROS,
                WireBytes.readUnsignedByte(datagram, offset + 2),
                decodeRate(WireBytes.readUnsignedShort(datagram, offset + 3)));
    }

    static int encodeRate(int requestsPerSecond) {
        int exponent = 0;
        int mantissa = Math.max(0, requestsPerSecond);
        while (mantissa > MAX_MANTISSA && exponent < MAX_EXPONENT) {
            mantissa >>= 1;
            exponent++;
        }
        return (exponent << MANTISSA_BITS) | Math.min(MAX_MANTISSA, mantissa);
    }

    static int decodeRate(int encodedRate) {
        return (encodedRate & MAX_MANTISSA) << (encodedRate >> MANTISSA_BITS);
    }
}

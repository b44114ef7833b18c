package loadbalancer.routing.gossip;

/** Reads and writes big-endian unsigned integers of one or two bytes in datagrams. Stateless. */
final class WireBytes {
    static final int MAX_UNSIGNED_BYTE = 0xff;
    static final int MAX_UNSIGNED_SHORT = 0xffff;

    private WireBytes() {}

    static int readUnsignedByte(byte[] data, int offset) {
        return data[offset] & 0xff;
    }

    static int readUnsignedShort(byte[] data, int offset) {
        return ((data[offset] & 0xff) << 8) | (data[offset + 1] & 0xff);
    }

    /** Writes the low 8 bits of {@code value} and returns the offset after them. */
    static int writeByte(byte[] data, int offset, int value) {
        data[offset] = (byte) value;
        return offset + 1;
    }

    /** Writes the low 16 bits of {@code value} and returns the offset after them. */
    static int writeShort(byte[] data, int offset, int value) {
        data[offset] = (byte) (value >> 8);
        data[offset + 1] = (byte) value;
        return offset + 2;
    }
}

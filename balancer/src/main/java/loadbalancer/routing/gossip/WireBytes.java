package loadbalancer.routing.gossip;

/** Unsigned integers in the datagrams of this package: big-endian, one or two bytes. */
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

    /** Writes the low 8 bits of {@code value}; returns the offset behind them. */
    static int writeByte(byte[] data, int offset, int value) {
        data[offset] = (byte) value;
        return offset + 1;
    }

    /** Writes the low 16 bits of {@code value}; returns the offset behind them. */
    static int writeShort(byte[] data, int offset, int value) {
        data[offset] = (byte) (value >> 8);
        data[offset + 1] = (byte) value;
        return offset + 2;
    }
}

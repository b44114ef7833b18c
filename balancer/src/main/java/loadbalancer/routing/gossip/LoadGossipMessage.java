package loadbalancer.routing.gossip;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;

/**
 * One datagram between balancers, as values: how it is written and read. What is told and what to
 * make of it is the module's. Servers go by {@link #endpointCode}; two of a large fleet may share
 * one.
 *
 * <p>Six bytes: the format, the sender's zone, the requests a second that it gets (two bytes), how
 * many queues and how many rests follow. Each queue takes two bytes, 13 bits of code and 3 of its
 * length; each rest four, the code, the class and the tenths of a second left of it; the remaining
 * bytes are codes, two bytes each, of servers that the sender can't connect to.
 *
 * @param zone of the sender, 0 to 255
 * @param requestsPerSecond requests a second that the sender gets, 0 to 65535
 */
public record LoadGossipMessage(
        int zone,
        int requestsPerSecond,
        List<InFlightEntry> inFlightEntries,
        List<EjectionEntry> ejectionEntries,
        List<Integer> unreachableCodes) {
    static final int MAX_BYTES = 256;
    static final int MAX_EJECTION_ENTRIES = 16;
    static final int MAX_UNREACHABLE_CODES = 40;
    static final int ENDPOINT_CODE_COUNT = 1 << 13;

    private static final int FORMAT = 3;
    private static final int HEADER_BYTES = 6;
    private static final int IN_FLIGHT_BITS = 3;
    private static final int MAX_IN_FLIGHT = (1 << IN_FLIGHT_BITS) - 1;
    // µs
    private static final long EJECTION_UNIT_MICROS = 100_000;

    /** Attempts that the sender has out at a server; more than seven are told as seven. */
    record InFlightEntry(int endpointCode, int inFlight) {}

    /** A class that the sender has found a server to fail, for {@code remainingMicros} µs more. */
    record EjectionEntry(int endpointCode, int classIndex, long remainingMicros) {}

    public LoadGossipMessage {
        inFlightEntries = List.copyOf(inFlightEntries);
        ejectionEntries = List.copyOf(ejectionEntries);
        unreachableCodes = List.copyOf(unreachableCodes);
        if (ejectionEntries.size() > MAX_EJECTION_ENTRIES
                || unreachableCodes.size() > MAX_UNREACHABLE_CODES
                || inFlightEntries.size()
                        > maxInFlightEntries(
                                MAX_BYTES, ejectionEntries.size(), unreachableCodes.size())) {
            throw new IllegalArgumentException("more than fits in " + MAX_BYTES + " bytes");
        }
    }

    /** How many queues fit in so many bytes beside so many rests and lost servers. */
    static int maxInFlightEntries(int bytes, int ejectionCount, int unreachableCount) {
        return (bytes - HEADER_BYTES - 4 * ejectionCount - 2 * unreachableCount) / 2;
    }

    /** What stands for the server whose id has this hash. */
    public static int endpointCode(long hash) {
        return (int) (hash & ENDPOINT_CODE_COUNT - 1);
    }

    public byte[] encode() {
        byte[] datagram = new byte[MAX_BYTES];
        datagram[0] = FORMAT;
        datagram[1] = (byte) zone;
        writeUnsignedShort(datagram, 2, Math.max(0, Math.min(0xffff, requestsPerSecond)));
        datagram[4] = (byte) inFlightEntries.size();
        datagram[5] = (byte) ejectionEntries.size();
        int offset = HEADER_BYTES;
        for (InFlightEntry entry : inFlightEntries) {
            offset =
                    writeUnsignedShort(
                            datagram,
                            offset,
                            entry.endpointCode << IN_FLIGHT_BITS
                                    | Math.min(MAX_IN_FLIGHT, entry.inFlight));
        }
        for (EjectionEntry ejection : ejectionEntries) {
            offset = writeUnsignedShort(datagram, offset, ejection.endpointCode);
            datagram[offset++] = (byte) ejection.classIndex;
            datagram[offset++] =
                    (byte) Math.min(255, ejection.remainingMicros / EJECTION_UNIT_MICROS);
        }
        for (int code : unreachableCodes) {
            offset = writeUnsignedShort(datagram, offset, code);
        }
        return Arrays.copyOf(datagram, offset);
    }

    /** The message of these bytes, or null where they are none: another format, or damaged. */
    static LoadGossipMessage decode(byte[] datagram) {
        if (datagram.length < HEADER_BYTES
                || datagram.length > MAX_BYTES
                || datagram[0] != FORMAT) {
            return null;
        }
        int ejectionsOffset = HEADER_BYTES + 2 * (datagram[4] & 255);
        int unreachableOffset = ejectionsOffset + 4 * (datagram[5] & 255);
        int unreachableBytes = datagram.length - unreachableOffset;
        if (unreachableBytes < 0
                || unreachableBytes % 2 != 0
                || unreachableBytes > 2 * MAX_UNREACHABLE_CODES
                || (datagram[5] & 255) > MAX_EJECTION_ENTRIES) {
            return null;
        }
        List<InFlightEntry> inFlightEntries = new ArrayList<>();
        for (int offset = HEADER_BYTES; offset < ejectionsOffset; offset += 2) {
            inFlightEntries.add(
                    new InFlightEntry(
                            readUnsignedShort(datagram, offset) >> IN_FLIGHT_BITS,
                            readUnsignedShort(datagram, offset) & MAX_IN_FLIGHT));
        }
        List<EjectionEntry> ejectionEntries = new ArrayList<>();
        for (int offset = ejectionsOffset; offset < unreachableOffset; offset += 4) {
            ejectionEntries.add(
                    new EjectionEntry(
                            readUnsignedShort(datagram, offset),
                            datagram[offset + 2] & 255,
                            (datagram[offset + 3] & 255) * EJECTION_UNIT_MICROS));
        }
        List<Integer> unreachableCodes = new ArrayList<>();
        for (int offset = unreachableOffset; offset < datagram.length; offset += 2) {
            unreachableCodes.add(readUnsignedShort(datagram, offset));
        }
        return new LoadGossipMessage(
                datagram[1] & 255,
                readUnsignedShort(datagram, 2),
                inFlightEntries,
                ejectionEntries,
                unreachableCodes);
    }

    private static int writeUnsignedShort(byte[] datagram, int offset, int value) {
        datagram[offset] = (byte) (value >> 8);
        datagram[offset + 1] = (byte) value;
        return offset + 2;
    }

    private static int readUnsignedShort(byte[] datagram, int offset) {
        return (datagram[offset] & 255) << 8 | datagram[offset + 1] & 255;
    }
}

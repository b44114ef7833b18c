package loadbalancer.routing.gossip;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Optional;

/**
 * Load report of one balancer, and its encoding as a datagram of format 3. Immutable.
 *
 * <p>Endpoints are identified by {@link #endpointCode}, which is 13 bits of the hash of their id.
 * In a large fleet two endpoints may share a code.
 *
 * <p>Layout, integers big-endian:
 *
 * <pre>
 * header, 6 bytes:        format, zone, requests per second (2), in-flight count, ejection count
 * in-flight entry, 2:     endpoint code (13 bits), attempts in flight (3 bits, 7 means 7 or more)
 * ejection entry, 4:      endpoint code (2), class index, remaining time in units of 100 ms
 * unreachable entry, 2:   endpoint code (2), up to the end of the datagram
 * </pre>
 *
 * @param zone zone of the sender, 0 to 255
 * @param requestsPerSecond requests per second that the sender receives, encoded as 0 to 65535
 * @param inFlightEntries attempts of the sender in flight, by endpoint
 * @param ejectionEntries request classes for which the sender has ejected an endpoint
 * @param unreachableCodes codes of the endpoints to which the sender can't connect
 */
public record LoadGossipMessage(
        int zone,
        int requestsPerSecond,
        List<InFlightEntry> inFlightEntries,
        List<EjectionEntry> ejectionEntries,
        List<Integer> unreachableCodes) {
    static final int FORMAT = 3;
    static final int MAX_BYTES = 256;
    static final int MAX_EJECTION_ENTRIES = 16;
    static final int MAX_UNREACHABLE_CODES = 40;
    static final int ENDPOINT_CODE_COUNT = 1 << 13;

    private static final int ZONE_OFFSET = 1;
    private static final int RATE_OFFSET = 2;
    private static final int IN_FLIGHT_COUNT_OFFSET = 4;
    private static final int EJECTION_COUNT_OFFSET = 5;
    private static final int HEADER_BYTES = 6;
    private static final int IN_FLIGHT_ENTRY_BYTES = 2;
    private static final int EJECTION_ENTRY_BYTES = 4;
    private static final int UNREACHABLE_ENTRY_BYTES = 2;
    private static final int IN_FLIGHT_BITS = 3;
    private static final int MAX_IN_FLIGHT = (1 << IN_FLIGHT_BITS) - 1;
    private static final long EJECTION_UNIT_MICROS = 100_000;

    /** The sender's attempts in flight at an endpoint. Values above 7 are encoded as 7. */
    record InFlightEntry(int endpointCode, int inFlight) {}

    /**
     * A request class for which the sender has ejected an endpoint, and the remaining time in µs.
     */
    record EjectionEntry(int endpointCode, int classIndex, long remainingMicros) {}

    /**
     * Copies the lists and checks their sizes.
     *
     * @throws GossipMessageSizeException if the entries don't fit in {@link #MAX_BYTES}
     */
    public LoadGossipMessage {
        inFlightEntries = List.copyOf(inFlightEntries);
        ejectionEntries = List.copyOf(ejectionEntries);
        unreachableCodes = List.copyOf(unreachableCodes);
        if (ejectionEntries.size() > MAX_EJECTION_ENTRIES
                || unreachableCodes.size() > MAX_UNREACHABLE_CODES
                || inFlightEntries.size()
                        > maxInFlightEntries(
                                MAX_BYTES, ejectionEntries.size(), unreachableCodes.size())) {
            throw new GossipMessageSizeException(
                    inFlightEntries.size(), ejectionEntries.size(), unreachableCodes.size());
        }
    }

    /** Returns the number of in-flight entries that fit in {@code bytes} with the other entries. */
    static int maxInFlightEntries(int bytes, int ejectionCount, int unreachableCount) {
        int otherBytes =
                HEADER_BYTES
                        + EJECTION_ENTRY_BYTES * ejectionCount
                        + UNREACHABLE_ENTRY_BYTES * unreachableCount;
        return (bytes - otherBytes) / IN_FLIGHT_ENTRY_BYTES;
    }

    /** Returns the code of the endpoint whose id has the hash {@code idHash}. */
    public static int endpointCode(long idHash) {
        return (int) (idHash & (ENDPOINT_CODE_COUNT - 1));
    }

    /** Encodes this message. Values out of a field's range are clamped to it. */
    public byte[] encode() {
        byte[] datagram = new byte[MAX_BYTES];
        datagram[0] = FORMAT;
        WireBytes.writeByte(datagram, ZONE_OFFSET, zone);
        int encodedRate = Math.max(0, Math.min(WireBytes.MAX_UNSIGNED_SHORT, requestsPerSecond));
        WireBytes.writeShort(datagram, RATE_OFFSET, encodedRate);
        WireBytes.writeByte(datagram, IN_FLIGHT_COUNT_OFFSET, inFlightEntries.size());
        WireBytes.writeByte(datagram, EJECTION_COUNT_OFFSET, ejectionEntries.size());
        int offset = HEADER_BYTES;
        for (InFlightEntry entry : inFlightEntries) {
            offset = write(datagram, offset, entry);
        }
        for (EjectionEntry entry : ejectionEntries) {
            offset = write(datagram, offset, entry);
        }
        for (int code : unreachableCodes) {
            offset = WireBytes.writeShort(datagram, offset, code);
        }
        return Arrays.copyOf(datagram, offset);
    }

    private static int write(byte[] datagram, int offset, InFlightEntry entry) {
        int inFlight = Math.min(MAX_IN_FLIGHT, entry.inFlight);
        return WireBytes.writeShort(
                datagram, offset, (entry.endpointCode << IN_FLIGHT_BITS) | inFlight);
    }

    private static int write(byte[] datagram, int offset, EjectionEntry entry) {
        long remainingUnits =
                Math.min(WireBytes.MAX_UNSIGNED_BYTE, entry.remainingMicros / EJECTION_UNIT_MICROS);
        int classOffset = WireBytes.writeShort(datagram, offset, entry.endpointCode);
        int unitsOffset = WireBytes.writeByte(datagram, classOffset, entry.classIndex);
        return WireBytes.writeByte(datagram, unitsOffset, (int) remainingUnits);
    }

    /** Decodes a datagram. Returns empty if it has another format or is damaged. */
    static Optional<LoadGossipMessage> decode(byte[] datagram) {
        if (datagram.length < HEADER_BYTES
                || datagram.length > MAX_BYTES
                || datagram[0] != FORMAT) {
            return Optional.empty();
        }
        int ejectionCount = WireBytes.readUnsignedByte(datagram, EJECTION_COUNT_OFFSET);
        int ejectionsOffset =
                HEADER_BYTES
                        + IN_FLIGHT_ENTRY_BYTES
                                * WireBytes.readUnsignedByte(datagram, IN_FLIGHT_COUNT_OFFSET);
        int unreachableOffset = ejectionsOffset + EJECTION_ENTRY_BYTES * ejectionCount;
        int unreachableBytes = datagram.length - unreachableOffset;
        if (unreachableBytes < 0
                || unreachableBytes % UNREACHABLE_ENTRY_BYTES != 0
                || unreachableBytes > UNREACHABLE_ENTRY_BYTES * MAX_UNREACHABLE_CODES
                || ejectionCount > MAX_EJECTION_ENTRIES) {
            return Optional.empty();
        }
        return Optional.of(
                new LoadGossipMessage(
                        WireBytes.readUnsignedByte(datagram, ZONE_OFFSET),
                        WireBytes.readUnsignedShort(datagram, RATE_OFFSET),
                        readInFlightEntries(datagram, ejectionsOffset),
                        readEjectionEntries(datagram, ejectionsOffset, unreachableOffset),
                        readUnreachableCodes(datagram, unreachableOffset)));
    }

    private static List<InFlightEntry> readInFlightEntries(byte[] datagram, int endOffset) {
        List<InFlightEntry> entries = new ArrayList<>();
        for (int offset = HEADER_BYTES; offset < endOffset; offset += IN_FLIGHT_ENTRY_BYTES) {
            int encodedEntry = WireBytes.readUnsignedShort(datagram, offset);
            entries.add(
                    new InFlightEntry(
                            encodedEntry >> IN_FLIGHT_BITS, encodedEntry & MAX_IN_FLIGHT));
        }
        return entries;
    }

    private static List<EjectionEntry> readEjectionEntries(
            byte[] datagram, int startOffset, int endOffset) {
        List<EjectionEntry> entries = new ArrayList<>();
        for (int offset = startOffset; offset < endOffset; offset += EJECTION_ENTRY_BYTES) {
            entries.add(
                    new EjectionEntry(
                            WireBytes.readUnsignedShort(datagram, offset),
                            WireBytes.readUnsignedByte(datagram, offset + 2),
                            WireBytes.readUnsignedByte(datagram, offset + 3)
                                    * EJECTION_UNIT_MICROS));
        }
        return entries;
    }

    private static List<Integer> readUnreachableCodes(byte[] datagram, int startOffset) {
        List<Integer> codes = new ArrayList<>();
        for (int offset = startOffset;
                offset < datagram.length;
                offset += UNREACHABLE_ENTRY_BYTES) {
            codes.add(WireBytes.readUnsignedShort(datagram, offset));
        }
        return codes;
    }
}

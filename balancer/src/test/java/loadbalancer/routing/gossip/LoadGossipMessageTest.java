package loadbalancer.routing.gossip;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.util.Arrays;
import java.util.Collections;
import java.util.List;
import java.util.SplittableRandom;
import org.junit.jupiter.api.Test;

/** A datagram's bytes: whole, full, cut short and of chance. */
class LoadGossipMessageTest {
    private static final LoadGossipMessage.EjectionEntry EJECTION =
            new LoadGossipMessage.EjectionEntry(8191, 3, 1_500_000);

    @Test
    void encodedMessageDecodesUnchanged() {
        LoadGossipMessage message =
                new LoadGossipMessage(
                        1,
                        65_535,
                        List.of(
                                new LoadGossipMessage.InFlightEntry(8191, 7),
                                new LoadGossipMessage.InFlightEntry(0, 1)),
                        List.of(EJECTION),
                        List.of(5, 8191));
        assertEquals(message, LoadGossipMessage.decode(message.encode()));
    }

    @Test
    void valuesBeyondTheirBitsAreClamped() {
        LoadGossipMessage decoded =
                LoadGossipMessage.decode(
                        new LoadGossipMessage(
                                        0,
                                        70_000,
                                        List.of(new LoadGossipMessage.InFlightEntry(1, 900)),
                                        List.of(
                                                new LoadGossipMessage.EjectionEntry(
                                                        1, 0, 60_000_000)),
                                        List.of())
                                .encode());
        assertEquals(65_535, decoded.requestsPerSecond());
        assertEquals(7, decoded.inFlightEntries().get(0).inFlight());
        assertEquals(25_500_000, decoded.ejectionEntries().get(0).remainingMicros());
    }

    @Test
    void fullMessageFitsAndOneMoreEntryIsRejected() {
        List<LoadGossipMessage.EjectionEntry> ejections =
                Collections.nCopies(LoadGossipMessage.MAX_EJECTION_ENTRIES, EJECTION);
        List<Integer> unreachableCodes =
                Collections.nCopies(LoadGossipMessage.MAX_UNREACHABLE_CODES, 9);
        int maxLoads =
                LoadGossipMessage.maxInFlightEntries(
                        LoadGossipMessage.MAX_BYTES, ejections.size(), unreachableCodes.size());
        LoadGossipMessage fullMessage =
                new LoadGossipMessage(
                        0,
                        1,
                        Collections.nCopies(maxLoads, new LoadGossipMessage.InFlightEntry(1, 1)),
                        ejections,
                        unreachableCodes);
        assertEquals(LoadGossipMessage.MAX_BYTES, fullMessage.encode().length);
        assertEquals(fullMessage, LoadGossipMessage.decode(fullMessage.encode()));
        List<LoadGossipMessage.InFlightEntry> tooManyLoads =
                Collections.nCopies(maxLoads + 1, new LoadGossipMessage.InFlightEntry(1, 1));
        assertThrows(
                IllegalArgumentException.class,
                () -> new LoadGossipMessage(0, 1, tooManyLoads, ejections, unreachableCodes));
    }

    @Test
    void truncatedOrForeignFormatIsNotDecoded() {
        byte[] encoded =
                new LoadGossipMessage(
                                0,
                                1,
                                List.of(new LoadGossipMessage.InFlightEntry(1, 1)),
                                List.of(EJECTION),
                                List.of())
                        .encode();
        assertNotNull(LoadGossipMessage.decode(encoded));
        for (int length = 0; length < encoded.length; length++) {
            assertNull(LoadGossipMessage.decode(Arrays.copyOf(encoded, length)), length + " bytes");
        }
        encoded[0]++;
        assertNull(LoadGossipMessage.decode(encoded));
        assertNull(LoadGossipMessage.decode(new byte[LoadGossipMessage.MAX_BYTES + 1]));
    }

    @Test
    void decodedRandomBytesReencodeEqually() {
        SplittableRandom random = new SplittableRandom(3);
        int decodedCount = 0;
        for (int i = 0; i < 100_000; i++) {
            byte[] bytes = new byte[random.nextInt(40)];
            random.nextBytes(bytes);
            if (bytes.length > 5) {
                bytes[0] = 3;
                bytes[4] &= 7;
                bytes[5] &= 3;
            }
            LoadGossipMessage message = LoadGossipMessage.decode(bytes);
            if (message != null) {
                decodedCount++;
                assertEquals(message, LoadGossipMessage.decode(message.encode()));
            }
        }
        assertEquals(true, decodedCount > 1_000, decodedCount + " were messages");
    }
}

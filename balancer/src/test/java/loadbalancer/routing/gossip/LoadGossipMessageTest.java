package loadbalancer.routing.gossip;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.Arrays;
import java.util.Collections;
import java.util.List;
import java.util.Optional;
import java.util.SplittableRandom;
import org.junit.jupiter.api.Test;

/** Tests the encoding and decoding of {@link LoadGossipMessage}. */
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
        assertEquals(Optional.of(message), LoadGossipMessage.decode(message.encode()));
    }

    @Test
    void valuesOutOfRangeAreClamped() {
        LoadGossipMessage decoded =
                LoadGossipMessage.decode(
                                new LoadGossipMessage(
                                                0,
                                                70_000,
                                                List.of(
                                                        new LoadGossipMessage.InFlightEntry(
                                                                1, 900)),
                                                List.of(
                                                        new LoadGossipMessage.EjectionEntry(
                                                                1, 0, 60_000_000)),
                                                List.of())
                                        .encode())
                        .orElseThrow();
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
        int maxInFlightEntries =
                LoadGossipMessage.maxInFlightEntries(
                        LoadGossipMessage.MAX_BYTES, ejections.size(), unreachableCodes.size());
        LoadGossipMessage fullMessage =
                new LoadGossipMessage(
                        0,
                        1,
                        Collections.nCopies(
                                maxInFlightEntries, new LoadGossipMessage.InFlightEntry(1, 1)),
                        ejections,
                        unreachableCodes);
        assertEquals(LoadGossipMessage.MAX_BYTES, fullMessage.encode().length);
        assertEquals(Optional.of(fullMessage), LoadGossipMessage.decode(fullMessage.encode()));
        List<LoadGossipMessage.InFlightEntry> tooManyEntries =
                Collections.nCopies(
                        maxInFlightEntries + 1, new LoadGossipMessage.InFlightEntry(1, 1));
        assertThrows(
                GossipMessageSizeException.class,
                () -> new LoadGossipMessage(0, 1, tooManyEntries, ejections, unreachableCodes));
    }

    @Test
    void truncatedOrUnknownFormatIsNotDecoded() {
        byte[] encoded =
                new LoadGossipMessage(
                                0,
                                1,
                                List.of(new LoadGossipMessage.InFlightEntry(1, 1)),
                                List.of(EJECTION),
                                List.of())
                        .encode();
        assertTrue(LoadGossipMessage.decode(encoded).isPresent());
        for (int length = 0; length < encoded.length; length++) {
            assertEquals(
                    Optional.empty(),
                    LoadGossipMessage.decode(Arrays.copyOf(encoded, length)),
                    length + " bytes");
        }
        encoded[0]++;
        assertEquals(Optional.empty(), LoadGossipMessage.decode(encoded));
        assertEquals(
                Optional.empty(),
                LoadGossipMessage.decode(new byte[LoadGossipMessage.MAX_BYTES + 1]));
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
            Optional<LoadGossipMessage> message = LoadGossipMessage.decode(bytes);
            if (message.isPresent()) {
                decodedCount++;
                assertEquals(message, LoadGossipMessage.decode(message.get().encode()));
            }
        }
        assertTrue(decodedCount > 1_000, decodedCount + " decoded");
    }
}

package junctionhead;

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
class PeerMessageTest {
    private static final PeerMessage.Rest REST = new PeerMessage.Rest(8191, 3, 1_500_000);

    @Test
    void whatIsWrittenIsRead() {
        PeerMessage message =
                new PeerMessage(
                        1,
                        65_535,
                        List.of(new PeerMessage.Queue(8191, 7), new PeerMessage.Queue(0, 1)),
                        List.of(REST),
                        List.of(5, 8191));
        assertEquals(message, PeerMessage.decode(message.encode()));
    }

    @Test
    void whatIsTooMuchForItsBitsIsToldAsTheMost() {
        PeerMessage read =
                PeerMessage.decode(
                        new PeerMessage(
                                        0,
                                        70_000,
                                        List.of(new PeerMessage.Queue(1, 900)),
                                        List.of(new PeerMessage.Rest(1, 0, 60_000_000)),
                                        List.of())
                                .encode());
        assertEquals(65_535, read.rate());
        assertEquals(7, read.queues().get(0).count());
        assertEquals(25_500_000, read.rests().get(0).left());
    }

    @Test
    void aFullOneHasItsBytesAndOneMoreEntryIsAnError() {
        List<PeerMessage.Rest> rests = Collections.nCopies(PeerMessage.RESTS_MOST, REST);
        List<Integer> lost = Collections.nCopies(PeerMessage.LOST_MOST, 9);
        int room = PeerMessage.queuesMost(PeerMessage.BYTES_MOST, rests.size(), lost.size());
        PeerMessage full =
                new PeerMessage(
                        0, 1, Collections.nCopies(room, new PeerMessage.Queue(1, 1)), rests, lost);
        assertEquals(PeerMessage.BYTES_MOST, full.encode().length);
        assertEquals(full, PeerMessage.decode(full.encode()));
        List<PeerMessage.Queue> queues = Collections.nCopies(room + 1, new PeerMessage.Queue(1, 1));
        assertThrows(
                IllegalArgumentException.class, () -> new PeerMessage(0, 1, queues, rests, lost));
    }

    @Test
    void oneThatIsCutShortOrOfAnotherFormatIsNone() {
        byte[] whole =
                new PeerMessage(
                                0,
                                1,
                                List.of(new PeerMessage.Queue(1, 1)),
                                List.of(REST),
                                List.of())
                        .encode();
        assertNotNull(PeerMessage.decode(whole));
        for (int length = 0; length < whole.length; length++) {
            assertNull(PeerMessage.decode(Arrays.copyOf(whole, length)), length + " bytes");
        }
        whole[0]++;
        assertNull(PeerMessage.decode(whole));
        assertNull(PeerMessage.decode(new byte[PeerMessage.BYTES_MOST + 1]));
    }

    @Test
    void anyBytesAreAMessageThatCanBeWrittenAgainOrNone() {
        SplittableRandom random = new SplittableRandom(3);
        int read = 0;
        for (int i = 0; i < 100_000; i++) {
            byte[] text = new byte[random.nextInt(40)];
            random.nextBytes(text);
            if (text.length > 5) {
                text[0] = 3;
                text[4] &= 7;
                text[5] &= 3;
            }
            PeerMessage message = PeerMessage.decode(text);
            if (message != null) {
                read++;
                assertEquals(message, PeerMessage.decode(message.encode()));
            }
        }
        assertEquals(true, read > 1_000, read + " were messages");
    }
}

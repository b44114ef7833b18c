package loadbalancer.lease;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.Arrays;
import java.util.List;
import java.util.Optional;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;

class LeaseMessageTest {
    private static LeaseMessage largestMessage() {
        List<LeaseMessage.Entry> maxEntries =
                IntStream.range(0, LeaseMessage.MAX_ENTRIES)
                        .mapToObj(i -> new LeaseMessage.Entry(i, LeaseMessage.MAX_EPOCH - i))
                        .toList();
        return new LeaseMessage(
                LeaseMessage.Kind.TRANSFER, LeaseMessage.PROCESS_ID_LIMIT - 1, -7, maxEntries);
    }

    private static LeaseMessage requestOf(List<LeaseMessage.Entry> entries) {
        return new LeaseMessage(LeaseMessage.Kind.REQUEST, 0, 0, entries);
    }

    @Test
    void largestMessageFitsADatagram() {
        LeaseMessage message = largestMessage();
        assertTrue(message.encode().length <= 256);
        assertEquals(Optional.of(message), LeaseMessage.decode(message.encode()));
    }

    @Test
    void tooManyEntriesAreRejected() {
        List<LeaseMessage.Entry> entries =
                IntStream.rangeClosed(0, LeaseMessage.MAX_ENTRIES)
                        .mapToObj(i -> new LeaseMessage.Entry(i, 0))
                        .toList();
        InvalidLeaseArgumentException thrown =
                assertThrows(InvalidLeaseArgumentException.class, () -> requestOf(entries));
        assertEquals(
                "lease message: number of entries is 36, must be at most 35", thrown.getMessage());
    }

    @Test
    void tooHighEpochIsRejected() {
        List<LeaseMessage.Entry> entries =
                List.of(new LeaseMessage.Entry(0, LeaseMessage.MAX_EPOCH + 1));
        assertThrows(InvalidLeaseArgumentException.class, () -> requestOf(entries));
    }

    @Test
    void truncatedMessageIsNotDecoded() {
        byte[] truncated = Arrays.copyOf(largestMessage().encode(), 20);
        assertEquals(Optional.empty(), LeaseMessage.decode(truncated));
        assertEquals(Optional.empty(), LeaseMessage.decode(new byte[0]));
    }
}

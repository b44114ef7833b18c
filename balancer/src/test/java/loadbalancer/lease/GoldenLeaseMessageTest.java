package loadbalancer.lease;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import loadbalancer.GoldenMessages;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;

/**
 * Compares lease datagrams with golden files byte for byte: each kind of message, with the minimum
 * and maximum value of each field.
 */
class GoldenLeaseMessageTest {
    private static final int MAX_PROCESS_ID = (1 << 15) - 1;
    private static final long MAX_EPOCH = (1L << 48) - 1;

    private static final GoldenMessages<LeaseMessage> GOLDEN =
            new GoldenMessages<>("lease", messages(), LeaseMessage::encode, LeaseMessage::decode);

    /** Returns the messages by the names of their golden files. */
    private static Map<String, LeaseMessage> messages() {
        Map<String, LeaseMessage> messages = new LinkedHashMap<>();
        messages.put(
                "pre-vote-least.hex",
                new LeaseMessage(LeaseMessage.Kind.PRE_VOTE, 0, 0, List.of()));
        messages.put(
                "pre-vote-granted-greatest.hex",
                new LeaseMessage(
                        LeaseMessage.Kind.PRE_VOTE_GRANTED,
                        MAX_PROCESS_ID,
                        Integer.MAX_VALUE,
                        List.of(new LeaseMessage.Entry(255, MAX_EPOCH))));
        messages.put(
                "request-most-entries.hex",
                new LeaseMessage(LeaseMessage.Kind.REQUEST, 258, -1, maxEntries()));
        messages.put(
                "granted.hex",
                new LeaseMessage(
                        LeaseMessage.Kind.GRANTED,
                        1,
                        Integer.MIN_VALUE,
                        List.of(new LeaseMessage.Entry(0, 0), new LeaseMessage.Entry(31, 1))));
        messages.put(
                "denied.hex",
                new LeaseMessage(
                        LeaseMessage.Kind.DENIED,
                        2,
                        1,
                        List.of(
                                new LeaseMessage.Entry(127, 1L << 31),
                                new LeaseMessage.Entry(128, 1L << 32))));
        messages.put(
                "release.hex",
                new LeaseMessage(
                        LeaseMessage.Kind.RELEASE,
                        255,
                        65_536,
                        List.of(new LeaseMessage.Entry(1, (1L << 32) - 1))));
        messages.put(
                "transfer.hex",
                new LeaseMessage(
                        LeaseMessage.Kind.TRANSFER,
                        256,
                        16_909_060,
                        List.of(new LeaseMessage.Entry(2, 1L << 47))));
        return messages;
    }

    private static List<LeaseMessage.Entry> maxEntries() {
        List<LeaseMessage.Entry> entries = new ArrayList<>();
        for (int i = 0; i < 35; i++) {
            entries.add(new LeaseMessage.Entry(i * 7, 1_000_003L * i * i));
        }
        return entries;
    }

    static List<String> names() {
        return GOLDEN.names();
    }

    @ParameterizedTest
    @MethodSource("names")
    void decodesGoldenBytes(String name) {
        GOLDEN.assertDecoded(name);
    }

    @ParameterizedTest
    @MethodSource("names")
    void encodesToGoldenBytes(String name) {
        GOLDEN.assertEncoded(name);
    }
}

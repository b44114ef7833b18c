package loadbalancer.membership;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import loadbalancer.GoldenMessages;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;

/**
 * Compares membership datagrams with golden files byte for byte: each kind of message, with the
 * minimum and maximum value of each field.
 */
class GoldenMembershipMessageTest {
    private static final int MAX_MEMBER = (1 << 14) - 1;
    private static final long MAX_INCARNATION = (1L << 48) - 1;
    private static final long RECENT_INCARNATION = 1_764_680_000_123L;

    private static final GoldenMessages<MembershipMessage> GOLDEN =
            new GoldenMessages<>(
                    "membership", messages(), MembershipMessage::encode, MembershipMessage::decode);

    /** Returns the messages by the names of their golden files. */
    private static Map<String, MembershipMessage> messages() {
        Map<String, MembershipMessage> messages = new LinkedHashMap<>();
        messages.put(
                "ping-least.hex",
                new MembershipMessage(MembershipMessage.Kind.PING, 0, 0, 0, List.of()));
        messages.put(
                "ack-greatest.hex",
                new MembershipMessage(
                        MembershipMessage.Kind.ACK,
                        MAX_MEMBER,
                        Integer.MAX_VALUE,
                        MAX_INCARNATION,
                        List.of(new MemberUpdate(MAX_MEMBER, MemberStatus.LEFT, MAX_INCARNATION))));
        messages.put(
                "ping-req-each-status.hex",
                new MembershipMessage(
                        MembershipMessage.Kind.PING_REQ,
                        258,
                        Integer.MIN_VALUE,
                        RECENT_INCARNATION,
                        List.of(
                                new MemberUpdate(0, MemberStatus.ALIVE, 0),
                                new MemberUpdate(1, MemberStatus.SUSPECTED, 1),
                                new MemberUpdate(255, MemberStatus.DEAD, RECENT_INCARNATION),
                                new MemberUpdate(256, MemberStatus.LEFT, 1L << 32))));
        messages.put(
                "gossip-most-updates.hex",
                new MembershipMessage(
                        MembershipMessage.Kind.GOSSIP, 13, -1, 1L << 47, maxUpdates()));
        return messages;
    }

    private static List<MemberUpdate> maxUpdates() {
        List<MemberUpdate> updates = new ArrayList<>();
        for (int i = 0; i < 30; i++) {
            updates.add(
                    new MemberUpdate(
                            i * 550, MemberStatus.values()[i % 4], RECENT_INCARNATION + i));
        }
        return updates;
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

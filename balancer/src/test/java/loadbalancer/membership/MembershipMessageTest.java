package loadbalancer.membership;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import loadbalancer.membership.MembershipMessage.Kind;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

class MembershipMessageTest {
    private static List<MemberUpdate> updates(int count) {
        List<MemberUpdate> updates = new ArrayList<>();
        for (int i = 0; i < count; i++) {
            updates.add(
                    new MemberUpdate(
                            MembershipMessage.MAX_MEMBERS - 1 - i,
                            MemberStatus.values()[i % 4],
                            (1L << 48) - 1 - i));
        }
        return updates;
    }

    @Test
    void messageRoundTripsThroughBytes() {
        MembershipMessage message =
                new MembershipMessage(
                        Kind.PING_REQ,
                        16_383,
                        -5,
                        1_796_166_793_089L,
                        updates(MembershipMessage.MAX_UPDATES));
        assertEquals(254, message.encode().length);
        assertEquals(Optional.of(message), MembershipMessage.decode(message.encode()));
    }

    @Test
    void tooManyUpdatesAreRejected() {
        List<MemberUpdate> updates = updates(MembershipMessage.MAX_UPDATES + 1);
        InvalidMembershipArgumentException thrown =
                assertThrows(
                        InvalidMembershipArgumentException.class,
                        () -> new MembershipMessage(Kind.GOSSIP, 0, 0, 0, updates));
        assertEquals(
                "membership message: number of updates is 31, must be at most 30",
                thrown.getMessage());
    }

    @ParameterizedTest
    @ValueSource(ints = {0, 1, 13, 15, 21, 23, 257})
    void invalidLengthIsNotDecoded(int length) {
        byte[] bytes = new byte[length];
        if (length > 0) {
            bytes[0] = 4;
        }
        assertEquals(Optional.empty(), MembershipMessage.decode(bytes));
    }
}

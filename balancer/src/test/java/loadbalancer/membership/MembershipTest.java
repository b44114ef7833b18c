package loadbalancer.membership;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.SplittableRandom;
import loadbalancer.membership.Membership.Send;
import loadbalancer.membership.MembershipMessage.Kind;
import org.junit.jupiter.api.Test;

/** Tests one member that runs {@link Membership}; the test simulates the other members. */
class MembershipTest {
    // First incarnation of all members.
    private static final long START_MS = 1_000;
    private static final MembershipTiming TIMING = MembershipTiming.DEFAULT;

    private final Membership member = new Membership(0, 5, TIMING, START_MS, 0);
    private final List<Send> sentMessages = new ArrayList<>();

    private void collect(List<Membership.Action> actions) {
        actions.stream()
                .filter(Send.class::isInstance)
                .map(Send.class::cast)
                .forEach(sentMessages::add);
    }

    private void runUntil(long untilMicros) {
        while (member.nextTickMicros() <= untilMicros) {
            collect(member.tick(member.nextTickMicros()));
        }
    }

    private void receive(long now, int sender, Kind kind, int sequence, MemberUpdate... updates) {
        collect(
                member.onPeerMessage(
                        now,
                        sender,
                        new MembershipMessage(kind, sender, sequence, START_MS, List.of(updates))));
    }

    private MemberStatus statusOf(int memberIndex) {
        return member.view().members().get(memberIndex).status();
    }

    // All others answer each ping, except the silent member, which is unreachable.
    private void runAnsweringPings(long until, int silentMember) {
        while (member.nextTickMicros() <= until) {
            runAnsweringPings(
                    member.nextTickMicros(), member.tick(member.nextTickMicros()), silentMember);
        }
    }

    private void runAnsweringPings(long now, List<Membership.Action> actions, int silentMember) {
        sentMessages.clear();
        collect(actions);
        for (Send send : List.copyOf(sentMessages)) {
            if (send.message().kind() == Kind.PING && send.to() != silentMember) {
                receive(now, send.to(), Kind.ACK, send.message().sequenceNumber());
            }
        }
    }

    @Test
    void silentMemberIsSuspectedThenDead() {
        // After 6 s, the startup time of all processes has passed.
        runAnsweringPings(6_000_000, -1);
        List<MemberStatus> statuses = new ArrayList<>();
        boolean indirectlyPinged = false;
        for (long now = 6_000_000;
                statusOf(3) != MemberStatus.DEAD && now < 9_000_000;
                now += 20_000) {
            runAnsweringPings(now, 3);
            indirectlyPinged |=
                    sentMessages.stream()
                            .anyMatch(
                                    send ->
                                            send.message().kind() == Kind.PING_REQ
                                                    && send.message().subject() == 3);
            if (statuses.isEmpty() || statuses.get(statuses.size() - 1) != statusOf(3)) {
                statuses.add(statusOf(3));
            }
        }
        assertEquals(
                List.of(MemberStatus.ALIVE, MemberStatus.SUSPECTED, MemberStatus.DEAD), statuses);
        assertTrue(indirectlyPinged, "no member was asked to ping member 3");
        assertEquals(4, member.view().presentCount());
        assertTrue(member.view().hasMajority());
    }

    @Test
    void suspectedMemberRefutesAtOnce() {
        receive(1_000, 1, Kind.PING, 7, new MemberUpdate(0, MemberStatus.SUSPECTED, START_MS));
        assertEquals(START_MS + 1, member.incarnation());
        Send reply = sentMessages.get(0);
        assertEquals(Kind.ACK, reply.message().kind());
        assertEquals(7, reply.message().sequenceNumber());
        assertEquals(START_MS + 1, reply.message().incarnation());
        assertTrue(
                reply.message()
                        .updates()
                        .contains(new MemberUpdate(0, MemberStatus.ALIVE, START_MS + 1)));
    }

    @Test
    void incarnationExceedsEarlierOnes() {
        receive(1_000, 1, Kind.GOSSIP, 0, new MemberUpdate(0, MemberStatus.ALIVE, START_MS + 500));
        assertEquals(START_MS + 501, member.incarnation());
        receive(2_000, 1, Kind.GOSSIP, 0, new MemberUpdate(0, MemberStatus.DEAD, START_MS));
        // The update is about an earlier process, so it is not refuted.
        assertEquals(START_MS + 501, member.incarnation());
    }

    @Test
    void olderUpdatesAreIgnored() {
        receive(1_000, 1, Kind.GOSSIP, 0, new MemberUpdate(2, MemberStatus.LEFT, START_MS));
        assertEquals(MemberStatus.LEFT, statusOf(2));
        receive(
                2_000,
                1,
                Kind.GOSSIP,
                0,
                new MemberUpdate(2, MemberStatus.ALIVE, START_MS),
                new MemberUpdate(2, MemberStatus.DEAD, START_MS - 1));
        assertEquals(MemberStatus.LEFT, statusOf(2));
        // Member 2 sent this datagram before it left.
        receive(3_000, 2, Kind.PING, 1);
        assertEquals(MemberStatus.LEFT, statusOf(2));
        receive(4_000, 1, Kind.GOSSIP, 0, new MemberUpdate(2, MemberStatus.ALIVE, START_MS + 1));
        assertEquals(MemberStatus.ALIVE, statusOf(2));
    }

    @Test
    void leavingMemberAnnouncesOnceAndStops() {
        collect(member.leave(1_000));
        assertEquals(3, sentMessages.size());
        assertTrue(
                sentMessages.stream()
                        .allMatch(
                                send ->
                                        send.message()
                                                .updates()
                                                .contains(
                                                        new MemberUpdate(
                                                                0, MemberStatus.LEFT, START_MS))));
        sentMessages.clear();
        collect(member.tick(9_000_000));
        receive(9_000_000, 1, Kind.PING, 1);
        assertEquals(List.of(), sentMessages);
    }

    @Test
    void pausedMemberSuspectsNobody() {
        runAnsweringPings(6_000_000, -1);
        // A probe is under way.
        runUntil(6_100_000);
        long resumedAt = 16_000_000;
        runAnsweringPings(resumedAt, member.tick(resumedAt), -1);
        assertEquals(5, member.view().presentCount());
        runAnsweringPings(resumedAt + 2_000_000, -1);
        assertEquals(5, member.view().presentCount());
    }

    @Test
    void indirectPingIsRelayedBothWays() {
        collect(
                member.onPeerMessage(
                        1_000,
                        1,
                        new MembershipMessage(Kind.PING_REQ, 3, 77, START_MS, List.of())));
        Send ping =
                sentMessages.stream()
                        .filter(send -> send.message().kind() == Kind.PING)
                        .findFirst()
                        .orElseThrow();
        assertEquals(3, ping.to());
        sentMessages.clear();
        receive(50_000, 3, Kind.ACK, ping.message().sequenceNumber());
        Send relayedAck = sentMessages.get(0);
        assertEquals(
                List.of(1, 3, 77),
                List.of(
                        relayedAck.to(),
                        relayedAck.message().subject(),
                        relayedAck.message().sequenceNumber()));
        sentMessages.clear();
        // A repeated answer is not relayed again.
        receive(60_000, 3, Kind.ACK, ping.message().sequenceNumber());
        assertEquals(List.of(), sentMessages);
    }

    @Test
    void indirectPingsAreBounded() {
        for (int i = 0; i < 1_000; i++) {
            collect(
                    member.onPeerMessage(
                            1_000,
                            1,
                            new MembershipMessage(Kind.PING_REQ, 3, i, START_MS, List.of())));
        }
        assertEquals(
                64,
                sentMessages.stream().filter(send -> send.message().kind() == Kind.PING).count());
    }

    @Test
    void unknownMembersAndFarFutureIncarnationsAreIgnored() {
        receive(1_000, 5, Kind.PING, 1);
        receive(1_000, 1, Kind.GOSSIP, 0, new MemberUpdate(9, MemberStatus.DEAD, START_MS));
        assertEquals(List.of(), sentMessages);
        // The incarnation is ahead of the clock by more than the limit of a day.
        receive(
                1_000,
                1,
                Kind.GOSSIP,
                0,
                new MemberUpdate(2, MemberStatus.DEAD, START_MS + 86_400_002));
        assertEquals(MemberStatus.ALIVE, statusOf(2));
        receive(
                1_000,
                1,
                Kind.GOSSIP,
                0,
                new MemberUpdate(2, MemberStatus.DEAD, START_MS + 86_400_000));
        assertEquals(MemberStatus.DEAD, statusOf(2));
    }

    @Test
    void minorityHasNoQuorum() {
        for (int deadMember = 2; deadMember < 5; deadMember++) {
            receive(
                    1_000,
                    1,
                    Kind.GOSSIP,
                    0,
                    new MemberUpdate(deadMember, MemberStatus.DEAD, START_MS));
        }
        assertEquals(2, member.view().presentCount());
        assertFalse(member.view().hasMajority());
    }

    /**
     * Checks that any bytes from a peer's address are handled or ignored, with at most two messages
     * sent for each message received.
     */
    @Test
    void randomBytesAreHandled() {
        SplittableRandom random = new SplittableRandom(11);
        byte[] valid =
                new MembershipMessage(
                                Kind.PING,
                                1,
                                3,
                                START_MS,
                                List.of(new MemberUpdate(2, MemberStatus.SUSPECTED, START_MS)))
                        .encode();
        int decodedCount = 0;
        for (int i = 0; i < 200_000; i++) {
            byte[] bytes = i % 2 == 0 ? valid.clone() : new byte[random.nextInt(257)];
            if (i % 2 == 0) {
                bytes[random.nextInt(bytes.length)] = (byte) random.nextInt();
            } else {
                random.nextBytes(bytes);
            }
            Optional<MembershipMessage> message = MembershipMessage.decode(bytes);
            if (message.isPresent()) {
                decodedCount++;
                sentMessages.clear();
                collect(member.onPeerMessage(i, 1 + i % 4, message.get()));
                assertTrue(sentMessages.size() <= 2, "more than two messages were sent");
            }
        }
        assertTrue(decodedCount > 50_000, decodedCount + " messages decoded");
        assertEquals(5, member.view().members().size());
    }
}

package junctionhead.membership;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import junctionhead.membership.Membership.Send;
import junctionhead.membership.Message.Kind;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

class MembershipTest {
    // ms, incarnation of all
    private static final long START = 1_000;
    private static final Timing T = Timing.USUAL;

    private final Membership member = new Membership(0, 5, T, START, 0);
    private final List<Send> sent = new ArrayList<>();

    private void take(List<Membership.Act> acts) {
        acts.stream().filter(Send.class::isInstance).map(Send.class::cast).forEach(sent::add);
    }

    private void until(long time) {
        while (member.next() <= time) {
            take(member.tick(member.next()));
        }
    }

    private void hear(long now, int from, Kind kind, int number, News... news) {
        take(member.heard(now, from, new Message(kind, from, number, START, List.of(news))));
    }

    private Status status(int of) {
        return member.view().members().get(of).status();
    }

    // All others answer whatever they are asked, but for the silent one, whom nobody reaches.
    private void answered(long until, int silent) {
        while (member.next() <= until) {
            answered(member.next(), member.tick(member.next()), silent);
        }
    }

    private void answered(long now, List<Membership.Act> acts, int silent) {
        sent.clear();
        take(acts);
        for (Send s : List.copyOf(sent)) {
            if (s.message().kind() == Kind.PING && s.to() != silent) {
                hear(now, s.to(), Kind.ACK, s.message().number());
            }
        }
    }

    @Test
    void oneWhoDoesNotAnswerIsAskedThroughOthersThenSuspectedThenDead() {
        // Nobody is young any longer
        answered(6_000_000, -1);
        List<Status> seen = new ArrayList<>();
        boolean helped = false;
        for (long now = 6_000_000; status(3) != Status.DEAD && now < 9_000_000; now += 20_000) {
            answered(now, 3);
            helped |=
                    sent.stream()
                            .anyMatch(
                                    s ->
                                            s.message().kind() == Kind.ASK
                                                    && s.message().subject() == 3);
            if (seen.isEmpty() || seen.get(seen.size() - 1) != status(3)) {
                seen.add(status(3));
            }
        }
        assertEquals(List.of(Status.ALIVE, Status.SUSPECTED, Status.DEAD), seen);
        assertTrue(helped, "others were asked to ask");
        assertEquals(4, member.view().present());
        assertTrue(member.view().withMost());
    }

    @Test
    void aMemberThatHearsThatItIsSuspectedSaysOtherwiseAtOnce() {
        hear(1_000, 1, Kind.PING, 7, new News(0, Status.SUSPECTED, START));
        assertEquals(START + 1, member.incarnation());
        Send answer = sent.get(0);
        assertEquals(Kind.ACK, answer.message().kind());
        assertEquals(7, answer.message().number());
        assertEquals(START + 1, answer.message().incarnation());
        assertTrue(answer.message().news().contains(new News(0, Status.ALIVE, START + 1)));
    }

    @Test
    void anIncarnationThatPeersKnowFromAnEarlierLifeIsPassed() {
        hear(1_000, 1, Kind.TELL, 0, new News(0, Status.ALIVE, START + 500));
        assertEquals(START + 501, member.incarnation());
        hear(2_000, 1, Kind.TELL, 0, new News(0, Status.DEAD, START));
        // Of a life that is over
        assertEquals(START + 501, member.incarnation());
    }

    @Test
    void olderNewsNeverWin() {
        hear(1_000, 1, Kind.TELL, 0, new News(2, Status.LEFT, START));
        assertEquals(Status.LEFT, status(2));
        hear(
                2_000,
                1,
                Kind.TELL,
                0,
                new News(2, Status.ALIVE, START),
                new News(2, Status.DEAD, START - 1));
        assertEquals(Status.LEFT, status(2));
        // A datagram of its, from before it left
        hear(3_000, 2, Kind.PING, 1);
        assertEquals(Status.LEFT, status(2));
        hear(4_000, 1, Kind.TELL, 0, new News(2, Status.ALIVE, START + 1));
        assertEquals(Status.ALIVE, status(2));
    }

    @Test
    void whoLeavesSaysSoAndNothingMore() {
        take(member.leave(1_000));
        assertEquals(3, sent.size());
        assertTrue(
                sent.stream()
                        .allMatch(
                                s -> s.message().news().contains(new News(0, Status.LEFT, START))));
        sent.clear();
        take(member.tick(9_000_000));
        hear(9_000_000, 1, Kind.PING, 1);
        assertEquals(List.of(), sent);
    }

    @Test
    void whoStoodStillBlamesNobodyForIt() {
        answered(6_000_000, -1);
        // Somebody is being asked
        until(6_100_000);
        long awake = 16_000_000;
        answered(awake, member.tick(awake), -1);
        assertEquals(5, member.view().present());
        answered(awake + 2_000_000, -1);
        assertEquals(5, member.view().present());
    }

    @Test
    void aQuestionForAnotherIsPassedOnAndItsAnswerBack() {
        take(member.heard(1_000, 1, new Message(Kind.ASK, 3, 77, START, List.of())));
        Send ping =
                sent.stream()
                        .filter(s -> s.message().kind() == Kind.PING)
                        .findFirst()
                        .orElseThrow();
        assertEquals(3, ping.to());
        sent.clear();
        hear(50_000, 3, Kind.ACK, ping.message().number());
        Send back = sent.get(0);
        assertEquals(
                List.of(1, 3, 77),
                List.of(back.to(), back.message().subject(), back.message().number()));
        sent.clear();
        // Repeated: passed on once only
        hear(60_000, 3, Kind.ACK, ping.message().number());
        assertEquals(List.of(), sent);
    }

    @Test
    void questionsForOthersAreBounded() {
        for (int i = 0; i < 1_000; i++) {
            take(member.heard(1_000, 1, new Message(Kind.ASK, 3, i, START, List.of())));
        }
        assertEquals(64, sent.stream().filter(s -> s.message().kind() == Kind.PING).count());
    }

    @Test
    void whatComesFromOutsideTheConfigurationCountsForNothing() {
        hear(1_000, 5, Kind.PING, 1);
        hear(1_000, 1, Kind.TELL, 0, new News(9, Status.DEAD, START));
        assertEquals(List.of(), sent);
        // A day ahead of the clock and more: no start was ever then.
        hear(1_000, 1, Kind.TELL, 0, new News(2, Status.DEAD, START + 86_400_002));
        assertEquals(Status.ALIVE, status(2));
        hear(1_000, 1, Kind.TELL, 0, new News(2, Status.DEAD, START + 86_400_000));
        assertEquals(Status.DEAD, status(2));
    }

    @Test
    void alonePresentIsNotWithMost() {
        for (int m = 2; m < 5; m++) {
            hear(1_000, 1, Kind.TELL, 0, new News(m, Status.DEAD, START));
        }
        assertEquals(2, member.view().present());
        assertFalse(member.view().withMost());
    }

    @Test
    void messagesSurviveTheirBytes() {
        List<News> news = new ArrayList<>();
        for (int i = 0; i < Message.NEWS_MOST; i++) {
            news.add(
                    new News(
                            Message.MEMBERS_MOST - 1 - i,
                            Status.values()[i % 4],
                            (1L << 48) - 1 - i));
        }
        Message message = new Message(Kind.ASK, 16_383, -5, 1_796_166_793_089L, news);
        assertEquals(254, message.encode().length);
        assertEquals(message, Message.decode(message.encode()));
        news.add(news.get(0));
        assertThrows(IllegalArgumentException.class, () -> new Message(Kind.TELL, 0, 0, 0, news));
    }

    @ParameterizedTest
    @ValueSource(ints = {0, 1, 13, 15, 21, 23, 257})
    void aLengthThatNoMessageHasIsNone(int length) {
        byte[] text = new byte[length];
        if (length > 0) {
            text[0] = 4;
        }
        assertNull(Message.decode(text));
    }

    /** Whatever comes from a peer's address: read or passed over, and never an error or a flood. */
    @Test
    void anyBytesAreTaken() {
        SplittableRandom random = new SplittableRandom(11);
        byte[] good =
                new Message(Kind.PING, 1, 3, START, List.of(new News(2, Status.SUSPECTED, START)))
                        .encode();
        int read = 0;
        for (int i = 0; i < 200_000; i++) {
            byte[] text = i % 2 == 0 ? good.clone() : new byte[random.nextInt(257)];
            if (i % 2 == 0) {
                text[random.nextInt(text.length)] = (byte) random.nextInt();
            } else {
                random.nextBytes(text);
            }
            Message message = Message.decode(text);
            if (message != null) {
                read++;
                sent.clear();
                take(member.heard(i, 1 + i % 4, message));
                assertTrue(sent.size() <= 2, "an answer, or a question passed on");
            }
        }
        assertTrue(read > 50_000, read + " were messages");
        assertEquals(5, member.view().members().size());
    }
}

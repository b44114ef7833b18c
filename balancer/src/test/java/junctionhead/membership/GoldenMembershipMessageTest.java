package junctionhead.membership;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import junctionhead.GoldenFiles;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;

/**
 * Membership datagrams, byte for byte: each kind, with the least and greatest value of each field.
 */
class GoldenMembershipMessageTest {
    private static final int GREATEST_MEMBER = (1 << 14) - 1;
    private static final long GREATEST_INCARNATION = (1L << 48) - 1;
    private static final long RECENT_INCARNATION = 1_764_680_000_123L;

    /** The messages by the names of their golden files. */
    static Map<String, Message> messages() {
        Map<String, Message> messages = new LinkedHashMap<>();
        messages.put("ping-least.hex", new Message(Message.Kind.PING, 0, 0, 0, List.of()));
        messages.put(
                "ack-greatest.hex",
                new Message(
                        Message.Kind.ACK,
                        GREATEST_MEMBER,
                        Integer.MAX_VALUE,
                        GREATEST_INCARNATION,
                        List.of(new News(GREATEST_MEMBER, Status.LEFT, GREATEST_INCARNATION))));
        messages.put(
                "ask-each-status.hex",
                new Message(
                        Message.Kind.ASK,
                        258,
                        Integer.MIN_VALUE,
                        RECENT_INCARNATION,
                        List.of(
                                new News(0, Status.ALIVE, 0),
                                new News(1, Status.SUSPECTED, 1),
                                new News(255, Status.DEAD, RECENT_INCARNATION),
                                new News(256, Status.LEFT, 1L << 32))));
        messages.put(
                "tell-most-news.hex", new Message(Message.Kind.TELL, 13, -1, 1L << 47, mostNews()));
        return messages;
    }

    private static List<News> mostNews() {
        List<News> news = new ArrayList<>();
        for (int i = 0; i < 30; i++) {
            news.add(new News(i * 550, Status.values()[i % 4], RECENT_INCARNATION + i));
        }
        return news;
    }

    static List<String> names() {
        return List.copyOf(messages().keySet());
    }

    @ParameterizedTest
    @MethodSource("names")
    void bytesGiveValues(String name) {
        assertEquals(messages().get(name), Message.decode(GoldenFiles.bytes("membership/" + name)));
    }

    @ParameterizedTest
    @MethodSource("names")
    void valuesGiveBytes(String name) {
        assertEquals(
                GoldenFiles.text("membership/" + name),
                GoldenFiles.hexLines(messages().get(name).encode()));
    }
}

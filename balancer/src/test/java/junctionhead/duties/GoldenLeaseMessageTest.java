package junctionhead.duties;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import junctionhead.GoldenFiles;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;

/** Lease datagrams, byte for byte: each kind, with the least and greatest value of each field. */
class GoldenLeaseMessageTest {
    private static final int GREATEST_PROCESS = (1 << 15) - 1;
    private static final long GREATEST_EPOCH = (1L << 48) - 1;

    /** The messages by the names of their golden files. */
    static Map<String, Word> messages() {
        Map<String, Word> messages = new LinkedHashMap<>();
        messages.put("pre-vote-least.hex", new Word(Word.Kind.SOUND, 0, 0, List.of()));
        messages.put(
                "pre-vote-granted-greatest.hex",
                new Word(
                        Word.Kind.WOULD,
                        GREATEST_PROCESS,
                        Integer.MAX_VALUE,
                        List.of(new Word.Entry(255, GREATEST_EPOCH))));
        messages.put("request-most-entries.hex", new Word(Word.Kind.ASK, 258, -1, mostEntries()));
        messages.put(
                "granted.hex",
                new Word(
                        Word.Kind.GRANTED,
                        1,
                        Integer.MIN_VALUE,
                        List.of(new Word.Entry(0, 0), new Word.Entry(31, 1))));
        messages.put(
                "denied.hex",
                new Word(
                        Word.Kind.REFUSED,
                        2,
                        1,
                        List.of(new Word.Entry(127, 1L << 31), new Word.Entry(128, 1L << 32))));
        messages.put(
                "release.hex",
                new Word(
                        Word.Kind.RELEASE,
                        255,
                        65_536,
                        List.of(new Word.Entry(1, (1L << 32) - 1))));
        messages.put(
                "transfer.hex",
                new Word(Word.Kind.PASS, 256, 16_909_060, List.of(new Word.Entry(2, 1L << 47))));
        return messages;
    }

    private static List<Word.Entry> mostEntries() {
        List<Word.Entry> entries = new ArrayList<>();
        for (int i = 0; i < 35; i++) {
            entries.add(new Word.Entry(i * 7, 1_000_003L * i * i));
        }
        return entries;
    }

    static List<String> names() {
        return List.copyOf(messages().keySet());
    }

    @ParameterizedTest
    @MethodSource("names")
    void bytesGiveValues(String name) {
        assertEquals(messages().get(name), Word.decode(GoldenFiles.bytes("lease/" + name)));
    }

    @ParameterizedTest
    @MethodSource("names")
    void valuesGiveBytes(String name) {
        assertEquals(
                GoldenFiles.text("lease/" + name),
                GoldenFiles.hexLines(messages().get(name).encode()));
    }
}

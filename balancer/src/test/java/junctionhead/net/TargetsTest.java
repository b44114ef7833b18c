package junctionhead.net;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.fasterxml.jackson.jr.ob.JSON;
import com.sun.management.ThreadMXBean;
import io.netty.buffer.Unpooled;
import java.io.IOException;
import java.lang.management.ManagementFactory;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Random;
import java.util.stream.Collectors;
import java.util.stream.IntStream;
import junctionhead.SettingsReader;
import org.junit.jupiter.api.Test;

/** Lists in discovery's form, read entry by entry. */
class TargetsTest {
    private static final SettingsReader.Boot BOOT =
            new SettingsReader.Boot(
                    null,
                    List.of(),
                    List.of(),
                    List.of(),
                    List.of("a", "b"),
                    List.of("m0", "m_1"),
                    0);

    private static String entry(int i) {
        return "{\"uid\":\"upstream-"
                + i
                + "\",\"endpoint\":\"10.1."
                + i / 250
                + "."
                + i % 250
                + ":8080\","
                + "\"state\":\"in_service\",\"capacity_hint\":1.35,\"boot_ms\":1700000000123,\"pod_group\":3,"
                + "\"model\":\"m 1\",\"az\":\"b\"}";
    }

    private static String list(int entries) {
        return IntStream.range(0, entries)
                .mapToObj(TargetsTest::entry)
                .collect(Collectors.joining(",", "{\"rev\":7,\"all\":true,\"targets\":[", "]}"));
    }

    private static String complaint(String json) {
        return assertThrows(
                        IllegalArgumentException.class,
                        () -> Targets.parse(json, BOOT),
                        () -> json.substring(0, Math.min(json.length(), 300)))
                .getMessage();
    }

    private static String any(Random random, String... values) {
        return values[random.nextInt(values.length)];
    }

    /** Read as it is told a list is what it is as a tree. */
    @Test
    void readEntryByEntryAListIsTheSame() throws IOException {
        Random random = new Random(5);
        int good = 0;
        for (int i = 0; i < 2_000; i++) {
            StringBuilder json = new StringBuilder("{");
            json.append(any(random, "", "\"rev\": 12,", "\"rev\":1.5e3,"));
            json.append(any(random, "", "\"all\":true,", "\"more\":{\"targets\":[1]},"));
            json.append("\"targets\":[");
            for (int n = random.nextInt(4); n > 0; n--) {
                json.append("{\"uid\":")
                        .append(
                                any(
                                        random,
                                        "\"a\"",
                                        "\"\\u00e9\"",
                                        "\"b c\"",
                                        "\"d\"",
                                        "\"e\"",
                                        "\"f\"",
                                        "\"g\"",
                                        random.nextInt(9) == 0 ? "7" : "\"h\""))
                        .append(",\"state\":")
                        .append(
                                any(
                                        random,
                                        "\"in_service\"",
                                        "\"terminating\"",
                                        "\"terminated\"",
                                        random.nextInt(9) == 0 ? "null" : "\"in_service\""))
                        .append(",\"endpoint\":")
                        .append(
                                any(
                                        random,
                                        "\"10.0.0.1:80\"",
                                        "\"255.255.0.9:65535\"",
                                        "\"[::1]:8080\"",
                                        random.nextInt(9) == 0
                                                ? any(
                                                        random,
                                                        "\"10.0.0.256:1\"",
                                                        "\"10.0.1:\"",
                                                        "\"x:1\"",
                                                        "\"1.2.3.4:65536\"",
                                                        "\"1.2.3.04:6\"")
                                                : "\"1.2.3.4:6\""))
                        .append(any(random, "", ",\"az\":\"b\"", ",\"az\":[\"b\"]", ",\"az\":7"))
                        .append(any(random, "", ",\"model\":\"m 1\"", ",\"model\":null"))
                        .append(
                                any(
                                        random,
                                        "",
                                        ",\"capacity_hint\":2.5",
                                        ",\"capacity_hint\":-1",
                                        ",\"capacity_hint\":\"3\""))
                        .append(
                                any(
                                        random,
                                        "",
                                        ",\"boot_ms\":1700000000123",
                                        ",\"pod_group\":4,\"boot_ms\":0.5"))
                        .append(any(random, "", ",\"x\":{\"uid\":\"z\",\"y\":[{}]}"))
                        .append("}")
                        .append(n > 1 ? ", " : "");
            }
            json.append("]").append(any(random, "}", ",\"rev\":9}", ",\"all\":false}"));
            Targets wanted;
            try {
                wanted = Targets.of(JSON.std.anyFrom(json.toString()), BOOT);
            } catch (IOException e) {
                // A name came twice
                complaint(json.toString());
                continue;
            } catch (IllegalArgumentException e) {
                assertEquals(e.getMessage(), complaint(json.toString()), json.toString());
                continue;
            }
            good++;
            assertEquals(wanted, Targets.parse(json.toString(), BOOT), json.toString());
            byte[] bytes = json.toString().getBytes(StandardCharsets.UTF_8);
            assertEquals(wanted, Targets.parse(Unpooled.directBuffer().writeBytes(bytes), BOOT));
            assertEquals(
                    wanted,
                    Targets.parse(
                            Unpooled.buffer().writeByte(1).writeBytes(bytes).skipBytes(1), BOOT));
        }
        assertTrue(good > 1_000, good + " lists could be read");
    }

    @Test
    void whatIsNoListIsRefusedByOneLine() {
        assertEquals("no list of targets", complaint("[]"));
        assertEquals("no list of targets", complaint("{\"targets\":{}}"));
        assertEquals("not JSON", complaint("{\"targets\":[" + entry(1)));
        assertEquals("a target without uid", complaint("{\"targets\":[7]}"));
        assertEquals("a target without uid", complaint("{\"targets\":[{}]}"));
    }

    @Test
    void aListOfMoreEntriesThanItMayHaveIsRefusedAndTheLineNamesTheLimit() throws IOException {
        assertEquals(Targets.MOST, Targets.parse(list(Targets.MOST), BOOT).list().size());
        String more = list(Targets.MOST + 1);
        assertEquals("more than 20000 targets", complaint(more));
        Object tree = JSON.std.anyFrom(more);
        assertEquals(
                "more than 20000 targets",
                assertThrows(IllegalArgumentException.class, () -> Targets.of(tree, BOOT))
                        .getMessage());
    }

    /**
     * What reading a list allocates, by entry: with a tree, or a copy of the text, it was 1,455.
     */
    @Test
    void readingAListAllocatesLittleMoreThanItKeeps() {
        byte[] json = list(14_000).getBytes(StandardCharsets.UTF_8);
        ThreadMXBean threads = (ThreadMXBean) ManagementFactory.getThreadMXBean();
        long each = 0;
        for (int i = 0; i < 3; i++) {
            long before = threads.getThreadAllocatedBytes(Thread.currentThread().getId());
            Targets.parse(json, 0, json.length, BOOT);
            each =
                    (threads.getThreadAllocatedBytes(Thread.currentThread().getId()) - before)
                            / 14_000;
        }
        assertTrue(each < 1_100, each + " bytes an entry");
    }
}

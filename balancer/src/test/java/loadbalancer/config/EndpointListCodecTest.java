package loadbalancer.config;

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
import loadbalancer.routing.api.EndpointStatus;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Tests {@link EndpointListCodec}: decoding, rejected lists, and how much decoding allocates. */
class EndpointListCodecTest {
    private static final BootSettings BOOT_SETTINGS =
            new BootSettings(
                    null,
                    List.of(),
                    List.of(),
                    List.of(),
                    List.of("a", "b"),
                    List.of("m0", "m_1"),
                    0);

    private static String entryJson(int index) {
        return "{\"uid\":\"upstream-"
                + index
                + "\",\"endpoint\":\"10.1."
                + index / 250
                + "."
                + index % 250
                + ":8080\","
                + "\"state\":\"in_service\",\"capacity_hint\":1.35,\"boot_ms\":1700000000123,\"pod_group\":3,"
                + "\"model\":\"m 1\",\"az\":\"b\"}";
    }

    private static String listJson(int entryCount) {
        return IntStream.range(0, entryCount)
                .mapToObj(EndpointListCodecTest::entryJson)
                .collect(Collectors.joining(",", "{\"rev\":7,\"all\":true,\"targets\":[", "]}"));
    }

    private static String parseError(String json) {
        return assertThrows(
                        IllegalArgumentException.class,
                        () -> EndpointListCodec.decode(json, BOOT_SETTINGS),
                        () -> json.substring(0, Math.min(json.length(), 300)))
                .getMessage();
    }

    private static String randomOf(Random random, String... values) {
        return values[random.nextInt(values.length)];
    }

    private static String randomListJson(Random random) {
        StringBuilder json = new StringBuilder("{");
        json.append(randomOf(random, "", "\"rev\": 12,", "\"rev\":1.5e3,"));
        json.append(randomOf(random, "", "\"all\":true,", "\"more\":{\"targets\":[1]},"));
        json.append("\"targets\":[");
        for (int remaining = random.nextInt(4); remaining > 0; remaining--) {
            appendRandomEntry(json, random);
            json.append(remaining > 1 ? ", " : "");
        }
        json.append("]").append(randomOf(random, "}", ",\"rev\":9}", ",\"all\":false}"));
        return json.toString();
    }

    private static void appendRandomEntry(StringBuilder json, Random random) {
        json.append("{\"uid\":").append(randomId(random));
        json.append(",\"state\":").append(randomState(random));
        json.append(",\"endpoint\":").append(randomAddress(random));
        json.append(randomOf(random, "", ",\"az\":\"b\"", ",\"az\":[\"b\"]", ",\"az\":7"));
        json.append(randomOf(random, "", ",\"model\":\"m 1\"", ",\"model\":null"));
        json.append(
                randomOf(
                        random,
                        "",
                        ",\"capacity_hint\":2.5",
                        ",\"capacity_hint\":-1",
                        ",\"capacity_hint\":\"3\""));
        json.append(
                randomOf(
                        random,
                        "",
                        ",\"boot_ms\":1700000000123",
                        ",\"pod_group\":4,\"boot_ms\":0.5"));
        json.append(randomOf(random, "", ",\"x\":{\"uid\":\"z\",\"y\":[{}]}"));
        json.append("}");
    }

    private static String randomId(Random random) {
        return randomOf(
                random,
                "\"a\"",
                "\"\\u00e9\"",
                "\"b c\"",
                "\"d\"",
                "\"e\"",
                "\"f\"",
                "\"g\"",
                random.nextInt(9) == 0 ? "7" : "\"h\"");
    }

    private static String randomState(Random random) {
        return randomOf(
                random,
                "\"in_service\"",
                "\"terminating\"",
                "\"terminated\"",
                random.nextInt(9) == 0 ? "null" : "\"in_service\"");
    }

    private static String randomAddress(Random random) {
        return randomOf(
                random,
                "\"10.0.0.1:80\"",
                "\"255.255.0.9:65535\"",
                "\"[::1]:8080\"",
                random.nextInt(9) == 0 ? randomInvalidAddress(random) : "\"1.2.3.4:6\"");
    }

    private static String randomInvalidAddress(Random random) {
        return randomOf(
                random,
                "\"10.0.0.256:1\"",
                "\"10.0.1:\"",
                "\"x:1\"",
                "\"1.2.3.4:65536\"",
                "\"1.2.3.04:6\"");
    }

    /**
     * The streaming decoder and the tree decoder have the same results and reject the same lists.
     */
    @Test
    void streamingDecoderMatchesTreeDecoder() {
        Random random = new Random(5);
        int parsedCount = 0;
        for (int i = 0; i < 2_000; i++) {
            String json = randomListJson(random);
            EndpointList expected;
            try {
                expected = EndpointListCodec.decodeTree(JSON.std.anyFrom(json), BOOT_SETTINGS);
            } catch (IOException e) {
                // A field name occurs twice.
                parseError(json);
                continue;
            } catch (IllegalArgumentException e) {
                assertEquals(e.getMessage(), parseError(json), json);
                continue;
            }
            parsedCount++;
            assertDecoded(expected, json);
        }
        assertTrue(parsedCount > 1_000, parsedCount + " lists decoded");
    }

    // Decodes a text, a buffer without an array, and a buffer whose list begins within its array.
    private static void assertDecoded(EndpointList expected, String json) {
        assertEquals(expected, EndpointListCodec.decode(json, BOOT_SETTINGS), json);
        byte[] bytes = json.getBytes(StandardCharsets.UTF_8);
        assertEquals(
                expected,
                EndpointListCodec.decode(Unpooled.directBuffer().writeBytes(bytes), BOOT_SETTINGS));
        assertEquals(
                expected,
                EndpointListCodec.decode(
                        Unpooled.buffer().writeByte(1).writeBytes(bytes).skipBytes(1),
                        BOOT_SETTINGS));
    }

    @ParameterizedTest
    @CsvSource({"in_service, UP", "terminating, DRAINING", "terminated, REMOVED"})
    void platformStateIsDecodedToStatus(String state, EndpointStatus expected) {
        String json = listJson(1).replace("in_service", state);
        EndpointList list = EndpointListCodec.decode(json, BOOT_SETTINGS);
        assertEquals(expected, list.endpoints().get(0).status());
    }

    @Test
    void encodingAndDecodingPreserveTheList() {
        EndpointList list =
                EndpointListCodec.decode(
                        listJson(2).replaceFirst("in_service", "terminating"), BOOT_SETTINGS);
        assertEquals(
                list,
                EndpointListCodec.decodeTree(
                        EndpointListCodec.encodeTree(list, BOOT_SETTINGS), BOOT_SETTINGS));
    }

    @Test
    void unknownStateIsRejected() {
        assertEquals(
                "unknown state: 'lost'", parseError(listJson(1).replace("in_service", "lost")));
    }

    @Test
    void invalidListIsRejectedWithOneLineMessage() {
        assertEquals("no list of targets", parseError("[]"));
        assertEquals("no list of targets", parseError("{\"targets\":{}}"));
        assertEquals("not JSON", parseError("{\"targets\":[" + entryJson(1)));
        assertEquals("a target without uid", parseError("{\"targets\":[7]}"));
        assertEquals("a target without uid", parseError("{\"targets\":[{}]}"));
    }

    /** Guards against a number that is cut to the nearest one that fits, or read inexactly. */
    @ParameterizedTest
    @CsvSource({
        "'\"rev\":7', '\"rev\":9007199254740994', rev out of range: 9.007199254740994E15",
        "'\"rev\":7', '\"rev\":18446744073709551657', rev out of range: 1.8446744073709552E19",
        "'\"rev\":7', '\"rev\":1e400', a number out of range",
        "'\"boot_ms\":1700000000123', '\"boot_ms\":1e17', boot_ms out of range: 1.0E17",
        "'\"pod_group\":3', '\"pod_group\":4294967299', pod_group out of range: 4.294967299E9",
        "'\"capacity_hint\":1.35', '\"capacity_hint\":-1e999', a number out of range"
    })
    void numberOutOfRangeIsRejected(String field, String outOfRange, String expectedMessage) {
        String json = listJson(1);
        assertTrue(json.contains(field), json);
        assertEquals(expectedMessage, parseError(json.replace(field, outOfRange)));
    }

    @Test
    void largestExactRevisionIsDecoded() {
        String json = listJson(1).replace("\"rev\":7", "\"rev\":9007199254740992");
        assertEquals(1L << 53, EndpointListCodec.decode(json, BOOT_SETTINGS).revision());
    }

    @Test
    void oversizedListIsRejected() throws IOException {
        assertEquals(
                EndpointListCodec.MAX_ENTRIES,
                EndpointListCodec.decode(listJson(EndpointListCodec.MAX_ENTRIES), BOOT_SETTINGS)
                        .entries()
                        .size());
        String oversized = listJson(EndpointListCodec.MAX_ENTRIES + 1);
        assertEquals("more than 20000 targets", parseError(oversized));
        Object tree = JSON.std.anyFrom(oversized);
        assertEquals(
                "more than 20000 targets",
                assertThrows(
                                IllegalArgumentException.class,
                                () -> EndpointListCodec.decodeTree(tree, BOOT_SETTINGS))
                        .getMessage());
    }

    /**
     * Decoding allocates fewer than 1,100 bytes per entry. Decoding from a tree or from a copy of
     * the text allocated 1,455.
     */
    @Test
    void parsingAllocationIsBounded() {
        byte[] json = listJson(14_000).getBytes(StandardCharsets.UTF_8);
        ThreadMXBean threads = (ThreadMXBean) ManagementFactory.getThreadMXBean();
        long bytesPerEntry = 0;
        for (int i = 0; i < 3; i++) {
            long bytesBefore = threads.getThreadAllocatedBytes(Thread.currentThread().getId());
            EndpointListCodec.decode(json, 0, json.length, BOOT_SETTINGS);
            bytesPerEntry =
                    (threads.getThreadAllocatedBytes(Thread.currentThread().getId()) - bytesBefore)
                            / 14_000;
        }
        assertTrue(bytesPerEntry < 1_100, bytesPerEntry + " bytes per entry");
    }
}

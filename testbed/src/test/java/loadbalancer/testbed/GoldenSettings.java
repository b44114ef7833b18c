package loadbalancer.testbed;

import static org.junit.jupiter.api.Assertions.assertEquals;

import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.SerializationFeature;
import java.io.IOException;
import java.io.InputStream;
import java.nio.charset.StandardCharsets;
import java.util.Map;

/**
 * Compares the settings of a balancer's configuration with those recorded in {@code
 * golden/settings}. The recorded text has one top-level key a line, in the order in which it is
 * written; the keys of nested objects are sorted, since their order has no meaning.
 */
public final class GoldenSettings {
    private static final ObjectMapper SORTING_MAPPER =
            new ObjectMapper().configure(SerializationFeature.ORDER_MAP_ENTRIES_BY_KEYS, true);

    private GoldenSettings() {}

    /** Asserts that {@code settings} are, to the byte, those of the golden file of that name. */
    public static void assertMatches(String goldenFile, Map<String, Object> settings)
            throws IOException {
        StringBuilder text = new StringBuilder();
        for (Map.Entry<String, Object> entry : settings.entrySet()) {
            text.append(entry.getKey())
                    .append(": ")
                    .append(SORTING_MAPPER.writeValueAsString(entry.getValue()))
                    .append('\n');
        }
        assertEquals(read(goldenFile), text.toString());
    }

    /** The text of a golden file. */
    public static String read(String goldenFile) throws IOException {
        try (InputStream golden =
                GoldenSettings.class.getResourceAsStream("/golden/settings/" + goldenFile)) {
            return new String(golden.readAllBytes(), StandardCharsets.UTF_8);
        }
    }
}

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
 * golden/settings}. The recorded text has one line for each top-level key, in the order in which
 * the keys are written; the keys of nested objects are sorted, since their order has no meaning.
 */
public final class GoldenSettings {
    private static final ObjectMapper SORTING_MAPPER =
            new ObjectMapper().configure(SerializationFeature.ORDER_MAP_ENTRIES_BY_KEYS, true);

    private GoldenSettings() {}

    /** Asserts that the text of {@code settings} equals that of a golden file. */
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

    /** Returns the text of a golden file. */
    public static String read(String goldenFile) throws IOException {
        try (InputStream golden =
                GoldenSettings.class.getResourceAsStream("/golden/settings/" + goldenFile)) {
            return new String(golden.readAllBytes(), StandardCharsets.UTF_8);
        }
    }
}

package loadbalancer.testbed.emulation;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.ObjectMapper;

/** Writes values as JSON text. */
public final class Json {
    private static final ObjectMapper MAPPER = new ObjectMapper();

    private Json() {}

    /**
     * Returns the JSON text of a value that consists of maps, lists, numbers and strings.
     *
     * @throws IllegalArgumentException if the value contains an object that cannot be written as
     *     JSON, which is a bug of the testbed
     */
    public static String write(Object value) {
        try {
            return MAPPER.writeValueAsString(value);
        } catch (JsonProcessingException e) {
            throw new IllegalArgumentException(e);
        }
    }
}

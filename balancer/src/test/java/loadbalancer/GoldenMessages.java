package loadbalancer;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Function;

/**
 * Compares messages of one format with the bytes in golden files.
 *
 * @param directory the directory of the golden files
 * @param messages the messages by the names of their files
 * @param encoder encodes a message to bytes
 * @param decoder decodes a message; empty if the bytes are invalid
 * @param <M> the type of the messages
 */
public record GoldenMessages<M>(
        String directory,
        Map<String, M> messages,
        Function<M, byte[]> encoder,
        Function<byte[], Optional<M>> decoder) {

    /** Returns the names of the golden files. */
    public List<String> names() {
        return List.copyOf(messages.keySet());
    }

    /** Asserts that the bytes in a file are decoded to its message. */
    public void assertDecoded(String name) {
        assertEquals(
                Optional.of(messages.get(name)),
                decoder.apply(GoldenFiles.bytes(directory + "/" + name)));
    }

    /** Asserts that a message is encoded to the bytes in its file. */
    public void assertEncoded(String name) {
        assertEquals(
                GoldenFiles.text(directory + "/" + name),
                GoldenFiles.hexLines(encoder.apply(messages.get(name))));
    }
}

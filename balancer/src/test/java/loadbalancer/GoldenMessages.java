package loadbalancer;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Function;

/**
 * Messages of one format, each of which is held to the bytes in a golden file.
 *
 * @param directory of the golden files
 * @param messages by the names of their files
 * @param <M> the messages
 */
public record GoldenMessages<M>(
        String directory,
        Map<String, M> messages,
        Function<M, byte[]> encoder,
        Function<byte[], Optional<M>> decoder) {

    /** The names of the golden files. */
    public List<String> names() {
        return List.copyOf(messages.keySet());
    }

    /** The bytes in a file are decoded to its message. */
    public void assertDecoded(String name) {
        assertEquals(
                Optional.of(messages.get(name)),
                decoder.apply(GoldenFiles.bytes(directory + "/" + name)));
    }

    /** A message is encoded to the bytes in its file. */
    public void assertEncoded(String name) {
        assertEquals(
                GoldenFiles.text(directory + "/" + name),
                GoldenFiles.hexLines(encoder.apply(messages.get(name))));
    }
}

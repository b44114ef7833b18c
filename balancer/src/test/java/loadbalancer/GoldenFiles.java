package loadbalancer;

import java.io.IOException;
import java.io.InputStream;
import java.io.UncheckedIOException;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import java.util.HexFormat;
import java.util.stream.Collectors;
import java.util.stream.IntStream;

/**
 * Reads golden files from the test resources. They hold output of the program from the time when
 * they were recorded, and fix the bytes of every format that other processes, earlier releases or
 * operators read. Tests never write them.
 */
public final class GoldenFiles {
    private static final String FOLDER = "/golden/";
    private static final int BYTES_PER_LINE = 16;

    private GoldenFiles() {}

    /**
     * Returns the text of a golden file, named relative to the folder {@code golden} of the test
     * resources.
     */
    public static String text(String name) {
        try (InputStream in = GoldenFiles.class.getResourceAsStream(FOLDER + name)) {
            if (in == null) {
                throw new AssertionError("no golden file " + FOLDER + name);
            }
            return new String(in.readAllBytes(), StandardCharsets.UTF_8);
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    /** Returns the bytes that a golden file gives as lines of hexadecimal digits. */
    public static byte[] bytes(String name) {
        return HexFormat.of().parseHex(text(name).replace("\n", ""));
    }

    /** Formats bytes as the binary golden files do, so that a difference is reported as text. */
    public static String hexLines(byte[] bytes) {
        return IntStream.iterate(0, from -> from < bytes.length, from -> from + BYTES_PER_LINE)
                .mapToObj(
                        from ->
                                Arrays.copyOfRange(
                                        bytes, from, Math.min(bytes.length, from + BYTES_PER_LINE)))
                .map(line -> HexFormat.of().formatHex(line) + "\n")
                .collect(Collectors.joining());
    }
}

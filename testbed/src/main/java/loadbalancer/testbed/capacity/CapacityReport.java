package loadbalancer.testbed.capacity;

import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.SerializationFeature;
import java.io.IOException;
import java.math.BigDecimal;
import java.math.MathContext;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import loadbalancer.testbed.error.InvalidFileException;

/**
 * What a call of the command measured, as its file holds it.
 *
 * @param command the line that gave it
 * @param metrics by name
 */
public record CapacityReport(String command, List<Long> seeds, Map<String, Double> metrics) {
    private static final MathContext PRECISION = new MathContext(5);

    public CapacityReport {
        seeds = List.copyOf(seeds);
        metrics = java.util.Collections.unmodifiableMap(new TreeMap<>(metrics));
    }

    /**
     * Makes the folder of a file.
     *
     * @throws IOException where it can't be made
     */
    static void createParentDirectory(Path file) throws IOException {
        Path directory = file.toAbsolutePath().getParent();
        try {
            Files.createDirectories(directory);
        } catch (IOException e) {
            throw new InvalidFileException(
                    "can't make the folder " + directory + " for " + file.getFileName(), e);
        }
    }

    /**
     * Writes it, five digits a figure.
     *
     * @throws IOException where the file can't be written
     */
    void write(Path file) throws IOException {
        Map<String, Object> rounded = new LinkedHashMap<>();
        metrics.forEach(
                (name, value) ->
                        rounded.put(name, new BigDecimal(value).round(PRECISION).doubleValue()));
        Map<String, Object> content = new LinkedHashMap<>();
        content.put("command", command);
        content.put("seeds", seeds);
        content.put("figures", rounded);
        createParentDirectory(file);
        Files.writeString(
                file,
                new ObjectMapper()
                                .enable(SerializationFeature.INDENT_OUTPUT)
                                .writeValueAsString(content)
                        + "\n");
    }
}

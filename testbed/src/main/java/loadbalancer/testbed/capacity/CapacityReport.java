package loadbalancer.testbed.capacity;

import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.SerializationFeature;
import java.io.IOException;
import java.math.BigDecimal;
import java.math.MathContext;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Collections;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import loadbalancer.testbed.error.InvalidFileException;

/**
 * Holds the measurements of one call of the command, and writes them to a file. Immutable.
 *
 * @param command the command line that reproduces the measurements
 * @param seeds the seeds of each case
 * @param metrics the metrics by name
 */
public record CapacityReport(String command, List<Long> seeds, Map<String, Double> metrics) {
    private static final MathContext PRECISION = new MathContext(5);

    /** Creates a report with copies of the collections. */
    public CapacityReport {
        seeds = List.copyOf(seeds);
        metrics = Collections.unmodifiableMap(new TreeMap<>(metrics));
    }

    /**
     * Creates the parent directory of a file.
     *
     * @throws IOException if it can't be created
     */
    static void createParentDirectory(Path file) throws IOException {
        Path directory = file.toAbsolutePath().getParent();
        try {
            Files.createDirectories(directory);
        } catch (IOException e) {
            throw new InvalidFileException(
                    "can't create the directory " + directory + " for " + file.getFileName(), e);
        }
    }

    /**
     * Writes the report as JSON, with five significant digits of each metric.
     *
     * @throws IOException if the file can't be written
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

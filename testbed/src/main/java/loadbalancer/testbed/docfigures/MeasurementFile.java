package loadbalancer.testbed.docfigures;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.SerializationFeature;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Collections;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.SortedMap;
import java.util.TreeMap;
import loadbalancer.testbed.error.InvalidFileException;

/**
 * The measurements of one execution of a command, as stored in a JSON file to which pages refer.
 * Immutable.
 *
 * @param command command line
 * @param seeds seeds or repeat numbers
 * @param metrics values by dotted key, each in the unit that its key or the page states
 */
public record MeasurementFile(String command, List<Long> seeds, SortedMap<String, Double> metrics) {
    private static final ObjectMapper MAPPER =
            new ObjectMapper().enable(SerializationFeature.INDENT_OUTPUT);

    /** Creates measurements with copies of the collections. */
    public MeasurementFile {
        seeds = List.copyOf(seeds);
        metrics = Collections.unmodifiableSortedMap(new TreeMap<>(metrics));
    }

    /**
     * Reads a file that {@link #write} has written.
     *
     * @throws IOException if the file can't be read or contains no measurements
     */
    public static MeasurementFile read(Path file) throws IOException {
        JsonNode json = MAPPER.readTree(Files.readString(file));
        if (json == null || !json.path("figures").isObject()) {
            throw new InvalidFileException(file + " contains no figures");
        }
        List<Long> seeds = new ArrayList<>();
        json.path("seeds").forEach(seed -> seeds.add(seed.asLong()));
        SortedMap<String, Double> metrics = new TreeMap<>();
        json.get("figures")
                .properties()
                .forEach(
                        entry -> {
                            if (entry.getValue().isNumber()) {
                                metrics.put(entry.getKey(), entry.getValue().asDouble());
                            }
                        });
        return new MeasurementFile(json.path("command").asText(), seeds, metrics);
    }

    /**
     * Writes the measurements to a file and creates its directory if it does not exist.
     *
     * @throws IOException if the file can't be written
     */
    public void write(Path file) throws IOException {
        Files.createDirectories(file.toAbsolutePath().getParent());
        Map<String, Object> content = new LinkedHashMap<>();
        content.put("command", command);
        content.put("seeds", seeds);
        content.put("figures", metrics);
        Files.writeString(file, MAPPER.writeValueAsString(content) + "\n");
    }
}

package junctionhead.lab.capacity;

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

/**
 * What a call of the command measured, as its file holds it.
 *
 * @param command the line that gave it
 * @param figures by name
 */
public record CapacityReport(String command, List<Long> seeds, Map<String, Double> figures) {
    private static final MathContext DIGITS = new MathContext(5);

    public CapacityReport {
        seeds = List.copyOf(seeds);
        figures = java.util.Collections.unmodifiableMap(new TreeMap<>(figures));
    }

    /**
     * Makes the folder of a file.
     *
     * @throws IOException where it can't be made
     */
    static void prepare(Path file) throws IOException {
        Path folder = file.toAbsolutePath().getParent();
        try {
            Files.createDirectories(folder);
        } catch (IOException e) {
            throw new IOException(
                    "can't make the folder " + folder + " for " + file.getFileName(), e);
        }
    }

    /**
     * Writes it, five digits a figure.
     *
     * @throws IOException where the file can't be written
     */
    void write(Path file) throws IOException {
        Map<String, Object> rounded = new LinkedHashMap<>();
        figures.forEach(
                (name, value) ->
                        rounded.put(name, new BigDecimal(value).round(DIGITS).doubleValue()));
        Map<String, Object> all = new LinkedHashMap<>();
        all.put("command", command);
        all.put("seeds", seeds);
        all.put("figures", rounded);
        prepare(file);
        Files.writeString(
                file,
                new ObjectMapper()
                                .enable(SerializationFeature.INDENT_OUTPUT)
                                .writeValueAsString(all)
                        + "\n");
    }
}

package junctionhead.lab.measure;

import com.fasterxml.jackson.annotation.JsonProperty;
import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.SerializationFeature;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Map;
import java.util.SortedMap;

/**
 * All that a run showed, as it stands in {@code result.json}. Times are seconds of the run; {@code
 * trusted} is false where the lab itself was too busy, and then nothing counts. Figures by name are
 * what builds are compared by.
 */
public record Result(
        @JsonProperty("scenario") String scenario,
        @JsonProperty("seed") long seed,
        @JsonProperty("plan") String plan,
        @JsonProperty("trusted") boolean trusted,
        @JsonProperty("doubt") String doubt,
        @JsonProperty("lengthS") double lengthS,
        @JsonProperty("broken") long broken,
        @JsonProperty("breaches") List<String> breaches,
        @JsonProperty("figures") SortedMap<String, Double> figures,
        @JsonProperty("latencies") Map<String, Latency> latencies,
        @JsonProperty("slices") List<Slice> slices,
        @JsonProperty("faults") List<FaultBar> faults,
        @JsonProperty("balancers") List<Process> balancers) {
    private static final ObjectMapper MAPPER =
            new ObjectMapper()
                    .enable(SerializationFeature.INDENT_OUTPUT)
                    .disable(DeserializationFeature.FAIL_ON_UNKNOWN_PROPERTIES);

    /** Of a class and zone: how many were answered with 200, and their latencies in ms. */
    public record Latency(
            @JsonProperty("count") long count,
            @JsonProperty("p50") double p50,
            @JsonProperty("p99") double p99,
            @JsonProperty("most") double most) {}

    /** First tries of 100 ms and how they ended. */
    public record Slice(
            @JsonProperty("at") double at,
            @JsonProperty("asked") int asked,
            @JsonProperty("served") int served,
            @JsonProperty("late") int late,
            @JsonProperty("refused") int refused,
            @JsonProperty("failed") int failed) {}

    /**
     * A fault; {@code until} is -1 where it has no end, {@code back} where service was not back in
     * the run.
     */
    public record FaultBar(
            @JsonProperty("what") String what,
            @JsonProperty("at") double at,
            @JsonProperty("until") double until,
            @JsonProperty("back") double back,
            @JsonProperty("unserved") int unserved) {}

    /** A balancer: its lives as [from, to] with -1 for none, and what it used. */
    public record Process(
            @JsonProperty("number") int number,
            @JsonProperty("zone") String zone,
            @JsonProperty("lives") List<double[]> lives,
            @JsonProperty("cpuS") double cpuS,
            @JsonProperty("memoryMb") double memoryMb,
            @JsonProperty("descriptors") int descriptors,
            @JsonProperty("datagrams") long datagrams,
            @JsonProperty("datagramBytes") long datagramBytes,
            @JsonProperty("listCalls") long listCalls) {}

    /** Writes it into a folder. */
    public void write(Path folder) throws IOException {
        MAPPER.writeValue(folder.resolve("result.json").toFile(), this);
    }

    /** Reads what {@link #write} wrote. */
    public static Result read(Path folder) throws IOException {
        Path file = folder.resolve("result.json");
        if (!Files.exists(file)) {
            throw new IOException(
                    folder + " holds no result.json: it is no folder of a run that ended");
        }
        return MAPPER.readValue(file.toFile(), Result.class);
    }
}

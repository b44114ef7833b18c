package loadbalancer.testbed.statistics;

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
 * trusted} is false where the testbed itself was too busy, and then nothing counts. Figures by name
 * are what builds are compared by.
 */
public record RunResult(
        @JsonProperty("scenario") String scenario,
        @JsonProperty("seed") long seed,
        @JsonProperty("plan") String workloadDigest,
        @JsonProperty("trusted") boolean trusted,
        @JsonProperty("doubt") String untrustedReason,
        @JsonProperty("lengthS") double lengthSeconds,
        @JsonProperty("broken") long violationCount,
        @JsonProperty("breaches") List<String> violations,
        @JsonProperty("figures") SortedMap<String, Double> metrics,
        @JsonProperty("latencies") Map<String, LatencySummary> latencies,
        @JsonProperty("slices") List<TimeSlice> slices,
        @JsonProperty("faults") List<FaultImpact> faults,
        @JsonProperty("balancers") List<BalancerUsage> balancers) {
    private static final ObjectMapper MAPPER =
            new ObjectMapper()
                    .enable(SerializationFeature.INDENT_OUTPUT)
                    .disable(DeserializationFeature.FAIL_ON_UNKNOWN_PROPERTIES);

    /** Of a class and zone: how many were answered with 200, and their latencies in ms. */
    public record LatencySummary(
            @JsonProperty("count") long count,
            @JsonProperty("p50") double p50Ms,
            @JsonProperty("p99") double p99Ms,
            @JsonProperty("most") double maxMs) {}

    /** First tries of 100 ms and how they ended. */
    public record TimeSlice(
            @JsonProperty("at") double startSeconds,
            @JsonProperty("asked") int requested,
            @JsonProperty("served") int served,
            @JsonProperty("late") int late,
            @JsonProperty("refused") int rejected,
            @JsonProperty("failed") int failed) {}

    /**
     * A fault; {@code endSeconds} is -1 where it has no end, {@code recoverySeconds} where service
     * was not back in the run.
     */
    public record FaultImpact(
            @JsonProperty("what") String description,
            @JsonProperty("at") double startSeconds,
            @JsonProperty("until") double endSeconds,
            @JsonProperty("back") double recoverySeconds,
            @JsonProperty("unserved") int unservedCount) {}

    /** A balancer: its lives as [from, to] with -1 for none, and what it used. */
    public record BalancerUsage(
            @JsonProperty("number") int number,
            @JsonProperty("zone") String zone,
            @JsonProperty("lives") List<double[]> lifetimes,
            @JsonProperty("cpuS") double cpuSeconds,
            @JsonProperty("memoryMb") double memoryMb,
            @JsonProperty("descriptors") int descriptors,
            @JsonProperty("datagrams") long datagrams,
            @JsonProperty("datagramBytes") long datagramBytes,
            @JsonProperty("listCalls") long discoveryCalls) {}

    /** Writes it into a folder. */
    public void write(Path directory) throws IOException {
        MAPPER.writeValue(directory.resolve("result.json").toFile(), this);
    }

    /** Reads what {@link #write} wrote. */
    public static RunResult read(Path directory) throws IOException {
        Path file = directory.resolve("result.json");
        if (!Files.exists(file)) {
            throw new IOException(
                    directory + " holds no result.json: it is no folder of a run that ended");
        }
        return MAPPER.readValue(file.toFile(), RunResult.class);
    }
}

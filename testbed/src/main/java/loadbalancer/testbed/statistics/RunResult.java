package loadbalancer.testbed.statistics;

import com.fasterxml.jackson.annotation.JsonFormat;
import com.fasterxml.jackson.annotation.JsonProperty;
import com.fasterxml.jackson.annotation.JsonPropertyOrder;
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
 * The result of a run as stored in {@code result.json}. The JSON names and the meaning of -1 are
 * part of the stored format. Times are seconds of the run. Immutable apart from its collections.
 *
 * @param workloadDigest digest of the plan: arrivals, upstreams and faults
 * @param trusted false if the testbed itself was too busy for the result to be meaningful
 * @param untrustedReason why the result is not trusted; empty if it is
 * @param lengthSeconds planned length of the run
 * @param violationCount number of invariant violations; {@code violations} describes the first ones
 * @param metrics metrics by name, by which builds are compared
 * @param latencies latencies by "class/zone"
 * @param slices consecutive windows of {@link ServiceWindows#WINDOW_MICROS}
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
    private static final String FILE_NAME = "result.json";
    private static final ObjectMapper MAPPER =
            new ObjectMapper()
                    .enable(SerializationFeature.INDENT_OUTPUT)
                    .disable(DeserializationFeature.FAIL_ON_UNKNOWN_PROPERTIES);

    /** Latencies in ms of the requests of one class and zone that were answered with 200. */
    public record LatencySummary(
            @JsonProperty("count") long count,
            @JsonProperty("p50") double p50Ms,
            @JsonProperty("p99") double p99Ms,
            @JsonProperty("most") double maxMs) {}

    /** Counts of the requests that arrived in one window, by outcome. */
    public record TimeSlice(
            @JsonProperty("at") double startSeconds,
            @JsonProperty("asked") int requested,
            @JsonProperty("served") int served,
            @JsonProperty("late") int late,
            @JsonProperty("refused") int rejected,
            @JsonProperty("failed") int failed) {}

    /**
     * A fault and its effect on the service.
     *
     * @param endSeconds end of the fault; -1 if it does not end
     * @param recoverySeconds time from its start until the service recovered; -1 if the service did
     *     not recover within the run
     * @param unservedCount requests that were rejected or failed in the 10 s after its start
     */
    public record FaultImpact(
            @JsonProperty("what") String description,
            @JsonProperty("at") double startSeconds,
            @JsonProperty("until") double endSeconds,
            @JsonProperty("back") double recoverySeconds,
            @JsonProperty("unserved") int unservedCount) {}

    /**
     * The processes of one balancer and the resources that they used.
     *
     * @param lifetimes lifetimes of its processes, one for each start
     * @param memoryMb peak resident memory in MiB
     * @param descriptors peak number of open file descriptors
     * @param datagrams number of datagrams sent to other balancers
     * @param discoveryCalls number of requests to its discovery agent
     */
    public record BalancerUsage(
            @JsonProperty("number") int number,
            @JsonProperty("zone") String zone,
            @JsonProperty("lives") List<Lifetime> lifetimes,
            @JsonProperty("cpuS") double cpuSeconds,
            @JsonProperty("memoryMb") double memoryMb,
            @JsonProperty("descriptors") int descriptors,
            @JsonProperty("datagrams") long datagrams,
            @JsonProperty("datagramBytes") long datagramBytes,
            @JsonProperty("listCalls") long discoveryCalls) {}

    /**
     * The lifetime of a process, stored as an array of its start and end.
     *
     * @param endSeconds end of the process; -1 if it outlived the run
     */
    @JsonFormat(shape = JsonFormat.Shape.ARRAY)
    @JsonPropertyOrder({"from", "to"})
    public record Lifetime(
            @JsonProperty("from") double startSeconds, @JsonProperty("to") double endSeconds) {}

    /**
     * Writes the result into a directory.
     *
     * @throws IOException if the file can't be written
     */
    public void write(Path directory) throws IOException {
        MAPPER.writeValue(directory.resolve(FILE_NAME).toFile(), this);
    }

    /**
     * Reads the result of a run from its directory.
     *
     * @throws ResultNotFoundException if the directory holds no result
     * @throws IOException if the file can't be read or is damaged
     */
    public static RunResult read(Path directory) throws IOException {
        Path file = directory.resolve(FILE_NAME);
        if (!Files.exists(file)) {
            throw new ResultNotFoundException(directory, FILE_NAME);
        }
        return MAPPER.readValue(file.toFile(), RunResult.class);
    }
}

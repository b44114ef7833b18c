package junctionhead.lab.measure;

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
        String scenario,
        long seed,
        String plan,
        boolean trusted,
        String doubt,
        double lengthS,
        long broken,
        List<String> breaches,
        SortedMap<String, Double> figures,
        Map<String, Latency> latencies,
        List<Slice> slices,
        List<FaultBar> faults,
        List<Process> balancers) {
    private static final ObjectMapper MAPPER =
            new ObjectMapper()
                    .enable(SerializationFeature.INDENT_OUTPUT)
                    .disable(DeserializationFeature.FAIL_ON_UNKNOWN_PROPERTIES);

    /** Of a class and zone: how many were answered with 200, and their latencies in ms. */
    public record Latency(long count, double p50, double p99, double most) {}

    /** First tries of 100 ms and how they ended. */
    public record Slice(double at, int asked, int served, int late, int refused, int failed) {}

    /**
     * A fault; {@code until} is -1 where it has no end, {@code back} where service was not back in
     * the run.
     */
    public record FaultBar(String what, double at, double until, double back, int unserved) {}

    /** A balancer: its lives as [from, to] with -1 for none, and what it used. */
    public record Process(
            int number,
            String zone,
            List<double[]> lives,
            double cpuS,
            double memoryMb,
            int descriptors,
            long datagrams,
            long datagramBytes,
            long listCalls) {}

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

package loadbalancer.routing.gossip;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.stream.IntStream;
import loadbalancer.GoldenFiles;
import loadbalancer.routing.RoutingEngineHarness;
import loadbalancer.routing.api.AttemptOutcome;
import loadbalancer.routing.gossip.LoadGossipMessage.EjectionEntry;
import loadbalancer.routing.gossip.LoadGossipMessage.InFlightEntry;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * Compares load reports between balancers with golden files byte for byte: extreme values of the
 * encoding, and reports that a balancer sends.
 */
class GoldenLoadGossipTest {
    private static final int MAX_CODE = 8_191;
    private static final byte LOAD_REPORT_FORMAT = 3;
    private static final int EJECTION_COUNT_OFFSET = 5;

    /** Returns the messages by the names of their golden files. */
    static Map<String, LoadGossipMessage> messages() {
        Map<String, LoadGossipMessage> messages = new LinkedHashMap<>();
        messages.put("least.hex", new LoadGossipMessage(0, 0, List.of(), List.of(), List.of()));
        messages.put(
                "greatest.hex",
                new LoadGossipMessage(
                        255,
                        65_535,
                        List.of(
                                new InFlightEntry(0, 0),
                                new InFlightEntry(0, 7),
                                new InFlightEntry(MAX_CODE, 0),
                                new InFlightEntry(MAX_CODE, 7),
                                new InFlightEntry(4_660, 3)),
                        List.of(
                                new EjectionEntry(0, 0, 0),
                                new EjectionEntry(MAX_CODE, 255, 25_500_000),
                                new EjectionEntry(258, 1, 100_000)),
                        List.of(0, MAX_CODE, 772)));
        messages.put(
                "most-queues.hex",
                new LoadGossipMessage(1, 256, inFlightEntries(125), List.of(), List.of()));
        messages.put(
                "most-rests-and-lost.hex",
                new LoadGossipMessage(
                        127,
                        32_768,
                        inFlightEntries(53),
                        IntStream.range(0, 16)
                                .mapToObj(i -> new EjectionEntry(i * 511, i * 17, i * 1_600_000L))
                                .toList(),
                        IntStream.range(0, 40).mapToObj(i -> i * 210).toList()));
        return messages;
    }

    private static List<InFlightEntry> inFlightEntries(int size) {
        return IntStream.range(0, size).mapToObj(i -> new InFlightEntry(i * 65, i % 8)).toList();
    }

    static List<String> fileNames() {
        return List.copyOf(messages().keySet());
    }

    @ParameterizedTest
    @MethodSource("fileNames")
    void bytesDecodeToMessage(String fileName) {
        assertEquals(
                messages().get(fileName),
                LoadGossipMessage.decode(GoldenFiles.bytes("load-gossip/" + fileName))
                        .orElseThrow());
    }

    @ParameterizedTest
    @MethodSource("fileNames")
    void messageEncodesToBytes(String fileName) {
        assertEquals(
                GoldenFiles.text("load-gossip/" + fileName),
                GoldenFiles.hexLines(messages().get(fileName).encode()));
    }

    /** Values out of a field's range are encoded as the nearest value in range. */
    @Test
    void valuesOutOfRangeAreClamped() {
        LoadGossipMessage aboveRange =
                new LoadGossipMessage(
                        255,
                        65_536,
                        List.of(new InFlightEntry(5, 8)),
                        List.of(new EjectionEntry(5, 255, 25_600_000)),
                        List.of());
        LoadGossipMessage belowRange =
                new LoadGossipMessage(
                        0, -1, List.of(), List.of(new EjectionEntry(5, 0, 99_999)), List.of());
        assertEquals(
                GoldenFiles.text("load-gossip/beyond-greatest.hex"),
                GoldenFiles.hexLines(aboveRange.encode()));
        assertEquals(
                GoldenFiles.text("load-gossip/below-least.hex"),
                GoldenFiles.hexLines(belowRange.encode()));
        assertEquals(
                new LoadGossipMessage(
                        255,
                        65_535,
                        List.of(new InFlightEntry(5, 7)),
                        List.of(new EjectionEntry(5, 255, 25_500_000)),
                        List.of()),
                LoadGossipMessage.decode(GoldenFiles.bytes("load-gossip/beyond-greatest.hex"))
                        .orElseThrow());
        assertEquals(
                new LoadGossipMessage(
                        0, 0, List.of(), List.of(new EjectionEntry(5, 0, 0)), List.of()),
                LoadGossipMessage.decode(GoldenFiles.bytes("load-gossip/below-least.hex"))
                        .orElseThrow());
    }

    /**
     * Returns the last report with an ejected class that a balancer sends in a fleet of the given
     * size.
     */
    static byte[] lastReportInFleetOf(int balancerCount) {
        RoutingEngineHarness harness =
                GossipFixtures.harness(
                        balancerCount,
                        1,
                        9,
                        true,
                        12,
                        GossipFixtures.NON_IDEMPOTENT,
                        GossipFixtures.NON_IDEMPOTENT);
        for (int i = 0; i < 400; i++) {
            RoutingEngineHarness.SentAttempt attempt = harness.request("request-" + i, i % 2);
            harness.advanceTime(5_000);
            if (attempt != null && i % 3 > 0) {
                harness.endAttempt(attempt, outcome(attempt));
            }
        }
        return lastReportWithEjection(harness);
    }

    private static AttemptOutcome outcome(RoutingEngineHarness.SentAttempt attempt) {
        if (attempt.endpointId.equals("s5")) {
            return AttemptOutcome.CONNECT_FAILED;
        }
        boolean isOddRequest = attempt.requestId.matches(".*[13579]");
        boolean failsOddRequests =
                attempt.endpointId.equals("s3") || attempt.endpointId.equals("s4");
        return failsOddRequests && isOddRequest ? AttemptOutcome.ERROR : AttemptOutcome.OK;
    }

    private static byte[] lastReportWithEjection(RoutingEngineHarness harness) {
        List<byte[]> reports =
                harness.gossipMessages.stream()
                        .filter(
                                data ->
                                        data[0] == LOAD_REPORT_FORMAT
                                                && data[EJECTION_COUNT_OFFSET] > 0)
                        .toList();
        return reports.get(reports.size() - 1);
    }

    @ParameterizedTest
    @ValueSource(ints = {14, 100})
    void balancerSendsGoldenBytes(int balancerCount) {
        assertEquals(
                GoldenFiles.text("load-gossip/sent-in-fleet-of-" + balancerCount + ".hex"),
                GoldenFiles.hexLines(lastReportInFleetOf(balancerCount)));
    }

    @Test
    void bytesSentInSmallFleetDecodeToMessage() {
        assertEquals(
                new LoadGossipMessage(
                        9,
                        171,
                        List.of(
                                new InFlightEntry(7_953, 7),
                                new InFlightEntry(2_386, 7),
                                new InFlightEntry(3_714, 7),
                                new InFlightEntry(6_872, 7),
                                new InFlightEntry(170, 7),
                                new InFlightEntry(5_063, 7),
                                new InFlightEntry(4_735, 7),
                                new InFlightEntry(4_671, 7),
                                new InFlightEntry(413, 7),
                                new InFlightEntry(2_204, 7),
                                new InFlightEntry(870, 7)),
                        List.of(
                                new EjectionEntry(4_671, 1, 1_800_000),
                                new EjectionEntry(6_872, 1, 1_900_000)),
                        List.of(5_267)),
                LoadGossipMessage.decode(GoldenFiles.bytes("load-gossip/sent-in-fleet-of-14.hex"))
                        .orElseThrow());
    }

    @Test
    void bytesSentInLargeFleetDecodeToMessage() {
        assertEquals(
                new LoadGossipMessage(
                        9,
                        107,
                        List.of(
                                new InFlightEntry(2_386, 7),
                                new InFlightEntry(3_714, 7),
                                new InFlightEntry(170, 7),
                                new InFlightEntry(6_872, 7),
                                new InFlightEntry(7_953, 2),
                                new InFlightEntry(870, 2),
                                new InFlightEntry(2_204, 1),
                                new InFlightEntry(413, 1)),
                        List.of(new EjectionEntry(6_872, 1, 300_000)),
                        List.of()),
                LoadGossipMessage.decode(GoldenFiles.bytes("load-gossip/sent-in-fleet-of-100.hex"))
                        .orElseThrow());
    }
}

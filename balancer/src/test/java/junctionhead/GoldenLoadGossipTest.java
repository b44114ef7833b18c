package junctionhead;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.stream.IntStream;
import junctionhead.PeerMessage.Queue;
import junctionhead.PeerMessage.Rest;
import junctionhead.Policy.Discovery;
import junctionhead.Policy.Effect;
import junctionhead.Policy.ListKind;
import junctionhead.Policy.Outcome;
import junctionhead.Policy.Scope;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * Load reports between balancers, byte for byte: the codec's extremes, and what a balancer sends.
 */
class GoldenLoadGossipTest {
    private static final int GREATEST_CODE = 8_191;
    private static final byte LOAD_REPORT = 3;
    private static final int RESTS_OFFSET = 5;

    /** The messages by the names of their golden files. */
    static Map<String, PeerMessage> messages() {
        Map<String, PeerMessage> messages = new LinkedHashMap<>();
        messages.put("least.hex", new PeerMessage(0, 0, List.of(), List.of(), List.of()));
        messages.put(
                "greatest.hex",
                new PeerMessage(
                        255,
                        65_535,
                        List.of(
                                new Queue(0, 0),
                                new Queue(0, 7),
                                new Queue(GREATEST_CODE, 0),
                                new Queue(GREATEST_CODE, 7),
                                new Queue(4_660, 3)),
                        List.of(
                                new Rest(0, 0, 0),
                                new Rest(GREATEST_CODE, 255, 25_500_000),
                                new Rest(258, 1, 100_000)),
                        List.of(0, GREATEST_CODE, 772)));
        messages.put("most-queues.hex", new PeerMessage(1, 256, queues(125), List.of(), List.of()));
        messages.put(
                "most-rests-and-lost.hex",
                new PeerMessage(
                        127,
                        32_768,
                        queues(53),
                        IntStream.range(0, 16)
                                .mapToObj(i -> new Rest(i * 511, i * 17, i * 1_600_000L))
                                .toList(),
                        IntStream.range(0, 40).mapToObj(i -> i * 210).toList()));
        return messages;
    }

    private static List<Queue> queues(int size) {
        return IntStream.range(0, size).mapToObj(i -> new Queue(i * 65, i % 8)).toList();
    }

    static List<String> names() {
        return List.copyOf(messages().keySet());
    }

    @ParameterizedTest
    @MethodSource("names")
    void bytesGiveValues(String name) {
        assertEquals(
                messages().get(name), PeerMessage.decode(GoldenFiles.bytes("load-gossip/" + name)));
    }

    @ParameterizedTest
    @MethodSource("names")
    void valuesGiveBytes(String name) {
        assertEquals(
                GoldenFiles.text("load-gossip/" + name),
                GoldenFiles.hexLines(messages().get(name).encode()));
    }

    /** What is out of the format's range is written as the nearest value that it has. */
    @Test
    void valuesOutOfRangeGiveNearestBytes() {
        PeerMessage beyond =
                new PeerMessage(
                        255,
                        65_536,
                        List.of(new Queue(5, 8)),
                        List.of(new Rest(5, 255, 25_600_000)),
                        List.of());
        PeerMessage below =
                new PeerMessage(0, -1, List.of(), List.of(new Rest(5, 0, 99_999)), List.of());
        assertEquals(
                GoldenFiles.text("load-gossip/beyond-greatest.hex"),
                GoldenFiles.hexLines(beyond.encode()));
        assertEquals(
                GoldenFiles.text("load-gossip/below-least.hex"),
                GoldenFiles.hexLines(below.encode()));
        assertEquals(
                new PeerMessage(
                        255,
                        65_535,
                        List.of(new Queue(5, 7)),
                        List.of(new Rest(5, 255, 25_500_000)),
                        List.of()),
                PeerMessage.decode(GoldenFiles.bytes("load-gossip/beyond-greatest.hex")));
        assertEquals(
                new PeerMessage(0, 0, List.of(), List.of(new Rest(5, 0, 0)), List.of()),
                PeerMessage.decode(GoldenFiles.bytes("load-gossip/below-least.hex")));
    }

    /** The last report with a failing class that a balancer of a fleet of that size sends. */
    static byte[] sentInFleetOf(int balancers) {
        Policy.RequestClass unsafe = Harness.kind(Effect.UNSAFE, Scope.ALL);
        Policy.Settings base =
                Harness.settings(balancers, true, Discovery.PUSH, List.of(), unsafe, unsafe);
        Policy.Limits limits = new Policy.Limits(5, true, true, true, 250_000, 0, true);
        Harness harness =
                new Harness(
                                new Policy.Settings(
                                        balancers,
                                        1,
                                        9,
                                        base.classes(),
                                        base.tenants(),
                                        base.overShareWorth(),
                                        base.goal(),
                                        base.prices(),
                                        base.worthByWork(),
                                        base.discovery(),
                                        base.reports(),
                                        base.warmKeys(),
                                        limits,
                                        base.bounds(),
                                        base.tick()),
                                5)
                        .list(ListKind.PERSISTED, Harness.fleet(12));
        for (int i = 0; i < 400; i++) {
            Harness.Sent attempt = harness.request("request-" + i, i % 2);
            harness.pass(5_000);
            if (attempt != null && i % 3 > 0) {
                harness.end(attempt, outcome(attempt));
            }
        }
        return lastReportOfFailures(harness);
    }

    private static Outcome outcome(Harness.Sent attempt) {
        if (attempt.server.equals("s5")) {
            return Outcome.CONNECT_FAILED;
        }
        boolean isOddRequest = attempt.request.matches(".*[13579]");
        boolean failsOddRequests = attempt.server.equals("s3") || attempt.server.equals("s4");
        return failsOddRequests && isOddRequest ? Outcome.ERROR : Outcome.OK;
    }

    private static byte[] lastReportOfFailures(Harness harness) {
        List<byte[]> reports =
                harness.told.stream()
                        .filter(data -> data[0] == LOAD_REPORT && data[RESTS_OFFSET] > 0)
                        .toList();
        return reports.get(reports.size() - 1);
    }

    @ParameterizedTest
    @ValueSource(ints = {14, 100})
    void balancerSendsBytes(int balancers) {
        assertEquals(
                GoldenFiles.text("load-gossip/sent-in-fleet-of-" + balancers + ".hex"),
                GoldenFiles.hexLines(sentInFleetOf(balancers)));
    }

    @Test
    void bytesSentInSmallFleetGiveValues() {
        assertEquals(
                new PeerMessage(
                        9,
                        171,
                        List.of(
                                new Queue(7_953, 7),
                                new Queue(2_386, 7),
                                new Queue(3_714, 7),
                                new Queue(6_872, 7),
                                new Queue(170, 7),
                                new Queue(5_063, 7),
                                new Queue(4_735, 7),
                                new Queue(4_671, 7),
                                new Queue(413, 7),
                                new Queue(2_204, 7),
                                new Queue(870, 7)),
                        List.of(new Rest(4_671, 1, 1_800_000), new Rest(6_872, 1, 1_900_000)),
                        List.of(5_267)),
                PeerMessage.decode(GoldenFiles.bytes("load-gossip/sent-in-fleet-of-14.hex")));
    }

    @Test
    void bytesSentInLargeFleetGiveValues() {
        assertEquals(
                new PeerMessage(
                        9,
                        107,
                        List.of(
                                new Queue(2_386, 7),
                                new Queue(3_714, 7),
                                new Queue(170, 7),
                                new Queue(6_872, 7),
                                new Queue(7_953, 2),
                                new Queue(870, 2),
                                new Queue(2_204, 1),
                                new Queue(413, 1)),
                        List.of(new Rest(6_872, 1, 300_000)),
                        List.of()),
                PeerMessage.decode(GoldenFiles.bytes("load-gossip/sent-in-fleet-of-100.hex")));
    }
}

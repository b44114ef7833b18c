package loadbalancer.simulator;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.io.BufferedReader;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.StringReader;
import java.nio.charset.StandardCharsets;
import java.util.Set;
import java.util.TreeSet;
import java.util.stream.Collectors;
import loadbalancer.GoldenFiles;
import loadbalancer.routing.RoutingEngine;
import org.junit.jupiter.api.Test;

/**
 * A session on the simulator's wire with the real routing policy, byte for byte: two balancers, a
 * restart, failing and overloaded endpoints, list changes and gossip. The wording of log lines is
 * no part of the wire and has a golden file of its own, in the words of the version that recorded
 * it ({@link RecordedLogLines}); the session's output has only the places of these lines.
 */
class GoldenSimulatorSessionTest {
    private static final String REMARK = "REMARK";

    private static String output() throws IOException {
        ByteArrayOutputStream out = new ByteArrayOutputStream();
        BufferedReader in =
                new BufferedReader(
                        new StringReader(GoldenFiles.text("simulator-wire/session-in.tsv")));
        new SimulatorAdapter(RoutingEngine::new, in, out).run();
        return out.toString(StandardCharsets.UTF_8);
    }

    private static Set<String> messageNames(String frames) {
        return frames.lines()
                .map(line -> line.split("\t")[0])
                .collect(Collectors.toCollection(TreeSet::new));
    }

    @Test
    void framesInGiveFramesOut() throws IOException {
        String withoutWording =
                output().lines()
                        .map(line -> line.startsWith(REMARK + "\t") ? REMARK : line)
                        .collect(Collectors.joining("\n", "", "\n"));
        assertEquals(GoldenFiles.text("simulator-wire/session-out.tsv"), withoutWording);
    }

    @Test
    void framesInGiveLogLines() throws IOException {
        String wording =
                output().lines()
                        .filter(line -> line.startsWith(REMARK + "\t"))
                        .map(line -> line.substring(REMARK.length() + 1))
                        .collect(Collectors.joining("\n", "", "\n"));
        String recorded =
                GoldenFiles.text("simulator-wire/session-remarks.txt")
                        .lines()
                        .map(RecordedLogLines::inPresentWording)
                        .collect(Collectors.joining("\n", "", "\n"));
        assertEquals(recorded, wording);
    }

    @Test
    void sessionHasTheMessagesThatTheRoutingPolicyMeets() {
        assertEquals(
                Set.of(
                        "ACK_FIRST",
                        "AT",
                        "DUE",
                        "ENLIST",
                        "EXIT",
                        "GO",
                        "INBOUND",
                        "ITEM",
                        "LIST",
                        "MAIL",
                        "RESPONSE",
                        "SYNC",
                        "TICK",
                        "WITHDRAWN"),
                messageNames(GoldenFiles.text("simulator-wire/session-in.tsv")));
        assertEquals(
                Set.of(
                        "BROADCAST_TO",
                        "DELIVER",
                        "DONE",
                        "ERROR",
                        "ON_BEHALF",
                        "REFUSE",
                        REMARK,
                        "SLEEP",
                        "UNDO_SEND",
                        "WATCH"),
                messageNames(GoldenFiles.text("simulator-wire/session-out.tsv")));
    }
}

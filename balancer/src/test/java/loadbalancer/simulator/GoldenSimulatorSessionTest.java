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
 * Compares the output of a simulator session with the real routing policy with golden files byte
 * for byte. The session has two balancers, a restart, failing and overloaded endpoints, list
 * changes and gossip. The text of log lines is not part of the wire protocol. It has a separate
 * golden file with the wording of the version that recorded it ({@link RecordedLogLines}); the
 * golden output contains only the positions of the log lines.
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
    void inputFramesProduceOutputFrames() throws IOException {
        String withoutLogText =
                output().lines()
                        .map(line -> line.startsWith(REMARK + "\t") ? REMARK : line)
                        .collect(Collectors.joining("\n", "", "\n"));
        assertEquals(GoldenFiles.text("simulator-wire/session-out.tsv"), withoutLogText);
    }

    @Test
    void inputFramesProduceLogLines() throws IOException {
        String logLines =
                output().lines()
                        .filter(line -> line.startsWith(REMARK + "\t"))
                        .map(line -> line.substring(REMARK.length() + 1))
                        .collect(Collectors.joining("\n", "", "\n"));
        String expectedLogLines =
                GoldenFiles.text("simulator-wire/session-remarks.txt")
                        .lines()
                        .map(RecordedLogLines::toCurrentWording)
                        .collect(Collectors.joining("\n", "", "\n"));
        assertEquals(expectedLogLines, logLines);
    }

    @Test
    void sessionContainsMessagesOfRoutingPolicy() {
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

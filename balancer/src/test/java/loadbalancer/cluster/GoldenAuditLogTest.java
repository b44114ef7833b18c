package loadbalancer.cluster;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.fasterxml.jackson.jr.ob.JSON;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.regex.Pattern;
import loadbalancer.GoldenFiles;
import loadbalancer.lease.Lease;
import loadbalancer.membership.MemberStatus;
import loadbalancer.membership.MemberUpdate;
import loadbalancer.membership.MembershipView;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/**
 * Compares the lines of the cluster's audit log byte for byte, except for the time of writing. That
 * is the wall clock's, and {@link #RECORDED_AT_MS} replaces it in the golden file.
 */
class GoldenAuditLogTest {
    private static final String FILE = "fleet-record/record.jsonl";
    private static final long RECORDED_AT_MS = 1_764_680_000_123L;
    private static final long MAX_EPOCH = (1L << 48) - 1;
    private static final Pattern WRITTEN_AT =
            Pattern.compile("^\\{\"at_ms\":(\\d+),", Pattern.MULTILINE);

    @TempDir private Path directory;
    private final List<String> log = new ArrayList<>();

    private static MembershipView viewWithEachStatus() {
        return new MembershipView(
                Long.MAX_VALUE,
                3,
                List.of(
                        new MemberUpdate(0, MemberStatus.ALIVE, 1),
                        new MemberUpdate(1, MemberStatus.SUSPECTED, 2),
                        new MemberUpdate(2, MemberStatus.DEAD, 3),
                        new MemberUpdate(3, MemberStatus.ALIVE, 4),
                        new MemberUpdate(4, MemberStatus.LEFT, 5)));
    }

    private static MembershipView viewWithoutMajority() {
        return new MembershipView(0, 0, List.of(new MemberUpdate(0, MemberStatus.LEFT, 0)));
    }

    /** Writes two records in {@code directory} as a lease holder and returns the file's text. */
    static String writeAuditLog(Path directory, List<String> log) throws IOException {
        ClusterAuditLog maximalRecordLog = new ClusterAuditLog(directory, 16_383, log::add);
        maximalRecordLog.appendAsync(
                new Lease(MAX_EPOCH, Long.MAX_VALUE), viewWithEachStatus(), Runnable::run);
        ClusterAuditLog minimalRecordLog = new ClusterAuditLog(directory, 0, log::add);
        minimalRecordLog.appendAsync(
                new Lease(0, Long.MAX_VALUE), viewWithoutMajority(), Runnable::run);
        return WRITTEN_AT
                .matcher(Files.readString(directory.resolve("record-1")))
                .replaceAll("{\"at_ms\":" + RECORDED_AT_MS + ",");
    }

    @Test
    void writtenLinesMatchGoldenFile() throws IOException {
        assertEquals(GoldenFiles.text(FILE), writeAuditLog(directory, log));
        assertTrue(
                log.get(0)
                        .matches(
                                "lease used: key=fleet-record epoch=281474976710655 at_micros=\\d+"),
                log.toString());
        assertTrue(
                log.get(1).matches("lease used: key=fleet-record epoch=0 at_micros=\\d+"),
                log.toString());
        assertEquals(2, log.size());
    }

    @Test
    void timeOfWritingIsWallClockTime() throws IOException {
        long before = System.currentTimeMillis();
        new ClusterAuditLog(directory, 0, log::add)
                .appendAsync(new Lease(0, Long.MAX_VALUE), viewWithoutMajority(), Runnable::run);
        Object at = JSON.std.mapFrom(Files.readString(directory.resolve("record-1"))).get("at_ms");
        assertTrue(before <= (Long) at && (Long) at <= System.currentTimeMillis(), "at_ms " + at);
    }

    @Test
    void goldenFileHasExpectedValues() throws IOException {
        String[] lines = GoldenFiles.text(FILE).split("\n");
        assertEquals(2, lines.length);
        assertEquals(
                Map.of(
                        "at_ms",
                        RECORDED_AT_MS,
                        "epoch",
                        MAX_EPOCH,
                        "balancer",
                        16_383,
                        "view",
                        Long.MAX_VALUE,
                        "with_most",
                        true,
                        "present",
                        List.of(0, 1, 3)),
                JSON.std.mapFrom(lines[0]));
        assertEquals(
                Map.of(
                        "at_ms",
                        RECORDED_AT_MS,
                        "epoch",
                        0,
                        "balancer",
                        0,
                        "view",
                        0,
                        "with_most",
                        false,
                        "present",
                        List.of()),
                JSON.std.mapFrom(lines[1]));
    }
}

package loadbalancer.dispatch;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** Tests which ids count as claimed, within a process and across two that share a directory. */
class RequestIdsTest {
    private static final int MANY_IDS = 100_000;

    @TempDir private Path directory;

    @Test
    void idIsClaimedOnceUntilItIsReleased() {
        RequestIds ids = RequestIds.inMemory();
        int claim = ids.claim("r1");
        assertNotEquals(RequestIds.ALREADY_CLAIMED, claim);
        assertEquals(RequestIds.ALREADY_CLAIMED, ids.claim("r1"));
        ids.release(claim, "r1");
        assertNotEquals(RequestIds.ALREADY_CLAIMED, ids.claim("r1"));
    }

    /** The table has a fixed size, so that new ids take the places of the oldest. */
    @Test
    void latestIdsAreRememberedAmongEverNewOnes() {
        RequestIds ids = RequestIds.inMemory();
        for (int i = 0; i < MANY_IDS; i++) {
            assertNotEquals(RequestIds.ALREADY_CLAIMED, ids.claim("id" + i));
            assertEquals(RequestIds.ALREADY_CLAIMED, ids.claim("id" + i));
        }
        assertEquals(RequestIds.ALREADY_CLAIMED, ids.claim("id" + (MANY_IDS - 100)));
        assertNotEquals(RequestIds.ALREADY_CLAIMED, ids.claim("id0"));
    }

    /** A release by a request whose place has been taken must not release another id. */
    @Test
    void releaseOfAnIdThatWasReplacedChangesNothing() {
        RequestIds ids = RequestIds.inMemory();
        int claim = ids.claim("r1");
        ids.release(claim, "r2");
        assertEquals(RequestIds.ALREADY_CLAIMED, ids.claim("r1"));
    }

    @Test
    void processesOfOneDirectoryShareTheirIds() throws IOException {
        RequestIds before = RequestIds.sharedIn(directory);
        int claim = before.claim("r1");
        RequestIds after = RequestIds.sharedIn(directory);
        assertEquals(RequestIds.ALREADY_CLAIMED, after.claim("r1"));
        before.release(claim, "r1");
        assertNotEquals(RequestIds.ALREADY_CLAIMED, after.claim("r1"));
        assertEquals(RequestIds.ALREADY_CLAIMED, before.claim("r1"));
    }

    /** A kill may leave the file half written. */
    @Test
    void shortFileIsCompleted() throws IOException {
        RequestIds.sharedIn(directory).claim("r1");
        Path file;
        try (var files = Files.list(directory)) {
            file = files.findFirst().orElseThrow();
        }
        Files.write(file, new byte[1_001]);
        assertNotEquals(RequestIds.ALREADY_CLAIMED, RequestIds.sharedIn(directory).claim("r1"));
    }

    @Test
    void missingDirectoryIsAnError() {
        assertThrows(IOException.class, () -> RequestIds.sharedIn(directory.resolve("none")));
    }
}

package junctionhead.state;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

class SnapshotsTest {
    private static final String OWNER = "site/n1";

    private static byte[] content(int n) {
        // Some sectors
        byte[] bytes = new byte[2_600 + n % 50];
        java.util.Arrays.fill(bytes, (byte) n);
        return bytes;
    }

    /** A way to keep snapshots: the program's, or one with a mistake. */
    private interface Keeping {
        void keep(Snapshots by, CrashDisk disk, int n) throws IOException;
    }

    /** Plays it, and at every folder that a loss of power could leave asks what is recovered. */
    private static final class Explorer {
        private final Keeping keeping;
        private long folders;
        // Kept, said the program
        private int promised;
        private int begun;
        private String wrong;

        Explorer(Keeping keeping) {
            this.keeping = keeping;
        }

        void play(int snapshots) throws IOException {
            CrashDisk disk = new CrashDisk(this::look);
            Snapshots by = new Snapshots(disk, OWNER, "snapshot");
            for (begun = 1; begun <= snapshots; begun++) {
                keeping.keep(by, disk, begun);
                promised = begun;
            }
        }

        private void look(Map<String, byte[]> folder) {
            folders++;
            Snapshot found =
                    new Snapshots(CrashDisk.holding(folder), OWNER, "snapshot").recover().newest();
            int n = found == null ? 0 : (int) found.at();
            boolean whole = found == null || java.util.Arrays.equals(content(n), found.content());
            if (wrong == null && (!whole || n < promised || n > begun)) {
                wrong =
                        "recovered "
                                + n
                                + (whole ? "" : ", not whole")
                                + " where "
                                + promised
                                + " was promised";
            }
        }
    }

    @Test
    void noLossOfPowerLosesWhatWasPromised() throws IOException {
        Explorer explorer = new Explorer((by, disk, n) -> by.keep(n, 1, content(n)));
        explorer.play(3_200);
        assertNull(explorer.wrong);
        assertTrue(explorer.folders > 100_000, explorer.folders + " folders");
    }

    /** The same steps with one left out or wrong: the explorer must say so. */
    @ParameterizedTest
    @ValueSource(
            strings = {
                "no sync of the file",
                "no sync of the folder",
                "old ones removed first",
                "written in place"
            })
    void aMistakeInTheOrderIsFound(String mistake) throws IOException {
        Explorer explorer =
                new Explorer(
                        (by, disk, n) -> {
                            byte[] bytes = new Snapshot(n, n, 1, OWNER, content(n)).encode();
                            String name =
                                    mistake.equals("written in place")
                                            ? "snapshot-1"
                                            : "snapshot-" + n;
                            if (mistake.equals("written in place")) {
                                bytes = new Snapshot(1, n, 1, OWNER, content(n)).encode();
                            }
                            if (mistake.equals("old ones removed first")) {
                                disk.delete("snapshot-" + (n - 1));
                                disk.syncFolder();
                            }
                            disk.write("unfinished", bytes);
                            if (!mistake.equals("no sync of the file")) {
                                disk.sync("unfinished");
                            }
                            disk.rename("unfinished", name);
                            if (!mistake.equals("no sync of the folder")) {
                                disk.syncFolder();
                            }
                            if (mistake.equals("written in place")) {
                                // As if the file were changed where it stands
                                disk.write(name, bytes);
                                disk.syncFolder();
                            }
                        });
        explorer.play(3);
        assertFalse(explorer.wrong == null, mistake);
    }

    /** Any one byte changed anywhere is seen: the checksum is over all. */
    @Test
    void aFlippedBitAnywhereIsSeen() {
        byte[] good = new Snapshot(3, 4, 5, OWNER, content(7)).encode();
        assertArrayEquals(content(7), Snapshot.read(good, OWNER).snapshot().content());
        for (int i = 0; i < good.length; i++) {
            byte[] bad = good.clone();
            bad[i] ^= 1;
            assertNull(Snapshot.read(bad, OWNER).snapshot(), "byte " + i);
        }
        for (int length = 0; length < good.length; length++) {
            assertNull(
                    Snapshot.read(java.util.Arrays.copyOf(good, length), OWNER).snapshot(),
                    length + " bytes");
        }
    }

    @Test
    void anyBytesAreReadWithoutError() {
        SplittableRandom random = new SplittableRandom(5);
        byte[] good = new Snapshot(3, 4, 5, OWNER, content(1)).encode();
        for (int i = 0; i < 100_000; i++) {
            byte[] bytes = java.util.Arrays.copyOf(good, random.nextInt(200));
            for (int j = 16; j < bytes.length; j++) {
                bytes[j] = (byte) random.nextInt();
            }
            assertNull(Snapshot.read(bytes, OWNER).snapshot());
        }
    }

    @ParameterizedTest
    @CsvSource({"0, no mark", "7, other version", "11, length", "15, checksum", "40, checksum"})
    void theNewestDamagedFallsBackToTheOneBeforeAndSaysSo(int at, String flaw, @TempDir Path dir)
            throws IOException {
        FolderDisk disk = new FolderDisk(dir);
        Snapshots by = new Snapshots(disk, OWNER, "snapshot");
        by.keep(1, 1, content(1));
        by.keep(2, 1, content(2));
        by.keep(3, 1, content(3));
        assertEquals(List.of("snapshot-2", "snapshot-3"), disk.list());
        byte[] bytes = Files.readAllBytes(dir.resolve("snapshot-3"));
        bytes[at] ^= 1;
        Files.write(dir.resolve("snapshot-3"), bytes);
        Snapshots later = new Snapshots(disk, OWNER, "snapshot");
        Snapshots.Recovered found = later.recover();
        assertEquals(2, found.newest().at());
        assertEquals(List.of("snapshot-3: " + flaw), found.dropped());
        // Never under a name that was used
        assertEquals(4, later.keep(4, 2, content(4)));
    }

    @Test
    void allDamagedOrAnothersIsAStartWithout(@TempDir Path dir) throws IOException {
        FolderDisk disk = new FolderDisk(dir);
        new Snapshots(disk, "site/n2", "snapshot").keep(1, 1, content(1));
        Files.writeString(dir.resolve("snapshot-9"), "");
        Files.writeString(dir.resolve("notes"), "nothing of ours");
        Snapshots.Recovered found = new Snapshots(disk, OWNER, "snapshot").recover();
        assertNull(found.newest());
        assertEquals(List.of("snapshot-9: short", "snapshot-1: other owner"), found.dropped());
    }

    /**
     * A disk that fails at one of its operations: an error is said, and what was kept before still
     * is.
     */
    @ParameterizedTest
    @ValueSource(strings = {"write", "sync", "rename", "syncFolder", "delete"})
    void aFailingDiskLosesNothingThatWasKept(String failing) throws IOException {
        CrashDisk inner = new CrashDisk(folder -> {});
        List<String> now = new ArrayList<>();
        Disk disk =
                (Disk)
                        java.lang.reflect.Proxy.newProxyInstance(
                                Disk.class.getClassLoader(),
                                new Class<?>[] {Disk.class},
                                (proxy, method, arguments) -> {
                                    if (now.contains(method.getName())) {
                                        throw new IOException("no space left");
                                    }
                                    return method.invoke(inner, arguments);
                                });
        Snapshots by = new Snapshots(disk, OWNER, "snapshot");
        by.keep(1, 1, content(1));
        by.keep(2, 1, content(2));
        now.add(failing);
        assertThrows(IOException.class, () -> by.keep(3, 1, content(3)));
        now.clear();
        assertTrue(new Snapshots(inner, OWNER, "snapshot").recover().newest().at() >= 2);
        by.keep(4, 1, content(4));
        assertEquals(4, new Snapshots(inner, OWNER, "snapshot").recover().newest().at());
    }

    @Test
    void moreThanASnapshotMayHoldIsRefused() {
        assertThrows(
                IllegalArgumentException.class,
                () -> new Snapshot(1, 1, 1, OWNER, new byte[Snapshot.BYTES_MOST]).encode());
    }
}

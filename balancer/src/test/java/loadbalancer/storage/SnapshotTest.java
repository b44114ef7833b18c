package loadbalancer.storage;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.io.IOException;
import java.util.Arrays;
import java.util.SplittableRandom;
import org.junit.jupiter.api.Test;

/** Tests {@link Snapshot}: corrupt and oversized files are rejected. */
class SnapshotTest {
    private static final String OWNER = "site/n1";

    /** Returns a content of several sectors that depends on {@code sequence}. */
    static byte[] contentOf(int sequence) {
        byte[] bytes = new byte[2_600 + sequence % 50];
        Arrays.fill(bytes, (byte) sequence);
        return bytes;
    }

    /** The checksum covers the whole file, so any flipped bit and any missing byte is detected. */
    @Test
    void bitFlipAndTruncationAreDetected() throws IOException {
        byte[] valid = new Snapshot(3, 4, 5, OWNER, contentOf(7)).encode();
        assertArrayEquals(contentOf(7), Snapshot.decode(valid, OWNER).content());
        for (int i = 0; i < valid.length; i++) {
            byte[] corrupted = valid.clone();
            corrupted[i] ^= 1;
            assertThrows(
                    CorruptSnapshotException.class,
                    () -> Snapshot.decode(corrupted, OWNER),
                    "byte " + i);
        }
        for (int length = 0; length < valid.length; length++) {
            byte[] truncated = Arrays.copyOf(valid, length);
            assertThrows(
                    CorruptSnapshotException.class,
                    () -> Snapshot.decode(truncated, OWNER),
                    length + " bytes");
        }
    }

    @Test
    void randomBytesAreRejected() {
        SplittableRandom random = new SplittableRandom(5);
        byte[] valid = new Snapshot(3, 4, 5, OWNER, contentOf(1)).encode();
        for (int i = 0; i < 100_000; i++) {
            byte[] bytes = Arrays.copyOf(valid, random.nextInt(200));
            for (int j = 16; j < bytes.length; j++) {
                bytes[j] = (byte) random.nextInt();
            }
            assertThrows(CorruptSnapshotException.class, () -> Snapshot.decode(bytes, OWNER));
        }
    }

    @Test
    void oversizedSnapshotIsRejected() {
        assertThrows(
                SnapshotTooLargeException.class,
                () -> new Snapshot(1, 1, 1, OWNER, new byte[Snapshot.MAX_BYTES]).encode());
    }
}

package loadbalancer.dispatch;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.channels.FileChannel;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardOpenOption;
import java.util.concurrent.TimeUnit;
import loadbalancer.util.Hashing;

/**
 * Remembers the ids of requests that may have run, so that none is forwarded again when it comes
 * again, for instance after its client has left. Two processes of one balancer, of which one takes
 * over from the other, share the ids by a file that both map into their memory.
 *
 * <p>A table of fixed size: an id belongs to one bucket, in which it takes the place of the oldest
 * id. An id is remembered for a minute, or until {@value #WAYS} later ones have needed its bucket.
 * The time is that of the system's monotonic clock, which all processes of a machine read. Event
 * loop thread only; the processes that share a file need no lock, because a client does not send
 * one id to both within the time of a call.
 */
public final class RequestIds {
    /** Returned by {@link #claim} for an id that may have run. */
    static final int ALREADY_CLAIMED = -1;

    private static final int BUCKETS = 1_024;
    private static final int WAYS = 8;
    private static final int ENTRY_BYTES = 2 * Long.BYTES;
    private static final int TABLE_BYTES = BUCKETS * WAYS * ENTRY_BYTES;
    private static final long RETENTION_MS = 60_000;
    // Names the format of the file too.
    private static final String FILE_NAME = "load-balancer-request-ids-1";

    // Each entry is the hash of an id, 0 if there is none, and the time in ms of its claim.
    private final ByteBuffer table;

    private RequestIds(ByteBuffer table) {
        this.table = table;
    }

    /** Creates an empty table that no other process shares. */
    public static RequestIds inMemory() {
        return new RequestIds(ByteBuffer.allocateDirect(TABLE_BYTES));
    }

    /**
     * Opens the table that the processes of a balancer share, or creates it. May be called on any
     * thread.
     *
     * @param directory a directory of this balancer alone
     * @throws IOException if the file can't be created or mapped
     */
    public static RequestIds sharedIn(Path directory) throws IOException {
        Path file = directory.resolve(FILE_NAME);
        try (FileChannel channel =
                FileChannel.open(
                        file,
                        StandardOpenOption.CREATE,
                        StandardOpenOption.READ,
                        StandardOpenOption.WRITE)) {
            allocate(channel);
            return new RequestIds(channel.map(FileChannel.MapMode.READ_WRITE, 0, TABLE_BYTES));
        } catch (IOException e) {
            // A file that is too short to be mapped must not be found by the next process.
            Files.deleteIfExists(file);
            throw e;
        }
    }

    // Writes the whole file, because a write to a mapped page for which the disk has no space ends
    // the process.
    private static void allocate(FileChannel channel) throws IOException {
        long size = channel.size();
        if (size < TABLE_BYTES) {
            ByteBuffer zeros = ByteBuffer.allocate((int) (TABLE_BYTES - size));
            while (zeros.hasRemaining()) {
                channel.write(zeros, size + zeros.position());
            }
        }
    }

    /**
     * Claims an id for a request that is about to be forwarded.
     *
     * @return the claim, for {@link #release}, or {@link #ALREADY_CLAIMED} if the id was claimed
     *     before
     */
    int claim(String requestId) {
        long hash = hash(requestId);
        long nowMs = nowMillis();
        int firstEntry = (int) (hash & (BUCKETS - 1)) * WAYS;
        int oldestEntry = firstEntry;
        long oldestMs = Long.MAX_VALUE;
        for (int entry = firstEntry; entry < firstEntry + WAYS; entry++) {
            long claimedMs = claimTime(entry, nowMs);
            if (claimedMs >= 0 && table.getLong(entry * ENTRY_BYTES) == hash) {
                return ALREADY_CLAIMED;
            }
            if (claimedMs < oldestMs) {
                oldestMs = claimedMs;
                oldestEntry = entry;
            }
        }
        table.putLong(oldestEntry * ENTRY_BYTES + Long.BYTES, nowMs);
        table.putLong(oldestEntry * ENTRY_BYTES, hash);
        return oldestEntry;
    }

    /** Gives up the claim of a request that cannot have run, so that it may be sent again. */
    void release(int claim, String requestId) {
        if (table.getLong(claim * ENTRY_BYTES) == hash(requestId)) {
            table.putLong(claim * ENTRY_BYTES, 0);
        }
    }

    // Returns -1 for an entry that is free, expired, or of an earlier boot of the machine.
    private long claimTime(int entry, long nowMs) {
        if (table.getLong(entry * ENTRY_BYTES) == 0) {
            return -1;
        }
        long claimedMs = table.getLong(entry * ENTRY_BYTES + Long.BYTES);
        return claimedMs > nowMs || nowMs - claimedMs > RETENTION_MS ? -1 : claimedMs;
    }

    private static long hash(String requestId) {
        long hash = Hashing.hash(requestId);
        return hash == 0 ? 1 : hash;
    }

    private static long nowMillis() {
        return TimeUnit.NANOSECONDS.toMillis(System.nanoTime());
    }
}

package loadbalancer.proxy;

import io.netty.handler.codec.http.HttpHeaders;
import java.util.Iterator;
import java.util.Map;

/**
 * The one limit on the heap that all clients and upstreams of a process together make it retain,
 * from the first byte that is read until it is freed. Each part counts in {@code total}.
 *
 * <p>What it does not count is bounded by the number of file descriptors: the objects of a
 * connection itself, some 3 KB, and one read of each.
 *
 * @param total the sum: heads in progress, buffered requests and responses, streamed bodies
 * @param pipelined requests that wait behind another one of their connection, with their heads
 * @param streamed the parts of streamed bodies that are buffered on their way
 */
public record PeerMemory(MemoryBudget total, MemoryBudget pipelined, MemoryBudget streamed) {
    /**
     * Share of the heap for all together. Of 40 MB this is enough for 341 requests with bodies of
     * 64 KiB, as many as clients may have at once with 1,024 descriptors.
     */
    private static final int MAX_TOTAL_PERCENT_OF_HEAP = 60;

    /** So that clients that send much at once leave room for those that send one request. */
    private static final int MAX_PIPELINED_PERCENT_OF_HEAP = 10;

    private static final int MAX_STREAMED_PERCENT_OF_HEAP = 10;

    private static final int BYTES_PER_KB = 1_024;

    /**
     * Estimated heap in bytes that a header field takes beside its characters: its entry, its name
     * in two forms and its value, each with an array.
     */
    private static final int FIELD_BYTES = 160;

    /** Creates the limits of a process with a heap of up to {@code maxHeapBytes}. */
    public static PeerMemory forHeap(long maxHeapBytes) {
        long percent = maxHeapBytes / 100;
        return of(
                percent * MAX_TOTAL_PERCENT_OF_HEAP,
                percent * MAX_PIPELINED_PERCENT_OF_HEAP,
                percent * MAX_STREAMED_PERCENT_OF_HEAP);
    }

    /** Creates limits in bytes. */
    public static PeerMemory of(long maxTotalBytes, long maxPipelinedBytes, long maxStreamedBytes) {
        MemoryBudget total = new MemoryBudget(maxTotalBytes);
        return new PeerMemory(
                total, total.newPart(maxPipelinedBytes), total.newPart(maxStreamedBytes));
    }

    /** Returns the estimated heap in bytes of header fields with {@code characters} in all. */
    public static int fieldBytes(int fields, int characters) {
        return fields * FIELD_BYTES + characters;
    }

    /** Returns the estimated heap in bytes of the fields of a head. */
    public static int headBytes(HttpHeaders headers) {
        int fields = 0;
        int characters = 0;
        // Converts no name or value to a string, which the headers would retain.
        Iterator<Map.Entry<CharSequence, CharSequence>> iterator = headers.iteratorCharSequence();
        while (iterator.hasNext()) {
            Map.Entry<CharSequence, CharSequence> field = iterator.next();
            fields++;
            characters += field.getKey().length() + field.getValue().length();
        }
        return fieldBytes(fields, characters);
    }

    /** Returns the reserved bytes in the format of the log's counters line. */
    @Override
    public String toString() {
        return String.format(
                "%d of %d KB for clients and upstreams (%d KB pipelined, %d KB streamed)",
                total.usedBytes() / BYTES_PER_KB,
                total.maxBytes() / BYTES_PER_KB,
                pipelined.usedBytes() / BYTES_PER_KB,
                streamed.usedBytes() / BYTES_PER_KB);
    }
}

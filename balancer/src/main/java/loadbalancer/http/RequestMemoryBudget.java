package loadbalancer.http;

/**
 * Limits the memory of buffered requests, all clients of a process together: request bodies that
 * are being received, that wait for their turn, or that are kept until their final response.
 * Without a common limit, many clients that each buffer little exhaust the heap.
 *
 * <p>Requests that are pipelined behind another one have a smaller limit of their own, so that
 * clients that send much at once leave room for those that send one request at a time. A request
 * that does not fit is rejected with 503 and its connection closed; its client may try again.
 *
 * <p>Owned by {@link FrontendContext}; confined to the event loop.
 */
final class RequestMemoryBudget {
    /**
     * Share of the heap for all requests together. Of 40 MB this is enough for 341 requests with
     * bodies of the maximum length, as many as clients may have at once with 1,024 descriptors.
     */
    private static final int MAX_TOTAL_PERCENT_OF_HEAP = 60;

    /** Share of the heap for all requests that are pipelined behind another one. */
    private static final int MAX_PIPELINED_PERCENT_OF_HEAP = 10;

    /**
     * Bytes of a request that need no budget unless it is pipelined. Clients with short bodies are
     * served while others use up the budget; the number of connections limits the total.
     */
    static final int MAX_FREE_BYTES = 4 * 1024;

    private static final int BYTES_PER_KB = 1024;

    private final long maxTotalBytes;
    private final long maxPipelinedBytes;
    private long totalBytes;
    private long pipelinedBytes;

    /**
     * Creates a budget of which nothing is reserved.
     *
     * @param maxTotalBytes the limit for all requests together
     * @param maxPipelinedBytes the limit for the requests that are pipelined behind another one
     */
    RequestMemoryBudget(long maxTotalBytes, long maxPipelinedBytes) {
        this.maxTotalBytes = maxTotalBytes;
        this.maxPipelinedBytes = maxPipelinedBytes;
    }

    /** Creates a budget for a process with a heap of up to {@code maxHeapBytes}. */
    static RequestMemoryBudget forHeap(long maxHeapBytes) {
        return new RequestMemoryBudget(
                maxHeapBytes / 100 * MAX_TOTAL_PERCENT_OF_HEAP,
                maxHeapBytes / 100 * MAX_PIPELINED_PERCENT_OF_HEAP);
    }

    /** Returns the reserved bytes. */
    long totalBytes() {
        return totalBytes;
    }

    /** Returns the reserved bytes of requests that are pipelined behind another one. */
    long pipelinedBytes() {
        return pipelinedBytes;
    }

    /** Returns the reserved bytes in the format of the log's counters line. */
    @Override
    public String toString() {
        return String.format(
                "%d of %d KB for requests (%d KB pipelined)",
                totalBytes / BYTES_PER_KB,
                maxTotalBytes / BYTES_PER_KB,
                pipelinedBytes / BYTES_PER_KB);
    }

    /** Creates a reservation without any bytes. */
    Reservation newReservation(boolean pipelined) {
        return new Reservation(pipelined);
    }

    /** The memory of one request, from its head until its final response. */
    final class Reservation {
        private int bytes;
        private boolean pipelined;

        private Reservation(boolean pipelined) {
            this.pipelined = pipelined;
        }

        /**
         * Reserves more memory.
         *
         * @param neededBytes the bytes that the request needs from now on, in all
         * @return false if they exceed a limit; the reservation is then unchanged
         */
        boolean growTo(int neededBytes) {
            boolean isFree = !pipelined && neededBytes <= MAX_FREE_BYTES;
            int additionalBytes = neededBytes - bytes;
            if (isFree || additionalBytes <= 0) {
                return true;
            }
            if (totalBytes + additionalBytes > maxTotalBytes) {
                return false;
            }
            if (pipelined && pipelinedBytes + additionalBytes > maxPipelinedBytes) {
                return false;
            }
            add(additionalBytes);
            return true;
        }

        /** Records that the request is no longer behind another one. */
        void onTurn() {
            if (pipelined) {
                pipelinedBytes -= bytes;
                pipelined = false;
            }
        }

        /** Releases the memory. */
        void release() {
            add(-bytes);
        }

        private void add(int deltaBytes) {
            bytes += deltaBytes;
            totalBytes += deltaBytes;
            if (pipelined) {
                pipelinedBytes += deltaBytes;
            }
        }
    }
}

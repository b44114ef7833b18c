package loadbalancer.http;

/**
 * Tells since when the last byte of a client's request may have been sent, which is when its time
 * begins. While an upstream does not take a body, the balancer does not read it, and sees neither
 * its last byte nor a pause before it. The client can't have sent its last byte before
 *
 * <ul>
 *   <li>the receive buffer was last seen empty, since everything sent until then had been read;
 *   <li>the time at which fewer bytes had arrived than have by now, by more than the client's
 *       system can buffer.
 * </ul>
 *
 * <p>Confined to the event loop.
 */
final class ArrivalMonitor {
    /** The largest send buffer that Linux gives a connection by default. */
    private static final long MAX_SEND_BUFFER_BYTES = 4 * 1024 * 1024;

    private long readBytes;
    // Whether all that had arrived by the last read or check has been read.
    private boolean empty = true;
    private long earliestLastByteNanos = System.nanoTime();
    private long checkpointNanos = earliestLastByteNanos;
    private long checkpointBytes;

    /** Records that bytes have been read. */
    void onRead(int bytes) {
        onBytesSeen(0);
        readBytes += bytes;
        advanceCheckpoint(readBytes);
    }

    /** Records that the receive buffer is empty. */
    void onEmpty() {
        empty = true;
    }

    /** Records the number of bytes in the receive buffer, when reading may be paused. */
    void onCheck(int unreadBytes) {
        if (unreadBytes > 0) {
            onBytesSeen(unreadBytes);
        }
    }

    private void onBytesSeen(int unreadBytes) {
        if (empty) {
            empty = false;
            earliestLastByteNanos = System.nanoTime();
            checkpointNanos = earliestLastByteNanos;
            checkpointBytes = readBytes;
        }
        advanceCheckpoint(readBytes + unreadBytes);
    }

    private void advanceCheckpoint(long arrivedBytes) {
        if (arrivedBytes - checkpointBytes > MAX_SEND_BUFFER_BYTES) {
            earliestLastByteNanos = checkpointNanos;
            checkpointNanos = System.nanoTime();
            checkpointBytes = arrivedBytes;
        }
    }

    /**
     * Returns the time in ns since the earliest time at which the client can have sent its last
     * byte.
     *
     * @param complete whether its last byte has been read; otherwise it has not been sent if all
     *     that has arrived was read
     */
    long nanosSinceLastByte(boolean complete) {
        return empty && !complete ? 0 : System.nanoTime() - earliestLastByteNanos;
    }
}

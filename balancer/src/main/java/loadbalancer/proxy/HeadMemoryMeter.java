package loadbalancer.proxy;

import io.netty.buffer.ByteBuf;

/**
 * Measures the heap that a decoder retains of a head or of trailers that are not complete yet. A
 * head becomes an object for each field while it is received, so that its bytes on the wire say
 * little: a field of four bytes takes a hundred. Confined to the event loop.
 */
final class HeadMemoryMeter {
    private int fields;
    private int consumedBytes;
    private int scratchBytes;
    private boolean inHead;

    /** Records the begin of a message. */
    void onStartLine() {
        inHead = true;
    }

    /**
     * Records a field.
     *
     * @param scratch the decoder's buffer of the field's line, which it keeps for later lines
     */
    void onField(byte[] scratch) {
        fields++;
        scratchBytes = Math.max(scratchBytes, scratch.length);
    }

    /** Records that the head or the trailers are complete, and belong to the decoder's user. */
    void onComplete() {
        inHead = false;
        fields = 0;
        consumedBytes = 0;
    }

    /** Records that the decoder has consumed bytes of its input. */
    void onConsumed(int bytes) {
        if (inHead) {
            consumedBytes += bytes;
        }
    }

    /**
     * Returns the bytes that the decoder retains.
     *
     * @param undecoded the decoder's input that it has not consumed
     */
    int retainedBytes(ByteBuf undecoded) {
        int undecodedBytes = undecoded.isReadable() ? undecoded.capacity() : 0;
        return PeerMemory.fieldBytes(fields, consumedBytes) + undecodedBytes + scratchBytes;
    }
}

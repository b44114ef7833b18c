package loadbalancer.proxy;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufAllocator;
import io.netty.channel.AdaptiveRecvByteBufAllocator;
import io.netty.channel.RecvByteBufAllocator;

/**
 * Allocates the buffers into which the sockets of clients and upstreams are read, which are small
 * while the memory for peers is used up. Buffers are in the heap, so that {@link PeerMemory} counts
 * everything in one unit. Each channel has its own handle, confined to the event loop.
 */
public final class PeerReadAllocator implements RecvByteBufAllocator {
    private static final int MIN_READ_BYTES = 64;
    private static final int INITIAL_READ_BYTES = 2 * 1024;
    private static final int MAX_READ_BYTES = 32 * 1024;
    private static final int MAX_READ_BYTES_AT_LIMIT = 2 * 1024;

    private final PeerMemory memory;
    private final AdaptiveRecvByteBufAllocator adaptive =
            new AdaptiveRecvByteBufAllocator(MIN_READ_BYTES, INITIAL_READ_BYTES, MAX_READ_BYTES);

    /**
     * Creates an allocator.
     *
     * @param maxReadsPerLoop the number of reads after which the event loop proceeds to other
     *     connections
     * @param readUntilEmpty whether to read until the receive buffer is empty, so that a peer's
     *     close is detected together with the data sent before it
     */
    public PeerReadAllocator(PeerMemory memory, int maxReadsPerLoop, boolean readUntilEmpty) {
        this.memory = memory;
        adaptive.maxMessagesPerRead(maxReadsPerLoop);
        adaptive.respectMaybeMoreData(!readUntilEmpty);
    }

    // The interface prescribes the deprecated type.
    @SuppressWarnings("deprecation")
    @Override
    public Handle newHandle() {
        return new PeerReadHandle(adaptive.newHandle());
    }

    @SuppressWarnings("deprecation")
    private final class PeerReadHandle extends DelegatingHandle {
        PeerReadHandle(Handle delegate) {
            super(delegate);
        }

        @Override
        public ByteBuf allocate(ByteBufAllocator allocator) {
            return allocator.heapBuffer(guess());
        }

        @Override
        public int guess() {
            int limit = memory.total().isExhausted() ? MAX_READ_BYTES_AT_LIMIT : MAX_READ_BYTES;
            return Math.min(delegate().guess(), limit);
        }
    }
}

package loadbalancer.proxy;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufAllocator;
import io.netty.channel.AdaptiveRecvByteBufAllocator;
import io.netty.channel.Channel;
import io.netty.channel.ChannelConfig;
import io.netty.channel.RecvByteBufAllocator;

/**
 * Allocates the buffers into which the sockets of clients and upstreams are read, and limits what
 * one peer gets of an event loop iteration: a number of reads, and smaller ones if what it sends
 * consists of many small messages, each of which costs far more time than its bytes. Reads are also
 * small while the memory for peers is nearly used up. Buffers are in the heap, so that {@link
 * PeerMemory} counts everything in one unit. Stateless; each channel has its own handle, confined
 * to the event loop.
 */
public final class PeerReadAllocator implements RecvByteBufAllocator {
    private static final int MIN_READ_BYTES = 64;
    private static final int INITIAL_READ_BYTES = 2 * 1024;
    private static final int MAX_READ_BYTES = 32 * 1024;
    private static final int MAX_READ_BYTES_AT_LIMIT = 2 * 1024;
    private static final int MIN_LIMITED_READ_BYTES = 512;

    /** Decoded messages of one read from which on the next reads of the peer are smaller. */
    private static final int MAX_MESSAGES_PER_READ = 128;

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

    /**
     * Reports how many messages were decoded from one read, which decides the size of the next
     * ones. Does nothing for a channel without a socket.
     */
    public static void reportMessages(Channel channel, int messages) {
        if (channel.unsafe().recvBufAllocHandle() instanceof PeerReadHandle handle) {
            handle.onMessagesDecoded(messages);
        }
    }

    @SuppressWarnings("deprecation")
    private final class PeerReadHandle extends DelegatingHandle {
        private int maxReadBytes = MAX_READ_BYTES;
        private boolean turnOver;

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
            return Math.min(delegate().guess(), Math.min(limit, maxReadBytes));
        }

        @Override
        public void reset(ChannelConfig config) {
            turnOver = false;
            super.reset(config);
        }

        @Override
        public boolean continueReading() {
            return !turnOver && super.continueReading();
        }

        private void onMessagesDecoded(int messages) {
            if (messages > MAX_MESSAGES_PER_READ) {
                turnOver = true;
                maxReadBytes = Math.max(MIN_LIMITED_READ_BYTES, maxReadBytes / 4);
            } else if (maxReadBytes < MAX_READ_BYTES && messages < MAX_MESSAGES_PER_READ / 4) {
                maxReadBytes *= 2;
            }
        }
    }
}

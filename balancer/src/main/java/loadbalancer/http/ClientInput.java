package loadbalancer.http;

import io.netty.channel.Channel;
import loadbalancer.proxy.MemoryReservation;
import loadbalancer.proxy.PeerMemory;
import loadbalancer.proxy.PeerReadAllocator;
import loadbalancer.proxy.StrictFraming;

/**
 * Owns the decoder of one client connection, accounts for the memory that it retains of incomplete
 * heads, and observes when the client's bytes arrive. Confined to the event loop.
 */
final class ClientInput {
    private final Channel channel;
    private final MemoryReservation memory;
    private final ArrivalMonitor arrivals = new ArrivalMonitor();
    // Null once no more requests are decoded, so that nothing of an incomplete one is retained.
    private StrictFraming.RequestDecoder decoder = new StrictFraming.RequestDecoder();

    ClientInput(Channel channel, PeerMemory peerMemory) {
        this.channel = channel;
        this.memory = new MemoryReservation(peerMemory, false);
    }

    /** Returns the decoder, to be added to the pipeline of a new connection. */
    StrictFraming.RequestDecoder newDecoder() {
        return decoder;
    }

    /** Returns whether received bytes remain that are not decoded yet. */
    boolean hasUndecodedBytes() {
        return decoder != null && decoder.hasUndecodedBytes();
    }

    /** Returns the bytes that are reserved for an incomplete head. */
    int reservedBytes() {
        return memory.bytes();
    }

    /** Reserves what the decoder retains; returns false if that exceeds the limit. */
    boolean reserveRetainedBytes() {
        return decoder == null || memory.resizeTo(decoder.retainedBytes());
    }

    /** Records that bytes have been read, before they are decoded. */
    void onRead(int bytes) {
        arrivals.onRead(bytes);
    }

    /** Limits the next reads if what was read consisted of many small messages. */
    void onDecoded() {
        if (decoder != null) {
            PeerReadAllocator.reportMessages(channel, decoder.takeMessageCount());
        }
    }

    /** Records that everything that had arrived has been read. */
    void onEmpty() {
        arrivals.onEmpty();
    }

    /**
     * Returns the time in ns since the earliest time at which the client can have sent the last
     * byte of its request.
     *
     * @param complete whether that byte has been read
     */
    long nanosSinceLastByte(boolean complete) {
        arrivals.onCheck(unreadBytes());
        return arrivals.nanosSinceLastByte(complete);
    }

    /** Returns the number of bytes in the receive buffer; 0 if that is not known. */
    int unreadBytes() {
        return channel instanceof ClientServerChannel.ClientSocketChannel socket
                ? socket.unreadBytes()
                : 0;
    }

    /** Stops decoding and frees what the decoder retains of a request that is not processed. */
    void stopDecoding() {
        if (decoder == null) {
            return;
        }
        StrictFraming.RequestDecoder stoppedDecoder = decoder;
        decoder = null;
        memory.resizeTo(0);
        if (channel.pipeline().context(stoppedDecoder) != null) {
            channel.pipeline().remove(stoppedDecoder);
        }
    }

    /** Releases the memory after the connection has been closed. */
    void onConnectionClosed() {
        memory.release();
    }
}

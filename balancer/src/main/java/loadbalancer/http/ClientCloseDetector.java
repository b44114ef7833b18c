package loadbalancer.http;

import io.netty.channel.Channel;
import io.netty.channel.ChannelInboundHandler;

/**
 * Finds out whether a client has closed its connection, as far as that is possible: a close can be
 * seen only behind everything that the client sent before it. Confined to the event loop.
 */
final class ClientCloseDetector {
    private final Channel channel;
    private final RequestReader reader;
    private final ClientLiveness liveness;

    ClientCloseDetector(Channel channel, RequestReader reader, ClientInput input) {
        this.channel = channel;
        this.reader = reader;
        this.liveness =
                new ClientLiveness(
                        channel,
                        ClientListener.MAX_READS_PER_LOOP,
                        input::unreadBytes,
                        input::onEmpty);
    }

    /** Returns the handler that sees all reads, to be added first to the pipeline. */
    ChannelInboundHandler readHandler() {
        return liveness;
    }

    /**
     * Checks whether the client is connected. Reads from the socket if necessary, except while a
     * long body is received: its relay then detects the client's close, within its limit on
     * buffered bytes.
     */
    ClientLiveness.State check() {
        if (reader.isRelayReading()) {
            return channel.isActive()
                    ? ClientLiveness.State.CONNECTED
                    : ClientLiveness.State.DISCONNECTED;
        }
        return liveness.check();
    }

    /** Returns whether the client has disconnected, as far as {@link #check} finds out. */
    boolean isDisconnected() {
        return check() == ClientLiveness.State.DISCONNECTED;
    }

    /** Returns whether the client has disconnected; reads from the socket in any case. */
    boolean isDisconnectedNow() {
        return liveness.isDisconnected();
    }

    /**
     * Returns whether the client may have disconnected too long ago for an attempt to begin, with
     * its close behind a long body that is not read.
     */
    boolean isCloseHidden() {
        return reader.isRelayReading() && liveness.isCloseHidden();
    }
}

package loadbalancer.testbed.emulation;

import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.socket.SocketChannel;
import io.netty.handler.codec.http.FullHttpRequest;

/**
 * Handles the server's side of one HTTP connection that a balancer has opened to an emulated party.
 * Closes a connection on which an exception occurs. Confined to the emulation's event loop.
 */
abstract class ServerConnection extends SimpleChannelInboundHandler<FullHttpRequest> {
    private final SocketChannel channel;

    /** Creates the handler of a connection, which must be the last in the channel's pipeline. */
    ServerConnection(SocketChannel channel) {
        this.channel = channel;
    }

    /** Returns the channel of the connection. */
    final SocketChannel channel() {
        return channel;
    }

    /** Handles the establishment of the connection. */
    abstract void onOpened();

    /** Handles the end of the connection. */
    abstract void onClosed();

    @Override
    public final void channelActive(ChannelHandlerContext context) {
        onOpened();
    }

    @Override
    public final void channelInactive(ChannelHandlerContext context) {
        onClosed();
    }

    @Override
    public final void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
        channel.close();
    }
}

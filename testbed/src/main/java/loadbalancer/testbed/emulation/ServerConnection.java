package loadbalancer.testbed.emulation;

import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.socket.SocketChannel;
import io.netty.handler.codec.http.FullHttpRequest;

/**
 * The server's side of one HTTP connection that a balancer has opened to an emulated party. A
 * connection on which an exception occurs is closed. Confined to the emulation's event loop.
 */
abstract class ServerConnection extends SimpleChannelInboundHandler<FullHttpRequest> {
    private final SocketChannel channel;

    /** Creates the handler of a connection; it is the last one of the channel's pipeline. */
    ServerConnection(SocketChannel channel) {
        this.channel = channel;
    }

    /** The channel of the connection. */
    final SocketChannel channel() {
        return channel;
    }

    /** Called when the connection is established. */
    abstract void onOpened();

    /** Called when the connection has ended. */
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

package loadbalancer.http;

import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.util.ReferenceCountUtil;

/**
 * The first handler after the decoder: drops messages that follow the last request of a connection
 * and rejects expectations other than 100-continue. Confined to the event loop.
 */
final class RequestFilter extends ChannelInboundHandlerAdapter {
    private final ClientConnection connection;

    RequestFilter(ClientConnection connection) {
        this.connection = connection;
    }

    @Override
    public void channelRead(ChannelHandlerContext context, Object message) {
        connection.markReceiving();
        if (connection.isClosing()) {
            ReferenceCountUtil.release(message);
        } else if (message instanceof HttpRequest request && hasUnsupportedExpectation(request)) {
            connection.rejectIncompleteRequest(request, HttpResponseStatus.EXPECTATION_FAILED);
        } else {
            context.fireChannelRead(message);
        }
    }

    private static boolean hasUnsupportedExpectation(HttpRequest request) {
        return request.headers().contains(HttpHeaderNames.EXPECT)
                && !HttpUtil.is100ContinueExpected(request);
    }
}

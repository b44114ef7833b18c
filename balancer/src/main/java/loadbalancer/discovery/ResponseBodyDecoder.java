package loadbalancer.discovery;

import io.netty.buffer.ByteBuf;
import io.netty.channel.ChannelHandlerContext;
import io.netty.handler.codec.MessageToMessageDecoder;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpObject;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.LastHttpContent;
import java.util.List;

/**
 * Passes on the body of a response with status 200, and closes the connection on any other
 * response. Belongs to the pipeline of one call, on the event loop.
 */
final class ResponseBodyDecoder extends MessageToMessageDecoder<HttpObject> {
    private final DiscoveryCall call;

    ResponseBodyDecoder(DiscoveryCall call) {
        this.call = call;
    }

    @Override
    protected void decode(ChannelHandlerContext context, HttpObject part, List<Object> out) {
        if (part instanceof HttpResponse response && !isUsable(response)) {
            context.close();
            return;
        }
        if (part instanceof HttpContent content && context.channel().isActive()) {
            ByteBuf body = content.content();
            if (body.isReadable()) {
                call.onBodyPart(body);
                out.add(body.retain());
            }
            if (part instanceof LastHttpContent && call.isWatch()) {
                context.close();
            }
        }
    }

    private static boolean isUsable(HttpResponse response) {
        return response.status().code() == HttpResponseStatus.OK.code()
                && response.decoderResult().isSuccess();
    }
}

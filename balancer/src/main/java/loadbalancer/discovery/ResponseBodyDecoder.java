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
 * Passes on the body of a response with status 200, and closes the connection on any other response
 * and on a malformed body. Belongs to the pipeline of one call, on the event loop.
 */
final class ResponseBodyDecoder extends MessageToMessageDecoder<HttpObject> {
    private final DiscoveryCall call;

    ResponseBodyDecoder(DiscoveryCall call) {
        this.call = call;
    }

    @Override
    protected void decode(ChannelHandlerContext context, HttpObject part, List<Object> out) {
        if (!part.decoderResult().isSuccess()
                || (part instanceof HttpResponse response && !isOk(response))) {
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

    private static boolean isOk(HttpResponse response) {
        return response.status().code() == HttpResponseStatus.OK.code();
    }
}

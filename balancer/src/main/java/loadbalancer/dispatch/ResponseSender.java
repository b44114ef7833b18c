package loadbalancer.dispatch;

import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpResponse;
import java.util.function.Consumer;
import loadbalancer.proxy.BodyRelay;

/** Where the one final answer to a request goes. */
public interface ResponseSender {
    /** Whether its client is still there, as of now. */
    boolean isClientConnected();

    /** Served: passes the upstream's body on; the caller keeps the response. */
    void send(FullHttpResponse response);

    /**
     * Served, with an answer that is still coming; {@code onFinished} hears whether it was passed
     * on whole.
     */
    void send(
            HttpResponse responseHead,
            long contentLength,
            BodyRelay body,
            Consumer<Boolean> onFinished);

    void reject(long retryAfterMicros);

    void fail();
}

package loadbalancer.dispatch;

import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpResponse;
import java.util.function.Consumer;
import loadbalancer.proxy.BodyRelay;

/** Receives the one final response to a request; event loop thread only. */
public interface ResponseSender {
    /** Whether the client is still connected, as of now. */
    boolean isClientConnected();

    /** Sends a response of an upstream; the caller keeps it and releases it. */
    void send(FullHttpResponse response);

    /**
     * Sends a response whose body is still arriving.
     *
     * @param contentLength the length of the body in bytes, or -1 where it is unknown
     * @param onFinished called once with whether all of it was sent
     */
    void send(
            HttpResponse responseHead,
            long contentLength,
            BodyRelay body,
            Consumer<Boolean> onFinished);

    /** Rejects the request; {@code retryAfterMicros} 0 gives no Retry-After. */
    void reject(long retryAfterMicros);

    /** Fails the request: it may have run. */
    void fail();
}

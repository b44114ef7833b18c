package loadbalancer.dispatch;

import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpResponse;
import java.util.function.Consumer;
import loadbalancer.proxy.BodyRelay;

/** Sends the one final response to a request's client. Event loop thread only. */
public interface ResponseSender {
    /** Checks the connection and returns whether the client is still connected. */
    boolean isClientConnected();

    /**
     * Returns whether the client may have disconnected too long ago for an attempt to begin,
     * without a way to find out: its close may be behind a long body that is not read.
     */
    boolean isCloseHidden();

    /**
     * Returns the time in µs since the earliest time at which the client can have sent the last
     * byte of the request's body, whether it has been read or not; 0 if it can't have sent it yet.
     */
    long microsSinceBodySent();

    /** Sends a response of an upstream. The caller keeps ownership and releases it. */
    void send(FullHttpResponse response);

    /**
     * Sends a response whose body is still arriving.
     *
     * @param contentLength the length of the body in bytes, or -1 if unknown
     * @param onFinished called once, with true if the whole body was sent
     */
    void send(
            HttpResponse responseHead,
            long contentLength,
            BodyRelay body,
            Consumer<Boolean> onFinished);

    /**
     * Rejects the request.
     *
     * @param retryAfterMicros the value of Retry-After in µs, or 0 for no such header
     */
    void reject(long retryAfterMicros);

    /**
     * Called once, when the request has its final response and none of its attempts is in flight:
     * the dispatcher no longer retains the request.
     */
    void onRequestFinished();

    /** Sends a failure. The request may have run on an upstream. */
    void fail();
}

package loadbalancer.upstream;

import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpResponse;
import loadbalancer.proxy.BodyRelay;
import loadbalancer.routing.api.AttemptOutcome;
import loadbalancer.routing.api.LoadReport;

/** Receives the outcome of one {@link UpstreamRequest}. Called on the event loop's thread. */
public interface UpstreamResponseListener {
    /**
     * Returns whether the request may still be written. Called right before its first byte is
     * written if the request had to wait for a connection. If false, the request ends as {@link
     * AttemptOutcome#NOT_SENT}.
     */
    default boolean mayStart() {
        return true;
    }

    /**
     * Called once when the request has ended, unless it was abandoned.
     *
     * @param response the buffered response, valid only during the call and released by the pool;
     *     null if there was none or it was streamed
     * @param load the load report that came with the response, or null
     */
    void onComplete(AttemptOutcome outcome, FullHttpResponse response, LoadReport load);

    /**
     * Called when the head of a 200 response has arrived and its body is not complete, at most once
     * and before {@link #onResponseStarted}.
     */
    default void onResponseHead() {}

    /**
     * Called when a 200 response begins to be streamed. {@link #onComplete} reports its end,
     * without a response.
     *
     * @param contentLength the length of the body in bytes, or -1 if unknown
     * @param body the body, now owned by the listener
     * @param load the load report in the header, or null
     */
    default void onResponseStarted(
            HttpResponse responseHead, long contentLength, BodyRelay body, LoadReport load) {
        body.discard();
    }
}

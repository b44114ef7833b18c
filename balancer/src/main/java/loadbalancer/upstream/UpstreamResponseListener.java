package loadbalancer.upstream;

import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpResponse;
import loadbalancer.proxy.BodyRelay;
import loadbalancer.routing.api.AttemptOutcome;
import loadbalancer.routing.api.LoadReport;

/** Receives the outcome of one {@link UpstreamRequest}, on the event loop's thread. */
public interface UpstreamResponseListener {
    /**
     * Whether the request may still be written; asked right before its first byte if it had to wait
     * for a connection. Where not, it ends as {@link AttemptOutcome#NOT_SENT}.
     */
    default boolean mayStart() {
        return true;
    }

    /**
     * The request has ended; called once, unless the request was abandoned.
     *
     * @param response a buffered response, valid during the call only and released by the pool;
     *     null where none came or where it was streamed
     * @param load the load report that came with the response, or null
     */
    void onComplete(AttemptOutcome outcome, FullHttpResponse response, LoadReport load);

    /**
     * A 200 response that is streamed has begun; {@link #onComplete} reports its end, without a
     * response.
     *
     * @param contentLength the length of the body in bytes, or -1 where it is unknown
     * @param body the body, now owned by the listener
     * @param load the load report in the header fields, or null
     */
    default void onResponseStarted(
            HttpResponse responseHead, long contentLength, BodyRelay body, LoadReport load) {
        body.discard();
    }
}

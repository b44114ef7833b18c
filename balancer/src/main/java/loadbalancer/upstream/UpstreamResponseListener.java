package loadbalancer.upstream;

import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpResponse;
import loadbalancer.proxy.BodyRelay;
import loadbalancer.routing.api.AttemptOutcome;
import loadbalancer.routing.api.LoadReport;

/**
 * How a request to an upstream ended; {@code answer} is null but for OK, and the caller's to
 * release.
 */
public interface UpstreamResponseListener {
    /**
     * Whether it may still be written, asked right before its first byte where it had to wait for a
     * connection; where not, it ends as NOT_SENT.
     */
    default boolean mayStart() {
        return true;
    }

    void onComplete(AttemptOutcome outcome, FullHttpResponse response, LoadReport load);

    /**
     * A long 200 answer has begun, and comes by {@code body}; {@code contentLength} is -1 where it
     * is not known. Its end is told by {@link #onComplete}, without an answer.
     */
    default void onResponseStarted(
            HttpResponse responseHead, long contentLength, BodyRelay body, LoadReport load) {
        body.discard();
    }
}

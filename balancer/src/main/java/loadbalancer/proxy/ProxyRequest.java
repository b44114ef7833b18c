package loadbalancer.proxy;

import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpMethod;

/**
 * A client's request: what goes on to an upstream unchanged, and what the module is told of it.
 * Times are in µs; {@code workEstimate} is -1 where the client gives no guess. Where {@code upload}
 * is not null the body comes that way, {@code contentLength} bytes of it or, where that is -1, as
 * many as there are; {@code body} is empty then.
 */
public record ProxyRequest(
        HttpMethod method,
        String uri,
        HttpHeaders headers,
        byte[] body,
        int requestClass,
        int tenant,
        String key,
        long timeLeftMicros,
        long workEstimate,
        boolean resubmission,
        BodyRelay upload,
        long contentLength) {
    /** The milliseconds that are left of a request's time, as the platform names it. */
    public static final String DEADLINE_HEADER = "Req-Deadline-Ms";

    /** With a body that is all there. */
    public ProxyRequest(
            HttpMethod method,
            String uri,
            HttpHeaders headers,
            byte[] body,
            int requestClass,
            int tenant,
            String key,
            long timeLeftMicros,
            long workEstimate,
            boolean resubmission) {
        this(
                method,
                uri,
                headers,
                body,
                requestClass,
                tenant,
                key,
                timeLeftMicros,
                workEstimate,
                resubmission,
                null,
                body.length);
    }

    /** The client's name for it, for the log. */
    public String clientRequestId() {
        return headers.get("Req-Id");
    }

    /** The same for another path. */
    public ProxyRequest withUri(String newUri) {
        return new ProxyRequest(
                method,
                newUri,
                headers,
                body,
                requestClass,
                tenant,
                key,
                timeLeftMicros,
                workEstimate,
                resubmission,
                upload,
                contentLength);
    }

    /** Whether it can be sent from its first byte on. */
    public boolean isReplayable() {
        return upload == null || !upload.hasStarted();
    }
}

package loadbalancer.proxy;

import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpMethod;

/**
 * A client's request: the parts that are forwarded to an upstream unchanged, and the attributes
 * that the routing policy is given. Either {@code body} is complete, or the body is streamed by
 * {@code upload} and {@code body} is empty.
 *
 * @param body the buffered body; not copied, so neither the creator nor a reader may change it
 * @param requestClass the index of the request's class in the settings
 * @param tenant the index of the request's tenant; 0 if there are no tenants
 * @param key the key that the request is about, or null
 * @param timeLeftMicros the time in µs from the request's start to the client's deadline
 * @param workEstimate the client's estimate of the work, or -1
 * @param resubmission whether the client has sent the request before
 * @param upload the streamed body, or null
 * @param contentLength the length of the body in bytes; -1 for a streamed body of unknown length
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
    /** The header with the time to the request's deadline in ms. */
    public static final String DEADLINE_HEADER = "Req-Deadline-Ms";

    /** Creates a request whose body is complete. */
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

    /** Returns the client's id of the request, for the log; null if it has none. */
    public String clientRequestId() {
        return headers.get("Req-Id");
    }

    /** Returns a copy of the request with another URI. */
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

    /** Returns a copy of the request whose client has waited for {@code waitedMicros} since. */
    public ProxyRequest afterWaiting(long waitedMicros) {
        if (waitedMicros == 0) {
            return this;
        }
        return new ProxyRequest(
                method,
                uri,
                headers,
                body,
                requestClass,
                tenant,
                key,
                Math.max(1, timeLeftMicros - waitedMicros),
                workEstimate,
                resubmission,
                upload,
                contentLength);
    }

    /** Returns whether the whole request can be sent again: no streamed body has been started. */
    public boolean isReplayable() {
        return upload == null || !upload.hasStarted();
    }
}

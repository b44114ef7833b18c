package loadbalancer.proxy;

import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpMethod;

/**
 * A client's request: what is forwarded to an upstream unchanged, and what the routing policy is
 * given. Its {@code body} is complete, or it is streamed by {@code upload} and {@code body} is
 * empty.
 *
 * @param body not copied: neither the creator nor a reader may change it
 * @param requestClass the index of the request's class in the settings
 * @param tenant the index of the request's tenant; 0 where there are none
 * @param key what requests are ordered by, or null
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
    /** The header with the milliseconds that are left to the request's deadline. */
    public static final String DEADLINE_HEADER = "Req-Deadline-Ms";

    /** A request whose body is complete. */
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

    /** The client's id of the request, for the log; null where it gave none. */
    public String clientRequestId() {
        return headers.get("Req-Id");
    }

    /** The same request with another URI. */
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

    /** Whether all of it can be sent: none of a streamed body has been sent yet. */
    public boolean isReplayable() {
        return upload == null || !upload.hasStarted();
    }
}

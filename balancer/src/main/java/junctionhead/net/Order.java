package junctionhead.net;

import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpMethod;

/**
 * A client's request: what goes on to an upstream unchanged, and what the module is told of it.
 * Times are in µs; {@code work} is -1 where the client gives no guess. Where {@code upload} is not
 * null the body comes that way, {@code length} bytes of it or, where that is -1, as many as there
 * are; {@code body} is empty then.
 */
record Order(
        HttpMethod method,
        String uri,
        HttpHeaders headers,
        byte[] body,
        int requestClass,
        int tenant,
        String key,
        long timeLeft,
        long work,
        boolean resubmission,
        Relay upload,
        long length) {
    /** With a body that is all there. */
    Order(
            HttpMethod method,
            String uri,
            HttpHeaders headers,
            byte[] body,
            int requestClass,
            int tenant,
            String key,
            long timeLeft,
            long work,
            boolean resubmission) {
        this(
                method,
                uri,
                headers,
                body,
                requestClass,
                tenant,
                key,
                timeLeft,
                work,
                resubmission,
                null,
                body.length);
    }

    /** The client's name for it, for the log. */
    String id() {
        return headers.get("Req-Id");
    }

    /** The same for another path. */
    Order to(String other) {
        return new Order(
                method,
                other,
                headers,
                body,
                requestClass,
                tenant,
                key,
                timeLeft,
                work,
                resubmission,
                upload,
                length);
    }

    /** Whether it can be sent from its first byte on. */
    boolean sendable() {
        return upload == null || !upload.begun();
    }
}

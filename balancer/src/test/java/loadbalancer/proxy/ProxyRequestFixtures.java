package loadbalancer.proxy;

import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.HttpMethod;

/** Requests as the client side hands them over. */
public final class ProxyRequestFixtures {
    /** The time in µs that is left to each of them. */
    public static final long TIME_LEFT_MICROS = 20_000_000;

    private ProxyRequestFixtures() {}

    /** A GET request of class 0 without a body. */
    public static ProxyRequest getRequest(String requestId) {
        return new ProxyRequest(
                HttpMethod.GET,
                "/",
                new DefaultHttpHeaders().set("Req-Id", requestId),
                new byte[0],
                0,
                0,
                null,
                TIME_LEFT_MICROS,
                -1,
                false);
    }

    /** A POST request of class 0 whose body is streamed by {@code upload}. */
    public static ProxyRequest streamedRequest(
            String requestId, BodyRelay upload, long contentLength) {
        return new ProxyRequest(
                HttpMethod.POST,
                "/",
                new DefaultHttpHeaders().set("Req-Id", requestId),
                new byte[0],
                0,
                0,
                null,
                TIME_LEFT_MICROS,
                -1,
                false,
                upload,
                contentLength);
    }
}

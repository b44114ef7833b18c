package loadbalancer.proxy;

import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.HttpMethod;

/** Creates requests like those that the client side submits to the dispatcher. */
public final class ProxyRequestFixtures {
    /** The time to the deadline of each request, in µs. */
    public static final long TIME_LEFT_MICROS = 20_000_000;

    private ProxyRequestFixtures() {}

    /** Returns a GET request of class 0 without a body. */
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

    /** Returns a POST request of class 2, which must not run twice, without the header Req-Id. */
    public static ProxyRequest unsafeRequestWithoutId() {
        return new ProxyRequest(
                HttpMethod.POST,
                "/",
                new DefaultHttpHeaders(),
                new byte[0],
                2,
                0,
                null,
                TIME_LEFT_MICROS,
                -1,
                false);
    }

    /** Returns a POST request of class 0 whose body is streamed by {@code upload}. */
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

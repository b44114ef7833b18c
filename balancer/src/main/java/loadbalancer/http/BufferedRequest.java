package loadbalancer.http;

import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpRequest;
import java.util.Map;

/**
 * A completely received request with its memory. Its holder releases it exactly once, or passes it
 * on.
 */
record BufferedRequest(FullHttpRequest request, RequestMemoryBudget.Reservation memory) {
    private static final int REQUEST_OVERHEAD_BYTES = 512;
    private static final int HEADER_OVERHEAD_BYTES = 64;

    /** Returns an estimate of the memory in bytes that a request's head takes. */
    static int headBytes(HttpRequest head) {
        int bytes = REQUEST_OVERHEAD_BYTES + head.uri().length();
        for (Map.Entry<String, String> header : head.headers()) {
            bytes += HEADER_OVERHEAD_BYTES + header.getKey().length() + header.getValue().length();
        }
        return bytes;
    }

    void release() {
        request.release();
        memory.release();
    }
}

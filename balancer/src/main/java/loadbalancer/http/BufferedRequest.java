package loadbalancer.http;

import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpRequest;
import java.util.concurrent.TimeUnit;
import loadbalancer.proxy.MemoryReservation;
import loadbalancer.proxy.PeerMemory;

/**
 * A completely received request with its memory and the time in ns at which its last byte was read.
 * Its holder releases it exactly once, or passes it on.
 */
record BufferedRequest(FullHttpRequest request, MemoryReservation memory, long receivedAtNanos) {
    private static final int REQUEST_OVERHEAD_BYTES = 512;

    /** Returns an estimate of the memory in bytes that a request's head takes. */
    static int headBytes(HttpRequest head) {
        return REQUEST_OVERHEAD_BYTES + head.uri().length() + PeerMemory.headBytes(head.headers());
    }

    /** Returns the time in µs for which the request has waited for its turn. */
    long waitedMicros() {
        return TimeUnit.NANOSECONDS.toMicros(System.nanoTime() - receivedAtNanos);
    }

    void release() {
        request.release();
        memory.release();
    }
}

package loadbalancer.http;

import io.netty.buffer.Unpooled;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseStatus;
import java.nio.charset.StandardCharsets;
import java.util.Locale;
import java.util.function.Consumer;
import loadbalancer.dispatch.ResponseSender;
import loadbalancer.proxy.BodyRelay;
import loadbalancer.proxy.MemoryReservation;

/**
 * Sends the final response to one request. The dispatcher calls exactly one of its sending methods,
 * exactly once. Confined to the event loop.
 */
final class ClientResponseSender implements ResponseSender {
    private static final double MICROS_PER_SECOND = 1e6;
    private static final long NANOS_PER_MICRO = 1_000;

    private final ClientConnection connection;
    private final boolean keepAlive;
    private final MemoryReservation memory;
    private boolean responded;

    /**
     * Creates a sender, and holds the memory of its request until the request has finished.
     *
     * @param memory the memory of the request
     */
    ClientResponseSender(ClientConnection connection, boolean keepAlive, MemoryReservation memory) {
        this.memory = memory;
        memory.retain();
        this.connection = connection;
        this.keepAlive = keepAlive;
    }

    /** Returns whether a complete response was sent; streamed responses do not count. */
    boolean hasResponded() {
        return responded;
    }

    @Override
    public boolean isClientConnected() {
        return !connection.closeDetector().isDisconnected();
    }

    @Override
    public boolean isCloseHidden() {
        return connection.closeDetector().isCloseHidden();
    }

    @Override
    public long microsSinceBodySent() {
        return connection.nanosSinceBodySent() / NANOS_PER_MICRO;
    }

    @Override
    public void send(FullHttpResponse response) {
        responded = true;
        sendOrClose(
                () ->
                        connection.sendResponse(
                                ResponseWriter.newResponse(
                                        HttpResponseStatus.OK,
                                        response.content().retain(),
                                        response.headers().get(HttpHeaderNames.CONTENT_TYPE)),
                                keepAlive));
    }

    // The dispatcher has settled the request already and does not answer it again.
    private void sendOrClose(Runnable step) {
        connection.exceptionGuard().run(step);
    }

    @Override
    public void send(
            HttpResponse responseHead,
            long contentLength,
            BodyRelay body,
            Consumer<Boolean> onFinished) {
        sendOrClose(
                () ->
                        connection.streamResponse(
                                contentLength,
                                responseHead.headers().get(HttpHeaderNames.CONTENT_TYPE),
                                body,
                                keepAlive,
                                onFinished));
    }

    @Override
    public void reject(long retryAfterMicros) {
        responded = true;
        sendOrClose(() -> sendRejection(retryAfterMicros));
    }

    private void sendRejection(long retryAfterMicros) {
        FullHttpResponse response =
                ResponseWriter.newResponse(
                        HttpResponseStatus.SERVICE_UNAVAILABLE,
                        Unpooled.copiedBuffer(
                                "refused: trying again is harmless\n", StandardCharsets.UTF_8),
                        "text/plain");
        if (retryAfterMicros > 0) {
            double retryAfterSeconds = retryAfterMicros / MICROS_PER_SECOND;
            response.headers()
                    .set("Retry-After", String.format(Locale.ROOT, "%.3f", retryAfterSeconds));
        }
        connection.sendResponse(response, keepAlive);
    }

    @Override
    public void onRequestFinished() {
        memory.release();
    }

    @Override
    public void fail() {
        responded = true;
        sendOrClose(() -> connection.sendText(HttpResponseStatus.BAD_GATEWAY, "failed", keepAlive));
    }
}

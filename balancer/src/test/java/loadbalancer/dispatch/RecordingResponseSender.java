package loadbalancer.dispatch;

import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpResponse;
import java.util.ArrayList;
import java.util.List;
import java.util.function.Consumer;
import loadbalancer.proxy.BodyRelay;

/**
 * Response sender that records the responses. Its client stays connected until {@link #disconnect}.
 */
final class RecordingResponseSender implements ResponseSender {
    private final List<String> responses = new ArrayList<>();
    private Runnable onConnectionCheck = () -> {};
    private Runnable onBodySentQuery = () -> {};
    private boolean connected = true;
    private Consumer<Boolean> onStreamFinished;
    private int finishedCount;

    /** Returns the final responses in the order of the calls. */
    List<String> responses() {
        return responses;
    }

    /** Returns how often the request was reported as finished. */
    int finishedCount() {
        return finishedCount;
    }

    /** Simulates a disconnect of the client. */
    void disconnect() {
        connected = false;
    }

    /** Sets a callback that runs during each check of the connection. */
    void onConnectionCheck(Runnable callback) {
        onConnectionCheck = callback;
    }

    /** Sets a callback that runs during each query of the time since the body's last byte. */
    void onBodySentQuery(Runnable callback) {
        onBodySentQuery = callback;
    }

    /** Reports the end of the streamed response. */
    void finishStream(boolean complete) {
        onStreamFinished.accept(complete);
    }

    @Override
    public boolean isClientConnected() {
        onConnectionCheck.run();
        return connected;
    }

    @Override
    public boolean isCloseHidden() {
        return false;
    }

    @Override
    public long microsSinceBodySent() {
        onBodySentQuery.run();
        return 0;
    }

    @Override
    public void send(FullHttpResponse response) {
        responses.add("response");
    }

    @Override
    public void send(
            HttpResponse responseHead,
            long contentLength,
            BodyRelay body,
            Consumer<Boolean> onFinished) {
        responses.add("stream");
        onStreamFinished = onFinished;
    }

    @Override
    public void reject(long retryAfterMicros) {
        responses.add("rejection " + retryAfterMicros);
    }

    @Override
    public void onRequestFinished() {
        finishedCount++;
    }

    @Override
    public void fail() {
        responses.add("failure");
    }
}

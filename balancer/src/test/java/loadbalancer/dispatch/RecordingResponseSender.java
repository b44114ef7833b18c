package loadbalancer.dispatch;

import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpResponse;
import java.util.ArrayList;
import java.util.List;
import java.util.function.Consumer;
import loadbalancer.proxy.BodyRelay;

/**
 * A client side that records what it is to send, and is connected until the test says otherwise.
 */
final class RecordingResponseSender implements ResponseSender {
    private final List<String> responses = new ArrayList<>();
    private Runnable onConnectionCheck = () -> {};
    private boolean connected = true;
    private Consumer<Boolean> onStreamFinished;

    /** The final responses in the order in which they were given. */
    List<String> responses() {
        return responses;
    }

    /** The client disconnects. */
    void disconnect() {
        connected = false;
    }

    /** Runs {@code check} within each check of the connection. */
    void onConnectionCheck(Runnable check) {
        onConnectionCheck = check;
    }

    /** Ends the streamed response, as the client side does at its end. */
    void finishStream(boolean complete) {
        onStreamFinished.accept(complete);
    }

    @Override
    public boolean isClientConnected() {
        onConnectionCheck.run();
        return connected;
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
    public void fail() {
        responses.add("failure");
    }
}

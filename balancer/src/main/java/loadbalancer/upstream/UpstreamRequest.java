package loadbalancer.upstream;

import io.netty.buffer.Unpooled;
import io.netty.channel.EventLoop;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.DefaultHttpRequest;
import io.netty.handler.codec.http.EmptyHttpHeaders;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import java.net.InetSocketAddress;
import java.util.concurrent.Future;
import java.util.concurrent.TimeUnit;
import loadbalancer.proxy.BodyRelay;
import loadbalancer.proxy.ProxyRequest;
import loadbalancer.routing.api.AttemptOutcome;
import loadbalancer.routing.api.LoadReport;

/**
 * One attempt or health check, from its start to its single outcome. It completes once or is
 * abandoned. Event loop thread only.
 */
public final class UpstreamRequest {
    private static final long NO_DEADLINE = 0;

    private final ProxyRequest proxyRequest;
    private final long timeoutMs;
    private final UpstreamResponseListener listener;
    // Null until a connection is assigned, and after the end of the request.
    private UpstreamConnection connection;
    private Future<?> timeoutTask;
    private boolean completed;

    private UpstreamRequest(
            ProxyRequest proxyRequest, long timeoutMs, UpstreamResponseListener listener) {
        this.proxyRequest = proxyRequest;
        this.timeoutMs = timeoutMs;
        this.listener = listener;
    }

    /** Creates an attempt of a client's request, which sends its timeout to the endpoint. */
    static UpstreamRequest attempt(
            ProxyRequest proxyRequest, long timeoutMicros, UpstreamResponseListener listener) {
        return new UpstreamRequest(proxyRequest, Math.max(1, timeoutMicros / 1000), listener);
    }

    /** Creates a health check, which sends no deadline to the endpoint. */
    static UpstreamRequest healthCheck(boolean withLoadReport, UpstreamResponseListener listener) {
        ProxyRequest proxyRequest =
                new ProxyRequest(
                        HttpMethod.GET,
                        withLoadReport ? "/-/load" : "/-/healthy",
                        EmptyHttpHeaders.INSTANCE,
                        new byte[0],
                        -1,
                        0,
                        null,
                        0,
                        -1,
                        false);
        return new UpstreamRequest(proxyRequest, NO_DEADLINE, listener);
    }

    boolean isHealthCheck() {
        return timeoutMs == NO_DEADLINE;
    }

    /** Returns the client's id of the request, for the log, or null if there is none. */
    String clientRequestId() {
        return proxyRequest.clientRequestId();
    }

    /** Returns the body that is streamed to the endpoint, or null if it is sent with the head. */
    BodyRelay upload() {
        return proxyRequest.upload();
    }

    /** Returns how far the request has come; {@code NOT_STARTED} once it has ended. */
    public AttemptProgress progress() {
        return connection == null ? AttemptProgress.NOT_STARTED : connection.progress();
    }

    void setConnection(UpstreamConnection newConnection) {
        connection = newConnection;
    }

    boolean mayStart() {
        return listener.mayStart();
    }

    /** Starts a timeout, which is cancelled when the request completes. */
    void startTimeout(EventLoop loop, int timeoutMillis) {
        timeoutTask = loop.schedule(this::onTimeout, timeoutMillis, TimeUnit.MILLISECONDS);
    }

    private void onTimeout() {
        boolean mayHaveRun = abandon();
        AttemptOutcome outcome =
                mayHaveRun ? AttemptOutcome.TIMEOUT : AttemptOutcome.CONNECT_FAILED;
        listener.onComplete(outcome, null, null);
    }

    /**
     * Ends the request without calling the listener. The connection is closed if the write of the
     * request has started.
     *
     * @return whether the request may have run, because its last byte has been written
     */
    public boolean abandon() {
        UpstreamConnection activeConnection = connection;
        if (completed || activeConnection == null) {
            return false;
        }
        completed = true;
        connection = null;
        return activeConnection.abandonRequest();
    }

    void onResponseHead() {
        listener.onResponseHead();
    }

    void onResponseStarted(
            HttpResponse responseHead, long contentLength, BodyRelay body, LoadReport load) {
        listener.onResponseStarted(responseHead, contentLength, body, load);
    }

    void completeWithoutResponse(AttemptOutcome outcome) {
        complete(outcome, null, null);
    }

    /**
     * Ends the request and calls the listener, unless the request has ended already. The caller
     * keeps ownership of the response and releases it.
     */
    void complete(AttemptOutcome outcome, FullHttpResponse response, LoadReport load) {
        if (timeoutTask != null) {
            timeoutTask.cancel(false);
        }
        if (!completed) {
            completed = true;
            connection = null;
            listener.onComplete(outcome, response, load);
        }
    }

    /** Returns the HTTP request to write, without the body if that is streamed. */
    HttpRequest toHttpRequest(InetSocketAddress address) {
        HttpRequest httpRequest = newHttpRequest();
        HttpHeaders headers = httpRequest.headers();
        headers.add(proxyRequest.headers());
        if (!headers.contains(HttpHeaderNames.HOST)) {
            headers.set(
                    HttpHeaderNames.HOST,
                    address.getAddress().getHostAddress() + ":" + address.getPort());
        }
        if (timeoutMs != NO_DEADLINE) {
            headers.set(ProxyRequest.DEADLINE_HEADER, Long.toString(timeoutMs));
        }
        if (proxyRequest.contentLength() < 0) {
            HttpUtil.setTransferEncodingChunked(httpRequest, true);
        } else if (proxyRequest.contentLength() > 0
                || !proxyRequest.method().equals(HttpMethod.GET)) {
            HttpUtil.setContentLength(httpRequest, proxyRequest.contentLength());
        }
        return httpRequest;
    }

    private HttpRequest newHttpRequest() {
        if (proxyRequest.upload() != null) {
            return new DefaultHttpRequest(
                    HttpVersion.HTTP_1_1, proxyRequest.method(), proxyRequest.uri());
        }
        return new DefaultFullHttpRequest(
                HttpVersion.HTTP_1_1,
                proxyRequest.method(),
                proxyRequest.uri(),
                Unpooled.wrappedBuffer(proxyRequest.body()));
    }
}

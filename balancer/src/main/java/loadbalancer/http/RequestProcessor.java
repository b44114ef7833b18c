package loadbalancer.http;

import io.netty.buffer.ByteBufUtil;
import io.netty.buffer.Unpooled;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpUtil;
import loadbalancer.dispatch.Dispatcher;
import loadbalancer.dispatch.RequestHandle;
import loadbalancer.proxy.BodyRelay;
import loadbalancer.proxy.ProxyRequest;

/**
 * Answers requests with paths under {@code /-/} (the readiness check and, during a warm-up, the
 * forwarded warm-up requests) and submits all others to the dispatcher. Confined to the event loop.
 */
final class RequestProcessor {
    private static final String RESERVED_PREFIX = "/-/";
    private static final String READINESS_PATH = "/-/ready";
    private static final int WARM_UP_RESPONSE_BYTES = 256;

    private final ProxyRequestParser requestParser;
    private final Dispatcher dispatcher;
    private final ServingState servingState;
    // Null unless a warm-up is in progress.
    private WarmUpTraffic warmUp;

    RequestProcessor(
            ProxyRequestParser requestParser, Dispatcher dispatcher, ServingState servingState) {
        this.requestParser = requestParser;
        this.dispatcher = dispatcher;
        this.servingState = servingState;
    }

    /** Starts serving the requests of a warm-up, or stops if {@code activeWarmUp} is null. */
    void setWarmUp(WarmUpTraffic activeWarmUp) {
        warmUp = activeWarmUp;
    }

    /** Processes a complete request; the caller releases it. */
    void process(ClientConnection connection, BufferedRequest received) {
        FullHttpRequest request = received.request();
        String path = request.uri();
        if (!request.decoderResult().isSuccess()) {
            connection.logRejection(request, "malformed: " + request.decoderResult().cause());
            connection.sendText(HttpResponseStatus.BAD_REQUEST, "malformed request", false);
        } else if (warmUp != null && path.equals(WarmUpTraffic.UPSTREAM_PATH)) {
            answerWarmUp(connection, request);
        } else if (path.startsWith(RESERVED_PREFIX) && !isWarmUpRequest(path)) {
            answerReservedPath(connection, request);
        } else {
            submit(
                    connection,
                    request,
                    ByteBufUtil.getBytes(request.content()),
                    null,
                    request.content().readableBytes(),
                    received.waitedMicros());
        }
    }

    /** Processes a request whose body is streamed. */
    void processStreamed(ClientConnection connection, HttpRequest request, BodyRelay body) {
        if (request.uri().startsWith(RESERVED_PREFIX)) {
            connection.sendText(HttpResponseStatus.NOT_FOUND, "not found", false);
        } else {
            submit(
                    connection,
                    request,
                    new byte[0],
                    body,
                    HttpUtil.getContentLength(request, -1L),
                    0);
        }
    }

    private boolean isWarmUpRequest(String path) {
        return warmUp != null && path.equals(WarmUpTraffic.REQUEST_PATH);
    }

    // Answers a forwarded warm-up request like an upstream.
    private void answerWarmUp(ClientConnection connection, HttpRequest request) {
        boolean rejected = warmUp.shouldReject();
        HttpResponseStatus status =
                rejected ? HttpResponseStatus.SERVICE_UNAVAILABLE : HttpResponseStatus.OK;
        FullHttpResponse response =
                ResponseWriter.newResponse(
                        status, Unpooled.wrappedBuffer(new byte[WARM_UP_RESPONSE_BYTES]), null);
        if (rejected) {
            response.headers().set("Srv-Declined", "1");
        } else {
            response.headers().set("Srv-Load", "TEXT eps=0.1, latency_ms=14.5, inflight=2");
        }
        connection.sendResponse(response, HttpUtil.isKeepAlive(request));
    }

    private void answerReservedPath(ClientConnection connection, HttpRequest request) {
        boolean keepAlive = HttpUtil.isKeepAlive(request);
        boolean isReadinessCheck =
                request.uri().equals(READINESS_PATH) && request.method().equals(HttpMethod.GET);
        if (!isReadinessCheck) {
            connection.sendText(HttpResponseStatus.NOT_FOUND, "not found", keepAlive);
        } else if (servingState.isReady()) {
            connection.sendText(HttpResponseStatus.OK, "ready", keepAlive);
        } else {
            connection.sendText(HttpResponseStatus.SERVICE_UNAVAILABLE, "not ready", keepAlive);
        }
    }

    private void submit(
            ClientConnection connection,
            HttpRequest request,
            byte[] body,
            BodyRelay streamedBodyOrNull,
            long contentLength,
            long waitedMicros) {
        ProxyRequest proxyRequest;
        try {
            proxyRequest =
                    requestParser
                            .parse(request, body, streamedBodyOrNull, contentLength)
                            .afterWaiting(waitedMicros);
        } catch (IllegalArgumentException e) {
            // Includes the exceptions of Netty's headers for malformed names and values.
            connection.logRejection(request, e.getMessage());
            connection.sendText(HttpResponseStatus.BAD_REQUEST, e.getMessage(), false);
            return;
        }
        connection.onValidRequest(request);
        ClientResponseSender responseSender =
                new ClientResponseSender(
                        connection, HttpUtil.isKeepAlive(request), connection.currentMemory());
        RequestHandle handle = submit(request.uri(), proxyRequest, responseSender);
        if (!responseSender.hasResponded()) {
            connection.setRequestHandle(handle);
        }
    }

    private RequestHandle submit(
            String path, ProxyRequest proxyRequest, ClientResponseSender responseSender) {
        if (path.equals(WarmUpTraffic.REQUEST_PATH)) {
            ProxyRequest upstreamRequest = proxyRequest.withUri(WarmUpTraffic.UPSTREAM_PATH);
            return warmUp.dispatcher().submitRequest(upstreamRequest, responseSender);
        }
        return dispatcher.submitRequest(proxyRequest, responseSender);
    }
}

package loadbalancer.http;

import io.netty.channel.Channel;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseEncoder;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpVersion;
import java.util.ArrayDeque;
import java.util.function.Consumer;
import loadbalancer.admin.EventLog;
import loadbalancer.dispatch.RequestHandle;
import loadbalancer.proxy.BodyRelay;
import loadbalancer.proxy.StrictFraming;

/**
 * One connection of a client: its state between the reading of requests ({@link RequestReader}),
 * their processing ({@link RequestProcessor}) and the writing of responses ({@link
 * ResponseWriter}). One request is processed at a time; the ones that follow are queued. Belongs to
 * the event loop.
 */
final class ClientConnection {
    private static final int MAX_PIPELINED_REQUESTS = 16;
    // For a client to close a connection whose output has been shut down.
    private static final long CLOSE_TIMEOUT_MS = 1_000;

    /** Where the request stands that gets the next response. */
    private enum RequestPhase {
        /** None has been received completely. */
        NONE,
        /** The first in the queue is processed at the end of this turn of the loop. */
        SCHEDULED,
        /** It is being processed, or its response is being written. */
        PROCESSING
    }

    private final Channel channel;
    private final FrontendContext context;
    private final ClientLiveness liveness;
    private final RequestTimeoutHandler requestTimeout;
    private final StrictFraming.RequestDecoder decoder = new StrictFraming.RequestDecoder();
    private final RequestReader reader;
    private final ResponseWriter responseWriter;
    private final ArrayDeque<FullHttpRequest> pipelinedRequests = new ArrayDeque<>();
    private final long connectionNumber;
    private RequestPhase phase = RequestPhase.NONE;
    // Whether a part of a next request has been received.
    private boolean receiving;
    // Whether no more requests are handled: what is received is dropped. Never reset.
    private boolean closing;
    // Null unless the dispatcher owes a final response.
    private RequestHandle requestHandle;
    // Of the request that is processed.
    private HttpVersion httpVersion = HttpVersion.HTTP_1_1;
    private String currentRequestId;
    private long requestCount;
    // Of the accept, or the last receipt while unproven.
    private long lastProgressNanos = System.nanoTime();

    ClientConnection(Channel channel, FrontendContext context) {
        this.channel = channel;
        this.context = context;
        this.connectionNumber = context.connections().nextConnectionNumber();
        this.liveness = new ClientLiveness(channel, ClientListener.MAX_READS_PER_LOOP);
        this.requestTimeout = new RequestTimeoutHandler(this, context.loop());
        this.reader = new RequestReader(this, channel, context.bufferBudget());
        this.responseWriter = new ResponseWriter(this, channel);
    }

    /** Installs the handlers and registers the connection. */
    void open() {
        channel.pipeline()
                .addLast(
                        liveness,
                        requestTimeout,
                        decoder,
                        new HttpResponseEncoder(),
                        new RequestFilter(this),
                        reader);
        context.connections().add(this);
        requestTimeout.start();
        channel.closeFuture().addListener(closed -> onClosed());
        context.connections().enforceLimitWhileOpen();
    }

    // The only place that releases requests which are not processed any more.
    private void onClosed() {
        context.connections().remove(this);
        requestTimeout.cancel();
        pipelinedRequests.forEach(FullHttpRequest::release);
        pipelinedRequests.clear();
        reader.onConnectionClosed();
        if (requestHandle != null) {
            requestHandle.onClientDisconnected();
        }
        context.connections().afterRemoval();
    }

    RequestTimeoutHandler requestTimeout() {
        return requestTimeout;
    }

    RequestReader reader() {
        return reader;
    }

    boolean isActive() {
        return channel.isActive();
    }

    boolean isReceiving() {
        return receiving;
    }

    boolean isClosing() {
        return closing;
    }

    /** Whether a request has been received completely and its response is not yet written. */
    boolean isRequestInProgress() {
        return phase != RequestPhase.NONE;
    }

    /** Whether anything of a request has been received that has no response yet. */
    boolean holdsRequest() {
        return receiving || isRequestInProgress();
    }

    /** The number of requests that have been processed. */
    long requestCount() {
        return requestCount;
    }

    /** When an unproven connection was accepted or last received something. */
    long lastProgressNanos() {
        return lastProgressNanos;
    }

    /**
     * Whether the client has disconnected, as of now. While a long body is received its relay
     * watches for the client's close, within the bound on what is buffered.
     */
    boolean isDisconnected() {
        return reader.isRelayReading() ? !channel.isActive() : liveness.isDisconnected();
    }

    /** Whether nothing has arrived either that the loop has not read yet, in a long turn. */
    boolean confirmStalled() {
        long progressBefore = lastProgressNanos;
        return !liveness.isDisconnected() && lastProgressNanos == progressBefore;
    }

    /** Bytes have been received that are not decoded yet. */
    void onBytesReceived() {
        receiving = true;
        if (context.connections().markActive(this)) {
            lastProgressNanos = System.nanoTime();
        }
        if (!isRequestInProgress()) {
            requestTimeout.start();
        }
    }

    void markReceiving() {
        receiving = true;
    }

    /** Drops whatever follows; the connection is closed after the responses that are pending. */
    void acceptNoMoreRequests() {
        closing = true;
    }

    /** The whole body of a streamed request has been received. */
    void onUploadReceived() {
        receiving = false;
        requestTimeout.cancel();
    }

    /** A buffered request is complete. */
    void onRequestReceived(FullHttpRequest request) {
        receiving = false;
        requestTimeout.cancel();
        if (phase == RequestPhase.NONE) {
            // Processed after all that this turn of the loop reads: the client may have closed
            // behind its request, and then nothing is forwarded for it.
            phase = RequestPhase.SCHEDULED;
            pipelinedRequests.add(request.retain());
            context.loop().execute(this::processNextRequest);
            return;
        }
        context.events()
                .record(
                        EventLog.Kind.PIPELINED,
                        request.headers().get("Req-Id"),
                        () -> "behind " + currentRequestId + ", " + this);
        // The scheduled request is in the queue, but not behind another one.
        int scheduledRequests = phase == RequestPhase.SCHEDULED ? 1 : 0;
        if (pipelinedRequests.size() < MAX_PIPELINED_REQUESTS + scheduledRequests) {
            pipelinedRequests.add(request.retain());
        } else {
            acceptNoMoreRequests();
        }
    }

    private void processNextRequest() {
        if (!channel.isActive() || (!pipelinedRequests.isEmpty() && isDisconnected())) {
            return;
        }
        phase = RequestPhase.NONE;
        FullHttpRequest next = pipelinedRequests.poll();
        if (next != null) {
            beginRequest(next);
            context.requestProcessor().process(this, next);
            next.release();
        } else if (reader.hasUpload()) {
            reader.forwardUpload();
        } else if (closing || context.servingState().endsConnections()) {
            closeGracefully();
        } else if (receiving || decoder.hasUndecodedBytes()) {
            receiving = true;
            requestTimeout.start();
        } else if (channel.isActive()) {
            context.connections().markIdle(this);
        }
    }

    private void beginRequest(HttpRequest request) {
        phase = RequestPhase.PROCESSING;
        requestCount++;
        currentRequestId = request.headers().get("Req-Id");
    }

    /** Processes a request whose body is streamed, at once. */
    void forwardStreamedRequest(HttpRequest request, BodyRelay body) {
        beginRequest(request);
        context.requestProcessor().processStreamed(this, request, body);
    }

    /** The dispatcher will owe a response to a proper request. */
    void onProperRequest(HttpRequest request) {
        context.connections().markProven(this);
        httpVersion = request.protocolVersion();
    }

    /** The dispatcher owes a final response, and is notified of the client's disconnect. */
    void setRequestHandle(RequestHandle handle) {
        requestHandle = handle;
    }

    /** The body of the streamed request has been received and handed over completely. */
    void onRequestBodyComplete() {
        if (requestHandle != null) {
            requestHandle.onBodyComplete();
        }
    }

    /** Withdraws the request that is processed: its body turned out to be malformed or too long. */
    void cancelRequest() {
        phase = RequestPhase.NONE;
        RequestHandle cancelledHandle = requestHandle;
        requestHandle = null;
        if (cancelledHandle != null) {
            cancelledHandle.onClientDisconnected();
        }
    }

    /**
     * Rejects a request that is not complete. Where responses to earlier requests are pending, the
     * connection is closed after them, without a response to this one.
     */
    void rejectIncompleteRequest(HttpRequest request, HttpResponseStatus status) {
        logRejection(request, status.toString());
        requestTimeout.cancel();
        if (!isRequestInProgress()) {
            sendText(status, status.reasonPhrase(), false);
        }
        closing = true;
    }

    void logRejection(HttpRequest request, String reason) {
        context.events()
                .record(
                        EventLog.Kind.REJECTED,
                        request.headers().get("Req-Id"),
                        () -> reason + ", " + this);
    }

    /** Sends a final response with one line of plain text. */
    void sendText(HttpResponseStatus status, String text, boolean keepAlive) {
        sendResponse(ResponseWriter.newTextResponse(status, text), keepAlive);
    }

    /** Sends a final response; {@code keepAlive} is whether the client wishes to go on. */
    void sendResponse(FullHttpResponse response, boolean keepAlive) {
        requestHandle = null;
        if (phase == RequestPhase.NONE) {
            phase = RequestPhase.PROCESSING;
        }
        boolean uploadUnfinished = reader.discardUnfinishedUpload();
        boolean keepOpen = shouldKeepOpen(keepAlive) && !uploadUnfinished;
        closing |= !keepAlive || uploadUnfinished;
        responseWriter.write(response, keepOpen, uploadUnfinished);
    }

    /** Streams a final response; as {@link RequestProcessor} gets it from the dispatcher. */
    void streamResponse(
            long contentLength,
            String contentType,
            BodyRelay body,
            boolean keepAlive,
            Consumer<Boolean> onFinished) {
        boolean selfDelimited = contentLength >= 0 || httpVersion.isKeepAliveDefault();
        boolean keepOpen = shouldKeepOpen(keepAlive && selfDelimited);
        closing |= !keepOpen;
        HttpResponse head =
                ResponseWriter.newStreamedHead(contentLength, contentType, selfDelimited, keepOpen);
        responseWriter.stream(head, body, selfDelimited, keepOpen, onFinished);
    }

    // Requests that have been received already are answered, also while draining or stopping.
    private boolean shouldKeepOpen(boolean keepAlive) {
        boolean hasQueuedRequests = !pipelinedRequests.isEmpty() || reader.hasWaitingUpload();
        boolean mayReceiveMore = !context.servingState().endsConnections() && !closing;
        return keepAlive && (hasQueuedRequests || mayReceiveMore);
    }

    void onWritabilityChanged() {
        responseWriter.onWritabilityChanged();
    }

    /** A streamed response has been received completely from the upstream, and written. */
    void onStreamComplete() {
        requestHandle = null;
    }

    /** A response has been written; {@code keepOpen} is false where none follows. */
    void onResponseWritten(boolean keepOpen) {
        if (!keepOpen) {
            closeGracefully();
        } else if (pipelinedRequests.isEmpty()) {
            processNextRequest();
        } else {
            // Not within the processing of the request before it.
            context.loop().execute(this::processNextRequest);
        }
    }

    /**
     * Ends the connection for a client's fault or for want of room, with a 408 where one is due.
     */
    void drop(String reason) {
        context.events().record(EventLog.Kind.DROPPED, null, () -> reason + ", " + this);
        context.connections().markClosing(this);
        if (receiving && !isRequestInProgress()) {
            sendText(HttpResponseStatus.REQUEST_TIMEOUT, "no whole request in time", false);
        } else {
            channel.close();
        }
    }

    void closeForDrain() {
        context.events().record(EventLog.Kind.DROPPED, null, () -> "drained, " + this);
        closeGracefully();
    }

    /**
     * Shuts the output down and closes the connection at the client's close, or after a bound. What
     * is received from now on is not handled; the client sends it elsewhere.
     */
    void closeGracefully() {
        context.connections().markClosing(this);
        requestTimeout.cancel();
        closing = true;
        if (channel.isActive()) {
            context.connections().markHalfClosed(this);
            LingeringClose.start(channel, CLOSE_TIMEOUT_MS);
        }
    }

    void closeAtOnce() {
        channel.close();
    }

    @Override
    public String toString() {
        return "client " + connectionNumber + " request " + requestCount;
    }
}

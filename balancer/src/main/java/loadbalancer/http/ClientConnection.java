package loadbalancer.http;

import io.netty.channel.Channel;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseEncoder;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpVersion;
import java.util.function.Consumer;
import loadbalancer.admin.EventLog;
import loadbalancer.dispatch.RequestHandle;
import loadbalancer.proxy.BodyRelay;
import loadbalancer.proxy.MemoryReservation;
import loadbalancer.util.Exceptions;

/**
 * One client connection. Coordinates the reading of requests ({@link RequestReader}), their
 * processing ({@link RequestProcessor}) and the writing of responses ({@link ResponseWriter}).
 * Processes one request at a time and queues pipelined ones. Confined to the event loop.
 */
final class ClientConnection {
    // The time for a client to close its side after the output has been shut down.
    private static final long CLOSE_TIMEOUT_MS = 1_000;

    private final Channel channel;
    private final FrontendContext context;
    private final ExceptionGuard exceptionGuard;
    private final RequestTimeoutHandler requestTimeout;
    private final ClientInput input;
    private final RequestReader reader;
    private final ClientCloseDetector closeDetector;
    private final ResponseWriter responseWriter;
    private final PipelinedRequests pipelinedRequests = new PipelinedRequests();
    private final long connectionNumber;
    private RequestPhase phase = RequestPhase.NONE;
    // Whether a part of the next request has been received.
    private boolean receiving;
    // Whether no more requests are handled and received data is dropped. Never reset.
    private boolean closing;
    // Null unless the dispatcher still has to provide a final response.
    private RequestHandle requestHandle;
    // The memory of the request that is being processed; null if there is none.
    private MemoryReservation currentMemory;
    // Whether a refusal is due after the responses to all earlier requests.
    private boolean refusalPending;
    // The HTTP version of the request that is being processed.
    private HttpVersion httpVersion = HttpVersion.HTTP_1_1;
    // The Req-Id of the request that is being processed; null if it has none.
    private String currentRequestId;
    private long requestCount;
    // The time of the accept, or of the last received bytes while the connection is unproven.
    private long lastProgressNanos = System.nanoTime();

    ClientConnection(Channel channel, FrontendContext context) {
        this.channel = channel;
        this.context = context;
        this.connectionNumber = context.connections().nextConnectionNumber();
        this.exceptionGuard = new ExceptionGuard(channel, context.events(), this::idInProgress);
        this.input = new ClientInput(channel, context.memory());
        this.requestTimeout = new RequestTimeoutHandler(this, context.loop());
        this.reader = new RequestReader(this, channel, context);
        this.closeDetector = new ClientCloseDetector(channel, reader, input);
        this.responseWriter = new ResponseWriter(this, channel);
    }

    /** Installs the pipeline's handlers and registers the connection. */
    void open() {
        channel.pipeline()
                .addLast(
                        closeDetector.readHandler(),
                        requestTimeout,
                        input.newDecoder(),
                        new HttpResponseEncoder(),
                        new RequestFilter(this),
                        reader);
        context.connections().add(this);
        requestTimeout.start();
        channel.closeFuture().addListener(closed -> exceptionGuard.run(this::onClosed));
        context.connections().enforceLimitWhileOpen();
    }

    // The only method that releases requests that will not be processed any more.
    private void onClosed() {
        Exceptions.runAll(
                () -> context.connections().remove(this),
                requestTimeout::cancel,
                pipelinedRequests::releaseAll,
                reader::onConnectionClosed,
                this::releaseCurrentMemory,
                input::onConnectionClosed,
                this::reportDisconnect,
                context.connections()::afterRemoval);
    }

    private void reportDisconnect() {
        if (requestHandle != null) {
            requestHandle.onClientDisconnected();
        }
    }

    ExceptionGuard exceptionGuard() {
        return exceptionGuard;
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

    /** Returns whether a request has been received completely and is not yet answered. */
    boolean isRequestInProgress() {
        return phase != RequestPhase.NONE;
    }

    /** Returns whether anything of a request has been received that has no response yet. */
    boolean holdsRequest() {
        return receiving || isRequestInProgress();
    }

    /** Returns the number of requests whose processing has begun. */
    long requestCount() {
        return requestCount;
    }

    /** Returns when in ns an unproven connection was accepted or last received bytes. */
    long lastProgressNanos() {
        return lastProgressNanos;
    }

    ClientCloseDetector closeDetector() {
        return closeDetector;
    }

    /**
     * Reads bytes that the event loop has not read yet, as after a long iteration, and returns
     * whether the client is connected and there were none.
     */
    boolean confirmStalled() {
        long progressBefore = lastProgressNanos;
        return !closeDetector.isDisconnectedNow() && lastProgressNanos == progressBefore;
    }

    /** Handles the receipt of bytes, before they are decoded. */
    void onBytesReceived(int bytes) {
        input.onRead(bytes);
        receiving = true;
        if (context.connections().markActive(this)) {
            lastProgressNanos = System.nanoTime();
        }
        if (!isRequestInProgress()) {
            requestTimeout.start();
        }
    }

    /**
     * Returns the time in ns since the earliest time at which the client can have sent the last
     * byte of the body that is being received, or has just been; 0 if it can't have sent it yet.
     */
    long nanosSinceBodySent() {
        return input.nanosSinceLastByte(!reader.isRelayReading());
    }

    /** Counts the memory of an incomplete head, after received bytes have been decoded. */
    void onBytesDecoded() {
        input.onDecoded();
        if (closing || input.reserveRetainedBytes()) {
            return;
        }
        if (!context.connections().evictStalledHolders(this) || !input.reserveRetainedBytes()) {
            refuseIncompleteRequest(null, RequestReader.NO_MEMORY);
        }
    }

    /** Returns the bytes that an incomplete request of this connection retains. */
    int incompleteRequestBytes() {
        return receiving ? input.reservedBytes() + reader.incompleteRequestBytes() : 0;
    }

    void markReceiving() {
        receiving = true;
    }

    /** Drops all further input; the connection is closed after the pending responses. */
    void acceptNoMoreRequests() {
        closing = true;
        input.stopDecoding();
    }

    /** Handles the end of a streamed request's body. */
    void onUploadReceived() {
        receiving = false;
        requestTimeout.cancel();
    }

    /** Processes or queues a buffered request that has been received completely, and owns it. */
    void onRequestReceived(BufferedRequest received) {
        receiving = false;
        requestTimeout.cancel();
        if (phase == RequestPhase.NONE) {
            // Deferred until this event loop iteration has read everything: if the client closed
            // the connection after its request, the request is not forwarded.
            phase = RequestPhase.SCHEDULED;
            pipelinedRequests.addFirst(received);
            context.loop().execute(exceptionGuard.wrap(this::processNextRequest));
            return;
        }
        context.events()
                .record(
                        EventLog.Kind.PIPELINED,
                        received.request().headers().get("Req-Id"),
                        () -> "behind " + currentRequestId + ", " + this);
        if (!pipelinedRequests.addOrRelease(received, phase == RequestPhase.SCHEDULED)) {
            acceptNoMoreRequests();
        }
    }

    private void processNextRequest() {
        if (!channel.isActive()) {
            return;
        }
        if (!pipelinedRequests.isEmpty()) {
            ClientLiveness.State state = closeDetector.check();
            if (state == ClientLiveness.State.UNKNOWN) {
                // What is unread is read in the turns of this connection, and the request waits.
                context.loop().execute(exceptionGuard.wrap(this::processNextRequest));
            }
            if (state != ClientLiveness.State.CONNECTED) {
                return;
            }
        }
        phase = RequestPhase.NONE;
        BufferedRequest next = pipelinedRequests.poll();
        if (next != null) {
            processAndRelease(next);
        } else if (reader.hasUpload()) {
            reader.forwardOrRefuseUpload(closeDetector.isCloseHidden());
        } else if (refusalPending) {
            refusalPending = false;
            sendRefusal();
        } else if (closing || context.servingState().endsConnections()) {
            closeGracefully();
        } else if (receiving || input.hasUndecodedBytes()) {
            receiving = true;
            requestTimeout.start();
        } else if (channel.isActive()) {
            context.connections().markIdle(this);
        }
    }

    private void processAndRelease(BufferedRequest next) {
        try {
            beginRequest(next.request(), next.memory());
            context.requestProcessor().process(this, next);
        } finally {
            next.request().release();
        }
    }

    private void beginRequest(HttpRequest request, MemoryReservation memory) {
        releaseCurrentMemory();
        currentMemory = memory;
        memory.onTurn();
        phase = RequestPhase.PROCESSING;
        requestCount++;
        currentRequestId = request.headers().get("Req-Id");
    }

    /** Returns the memory of the request that is being processed. */
    MemoryReservation currentMemory() {
        return currentMemory;
    }

    private void releaseCurrentMemory() {
        if (currentMemory != null) {
            currentMemory.release();
            currentMemory = null;
        }
    }

    /** Processes a request with a streamed body immediately. */
    void forwardStreamedRequest(HttpRequest request, BodyRelay body, MemoryReservation memory) {
        beginRequest(request, memory);
        context.requestProcessor().processStreamed(this, request, body);
    }

    /** Handles a valid request, before it is submitted to the dispatcher. */
    void onValidRequest(HttpRequest request) {
        context.connections().markProven(this);
        httpVersion = request.protocolVersion();
    }

    /** Sets the handle by which the dispatcher learns of the client's disconnect. */
    void setRequestHandle(RequestHandle handle) {
        requestHandle = handle;
    }

    /** Tells the dispatcher that the body of the streamed request is complete. */
    void onRequestBodyComplete() {
        if (requestHandle != null) {
            requestHandle.onBodyComplete();
        }
    }

    /** Cancels the request in progress because its body is malformed or too long. */
    void cancelRequest() {
        phase = RequestPhase.NONE;
        RequestHandle cancelledHandle = requestHandle;
        requestHandle = null;
        if (cancelledHandle != null) {
            cancelledHandle.onClientDisconnected();
        }
    }

    /**
     * Rejects an incomplete request. If responses to earlier requests are pending, the connection
     * is closed after them, without a response to this request.
     */
    void rejectIncompleteRequest(HttpRequest request, HttpResponseStatus status) {
        logRejection(request, status.toString());
        requestTimeout.cancel();
        if (!isRequestInProgress()) {
            sendText(status, status.reasonPhrase(), false);
        }
        acceptNoMoreRequests();
    }

    /**
     * Refuses a request that is not processed. The client gets a 503 after the responses to its
     * earlier requests, and its later requests are dropped.
     *
     * @param request the head of the request; null if that is incomplete
     */
    void refuseIncompleteRequest(HttpRequest request, String reason) {
        logRejection(request, reason);
        requestTimeout.cancel();
        if (isRequestInProgress()) {
            refusalPending = true;
        } else {
            sendRefusal();
        }
        acceptNoMoreRequests();
    }

    private void sendRefusal() {
        sendText(
                HttpResponseStatus.SERVICE_UNAVAILABLE, "refused: trying again is harmless", false);
    }

    void logRejection(HttpRequest request, String reason) {
        context.events()
                .record(
                        EventLog.Kind.REJECTED,
                        request == null ? null : request.headers().get("Req-Id"),
                        () -> reason + ", " + this);
    }

    /** Sends a final response with one line of plain text. */
    void sendText(HttpResponseStatus status, String text, boolean keepAlive) {
        sendResponse(ResponseWriter.newTextResponse(status, text), keepAlive);
    }

    /** Sends a final response; {@code keepAlive} is whether the client keeps the connection. */
    void sendResponse(FullHttpResponse response, boolean keepAlive) {
        requestHandle = null;
        if (currentMemory != null) {
            currentMemory.add(response.content().capacity());
        }
        if (phase == RequestPhase.NONE) {
            phase = RequestPhase.PROCESSING;
        }
        boolean uploadUnfinished = reader.discardUnfinishedUpload();
        boolean keepOpen = shouldKeepOpen(keepAlive) && !uploadUnfinished;
        closing |= !keepAlive || uploadUnfinished;
        responseWriter.write(response, keepOpen, uploadUnfinished);
    }

    /**
     * Sends a final response whose body is streamed.
     *
     * @param contentLength the length of the body in bytes, or negative if it is unknown
     * @param contentType the content type, or null
     * @param keepAlive whether the client keeps the connection
     * @param onFinished is given whether the response was complete
     */
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

    // Requests that have already been received are answered even while draining or stopping.
    private boolean shouldKeepOpen(boolean keepAlive) {
        boolean hasQueuedRequests =
                !pipelinedRequests.isEmpty() || reader.hasWaitingUpload() || refusalPending;
        boolean mayReceiveMore = !context.servingState().endsConnections() && !closing;
        return keepAlive && (hasQueuedRequests || mayReceiveMore);
    }

    void onWritabilityChanged() {
        responseWriter.onWritabilityChanged();
    }

    /** Handles the end of a streamed response, received from the upstream and written. */
    void onStreamComplete() {
        requestHandle = null;
    }

    /** Handles the end of a response; closes the connection unless {@code keepOpen}. */
    void onResponseWritten(boolean keepOpen) {
        releaseCurrentMemory();
        if (!keepOpen) {
            closeGracefully();
        } else if (pipelinedRequests.isEmpty()) {
            processNextRequest();
        } else {
            // Deferred, so that it does not run within the processing of the previous request.
            context.loop().execute(exceptionGuard.wrap(this::processNextRequest));
        }
    }

    /**
     * Closes the connection because of a timeout or at the connection limit. The client gets a 408
     * first if its request has been received in part and no earlier one is in progress.
     */
    void drop(String reason) {
        context.events().record(EventLog.Kind.DROPPED, idInProgress(), () -> reason + ", " + this);
        context.connections().markClosing(this);
        if (receiving && !isRequestInProgress()) {
            reader.discardPartialRequest();
            sendText(HttpResponseStatus.REQUEST_TIMEOUT, "no whole request in time", false);
            input.stopDecoding();
        } else {
            closeAtOnce();
        }
    }

    // Returns the id of the request whose response is pending, or else of the one being received.
    private String idInProgress() {
        return isRequestInProgress() ? currentRequestId : reader.receivedRequestId();
    }

    /** Logs the close of a connection during a drain and closes it gracefully. */
    void closeForDrain() {
        context.events().record(EventLog.Kind.DROPPED, null, () -> "drained, " + this);
        closeGracefully();
    }

    /**
     * Shuts the output down and closes the connection once the client closes it or a timeout
     * expires. Input received from now on is dropped; the client sends its requests elsewhere.
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

    /**
     * Closes the connection and unregisters it, so that the caller can count the open connections
     * right after. The close listener may run later: Netty defers listeners that are deeply nested.
     */
    void closeAtOnce() {
        channel.close();
        context.connections().remove(this);
    }

    @Override
    public String toString() {
        return "client " + connectionNumber + " request " + requestCount;
    }
}

package loadbalancer.upstream;

import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.socket.SocketChannel;
import io.netty.util.ReferenceCountUtil;
import loadbalancer.admin.EventLog;
import loadbalancer.proxy.BodyRelay;
import loadbalancer.routing.api.AttemptOutcome;
import loadbalancer.util.Exceptions;

/**
 * One connection to an endpoint, from connect to close. It carries one request at a time and is
 * idle in between. It writes the requests, and {@link ResponseReader} reads their responses. It is
 * the first handler of its pipeline, so that it receives bytes before they are decoded. Event loop
 * thread only.
 */
final class UpstreamConnection extends ChannelInboundHandlerAdapter {
    // With a larger buffer, a slow upstream's progress is seen in steps of many seconds.
    private static final int UPLOAD_SEND_BUFFER_BYTES = 128 * 1024;

    /** How much of the request has been written. Only a complete request may have run. */
    private enum WriteProgress {
        NOT_STARTED,
        STARTED,
        COMPLETE
    }

    private final PoolContext pool;
    private final EndpointPool endpoint;
    private Channel channel;
    // Null if the connection is idle or its request was abandoned.
    private UpstreamRequest request;
    private WriteProgress writeProgress = WriteProgress.NOT_STARTED;
    // Whether part of the response to the current request has been received.
    private boolean responding;
    private long idleSinceMicros;
    // True after a fault. Further input is ignored.
    private boolean broken;
    // Whether the connection counts as open in the pool.
    private boolean countedAsOpen = true;

    UpstreamConnection(PoolContext pool, EndpointPool endpoint) {
        this.pool = pool;
        this.endpoint = endpoint;
    }

    /** Sets the request to write once the connection is established. */
    void assign(UpstreamRequest newRequest) {
        request = newRequest;
        newRequest.setConnection(this);
    }

    /** Sets the channel, which is being connected, and handles the result of the connect. */
    void open(ChannelFuture connectFuture) {
        channel = connectFuture.channel();
        channel.closeFuture().addListener(closed -> onClosed());
        connectFuture.addListener(
                done -> {
                    if (done.isSuccess()) {
                        runOrFail(this::onConnected);
                    } else {
                        completeWithoutResponse(AttemptOutcome.CONNECT_FAILED);
                        close();
                    }
                });
    }

    // Whether the request may be sent is checked right before its write, because the endpoint list
    // or the state of the request may have changed while it waited. The listener may abandon the
    // request during the check.
    private void onConnected() {
        UpstreamRequest pendingRequest = request;
        boolean mayStart =
                pendingRequest != null && !endpoint.isDrained() && pendingRequest.mayStart();
        if (mayStart && request != null) {
            write(pendingRequest);
            return;
        }
        UpstreamRequest unsentRequest = detachRequest();
        // The connection is kept for a later request.
        returnToPool();
        if (unsentRequest != null) {
            unsentRequest.completeWithoutResponse(AttemptOutcome.NOT_SENT);
        }
    }

    void write(UpstreamRequest nextRequest) {
        runOrFail(() -> startWriting(nextRequest));
    }

    // An exception must neither leave the request without an outcome nor keep the connection open
    // that may carry a part of it.
    private void runOrFail(Runnable step) {
        try {
            step.run();
        } catch (RuntimeException | Error e) {
            AttemptOutcome outcome =
                    isRequestWritten() ? AttemptOutcome.RESET : AttemptOutcome.CONNECT_FAILED;
            UpstreamRequest failedRequest = detachRequest();
            Exceptions.runAll(
                    () -> logException(failedRequest, e),
                    this::closeBroken,
                    () -> completeIfAny(failedRequest, outcome));
        }
    }

    private void logException(UpstreamRequest failedRequest, Throwable exception) {
        pool.events()
                .record(
                        EventLog.Kind.ATTEMPT,
                        failedRequest == null ? null : failedRequest.clientRequestId(),
                        () -> "unexpected exception " + Exceptions.describe(exception));
    }

    private void startWriting(UpstreamRequest nextRequest) {
        assign(nextRequest);
        writeProgress = WriteProgress.STARTED;
        responding = false;
        BodyRelay upload = nextRequest.upload();
        if (upload != null) {
            limitSendBuffer();
            channel.write(nextRequest.toHttpRequest(endpoint.address()));
            upload.writeTo(channel, new UploadListener(nextRequest));
        } else {
            channel.writeAndFlush(nextRequest.toHttpRequest(endpoint.address()))
                    .addListener(done -> onRequestWritten(nextRequest, done.isSuccess()));
        }
    }

    private void limitSendBuffer() {
        if (channel instanceof SocketChannel socket) {
            socket.config().setSendBufferSize(UPLOAD_SEND_BUFFER_BYTES);
        }
    }

    private final class UploadListener implements BodyRelay.Listener {
        private final UpstreamRequest uploadedRequest;

        UploadListener(UpstreamRequest uploadedRequest) {
            this.uploadedRequest = uploadedRequest;
        }

        @Override
        public void onComplete() {
            onRequestWritten(uploadedRequest, true);
        }

        // The client has disconnected. Closing the connection keeps the request incomplete.
        @Override
        public void onAborted() {
            close();
        }
    }

    private void onRequestWritten(UpstreamRequest writtenRequest, boolean success) {
        if (success && !writtenRequest.isHealthCheck()) {
            pool.metrics().recordAttemptSent();
        }
        if (request != writtenRequest) {
            return;
        }
        if (success) {
            writeProgress = WriteProgress.COMPLETE;
        } else {
            completeWithoutResponse(AttemptOutcome.CONNECT_FAILED);
            close();
        }
    }

    /** Returns the current request, or null. */
    UpstreamRequest request() {
        return request;
    }

    /** Returns whether the request's last byte has been written, so that it may have run. */
    boolean isRequestWritten() {
        return writeProgress == WriteProgress.COMPLETE;
    }

    /** Records that the head of a response to the current request has been received. */
    void onResponseHead() {
        responding = true;
    }

    /** Returns how far the current request has come. */
    AttemptProgress progress() {
        if (responding) {
            return AttemptProgress.RESPONDING;
        }
        return switch (writeProgress) {
            case NOT_STARTED -> AttemptProgress.NOT_STARTED;
            case STARTED -> AttemptProgress.SENDING;
            case COMPLETE -> AttemptProgress.SENT;
        };
    }

    private UpstreamRequest detachRequest() {
        UpstreamRequest detachedRequest = request;
        request = null;
        return detachedRequest;
    }

    /**
     * Abandons the request and closes the connection if its write has started.
     *
     * @return whether the request may have run, because its last byte has been written
     */
    boolean abandonRequest() {
        boolean mayHaveRun = isRequestWritten();
        request = null;
        if (writeProgress != WriteProgress.NOT_STARTED) {
            close();
        }
        return mayHaveRun;
    }

    private void completeWithoutResponse(AttemptOutcome outcome) {
        completeIfAny(detachRequest(), outcome);
    }

    private static void completeIfAny(UpstreamRequest finishedRequest, AttemptOutcome outcome) {
        if (finishedRequest != null) {
            finishedRequest.completeWithoutResponse(outcome);
        }
    }

    /**
     * Ends the exchange after a complete response: the connection becomes idle or is closed. The
     * caller completes the returned request afterwards, because its listener may send the next
     * request over this connection.
     *
     * @return the request, or null if it was abandoned
     */
    UpstreamRequest finishExchange(boolean reusable) {
        UpstreamRequest finishedRequest = detachRequest();
        if (reusable) {
            returnToPool();
        } else {
            close();
        }
        return finishedRequest;
    }

    private void returnToPool() {
        writeProgress = WriteProgress.NOT_STARTED;
        idleSinceMicros = pool.nowMicros();
        if (endpoint.isDraining()) {
            close();
        } else {
            endpoint.addIdle(this);
        }
    }

    /** Returns the time in µs at which the connection became idle. */
    long idleSinceMicros() {
        return idleSinceMicros;
    }

    /**
     * Returns whether the idle connection can carry a request. If not, the caller must close it.
     */
    boolean isReusable() {
        return isActive()
                && pool.nowMicros() - idleSinceMicros < pool.maxIdleMicros()
                && !(channel instanceof StaleCheckSocketChannel staleCheckChannel
                        && staleCheckChannel.hasUnreadInput());
    }

    // Closes the connection on unsolicited bytes. If they stayed in the decoder, or were read just
    // after the next request was written, they would be taken for the response to that request.
    @Override
    public void channelRead(ChannelHandlerContext context, Object message) {
        if (request == null) {
            failMalformed("nobody asked");
        } else if (!isRequestWritten() && request.upload() == null) {
            failMalformed("bytes before the request was completely written");
        }
        if (broken) {
            ReferenceCountUtil.release(message);
        } else {
            context.fireChannelRead(message);
        }
    }

    @Override
    public void channelWritabilityChanged(ChannelHandlerContext context) {
        if (request != null && request.upload() != null) {
            request.upload().writePending();
        }
    }

    Channel channel() {
        return channel;
    }

    boolean isActive() {
        return channel.isActive();
    }

    boolean isBroken() {
        return broken;
    }

    /**
     * Closes the connection. Its descriptor counts as free right after: the close listener may run
     * later, because Netty defers listeners that are deeply nested.
     */
    void close() {
        channel.close();
        countAsClosed();
    }

    private void countAsClosed() {
        if (countedAsOpen) {
            countedAsOpen = false;
            pool.onConnectionClosed();
        }
    }

    /** Closes the connection after a fault, so that the end of the input completes no response. */
    void closeBroken() {
        broken = true;
        close();
    }

    /**
     * Closes the connection on a malformed response and logs the reason once. The request then
     * fails as described at {@link #failPendingRequest}.
     */
    void failMalformed(String reason) {
        if (!broken) {
            broken = true;
            logMalformed(reason);
            close();
        }
    }

    void logMalformed(String reason) {
        pool.events()
                .record(
                        EventLog.Kind.UNREADABLE,
                        request == null ? null : request.clientRequestId(),
                        () -> "answer of " + endpoint.id() + ": " + reason);
    }

    /**
     * Fails the current request, if any, after the end of the input: as {@link
     * AttemptOutcome#RESET} if it was completely written and so may have run, else as {@link
     * AttemptOutcome#CONNECT_FAILED}.
     */
    void failPendingRequest() {
        completeWithoutResponse(
                isRequestWritten() ? AttemptOutcome.RESET : AttemptOutcome.CONNECT_FAILED);
    }

    // A request whose write has started is failed by ResponseReader, after the remaining input has
    // been decoded.
    private void onClosed() {
        countAsClosed();
        endpoint.removeIdle(this);
        if (writeProgress == WriteProgress.NOT_STARTED) {
            completeWithoutResponse(AttemptOutcome.CONNECT_FAILED);
        }
    }
}

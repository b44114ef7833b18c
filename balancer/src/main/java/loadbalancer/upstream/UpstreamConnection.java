package loadbalancer.upstream;

import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.util.ReferenceCountUtil;
import loadbalancer.admin.EventLog;
import loadbalancer.proxy.BodyRelay;
import loadbalancer.routing.api.AttemptOutcome;

/**
 * One connection to an endpoint, from its connect to its close; it carries one request at a time
 * and is idle in between. It writes requests; {@link ResponseReader} reads their responses. As the
 * first handler of its pipeline it sees bytes before they are decoded. Event loop thread only.
 */
final class UpstreamConnection extends ChannelInboundHandlerAdapter {
    /** How much of the request has been written: what decides whether it may have run. */
    private enum WriteProgress {
        NOT_STARTED,
        STARTED,
        COMPLETE
    }

    private final PoolContext pool;
    private final EndpointPool endpoint;
    private Channel channel;
    // Null where the connection is idle or its request was abandoned
    private UpstreamRequest request;
    private WriteProgress writeProgress = WriteProgress.NOT_STARTED;
    private long idleSinceMicros;
    // Nothing more that arrives is trusted
    private boolean broken;

    UpstreamConnection(PoolContext pool, EndpointPool endpoint) {
        this.pool = pool;
        this.endpoint = endpoint;
    }

    // ---------------------------------------------------------------- connect

    /** Takes the request to write once the connection is established. */
    void assign(UpstreamRequest newRequest) {
        request = newRequest;
        newRequest.setConnection(this);
    }

    /** Takes over the channel that is being connected. */
    void open(ChannelFuture connectFuture) {
        channel = connectFuture.channel();
        channel.closeFuture().addListener(closed -> onClosed());
        connectFuture.addListener(
                done -> {
                    if (done.isSuccess()) {
                        onConnected();
                    } else {
                        completeWithoutResponse(AttemptOutcome.CONNECT_FAILED);
                        close();
                    }
                });
    }

    // Whether a request may be sent is decided at the instant of its write: the endpoint list, or
    // what
    // the request allows, may have changed while it waited, and the listener may abandon it when
    // asked.
    private void onConnected() {
        UpstreamRequest pendingRequest = request;
        boolean mayStart =
                pendingRequest != null && !endpoint.isDrained() && pendingRequest.mayStart();
        if (mayStart && request != null) {
            write(pendingRequest);
            return;
        }
        UpstreamRequest unsentRequest = detachRequest();
        // The established connection serves a later request
        returnToPool();
        if (unsentRequest != null) {
            unsentRequest.completeWithoutResponse(AttemptOutcome.NOT_SENT);
        }
    }

    // ---------------------------------------------------------------- request

    void write(UpstreamRequest nextRequest) {
        assign(nextRequest);
        writeProgress = WriteProgress.STARTED;
        BodyRelay upload = nextRequest.upload();
        if (upload != null) {
            channel.write(nextRequest.toHttpRequest(endpoint.address()));
            upload.writeTo(channel, new UploadListener(nextRequest));
        } else {
            channel.writeAndFlush(nextRequest.toHttpRequest(endpoint.address()))
                    .addListener(done -> onRequestWritten(nextRequest, done.isSuccess()));
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

        // The client disconnected: its request stays incomplete
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

    /** The request that is under way, or null. */
    UpstreamRequest request() {
        return request;
    }

    /** Whether the request's last byte has been written: from then on it may have run. */
    boolean isRequestWritten() {
        return writeProgress == WriteProgress.COMPLETE;
    }

    private UpstreamRequest detachRequest() {
        UpstreamRequest detachedRequest = request;
        request = null;
        return detachedRequest;
    }

    /** Gives the request up; the connection is closed if any of it has been written. */
    boolean abandonRequest() {
        boolean mayHaveRun = isRequestWritten();
        request = null;
        if (writeProgress != WriteProgress.NOT_STARTED) {
            close();
        }
        return mayHaveRun;
    }

    private void completeWithoutResponse(AttemptOutcome outcome) {
        UpstreamRequest finishedRequest = detachRequest();
        if (finishedRequest != null) {
            finishedRequest.completeWithoutResponse(outcome);
        }
    }

    /**
     * Ends the exchange after a whole response: the connection becomes idle or is closed. The
     * caller completes the request that is returned afterwards, as its listener may send the next
     * request over this connection; null where the request was abandoned.
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

    // ---------------------------------------------------------------- idle

    private void returnToPool() {
        writeProgress = WriteProgress.NOT_STARTED;
        idleSinceMicros = pool.nowMicros();
        if (endpoint.isDraining()) {
            close();
        } else {
            endpoint.addIdle(this);
        }
    }

    /** The time in µs at which the connection became idle. */
    long idleSinceMicros() {
        return idleSinceMicros;
    }

    /** Whether the idle connection can carry a request; it must be closed where it can't. */
    boolean isReusable() {
        return isActive()
                && pool.nowMicros() - idleSinceMicros < pool.maxIdleMicros()
                && !(channel instanceof StaleCheckSocketChannel staleCheckChannel
                        && staleCheckChannel.hasUnreadInput());
    }

    // ---------------------------------------------------------------- input

    // Unsolicited bytes end the connection here: left in the decoder, or read just after the next
    // request was written, they would be taken for that request's response.
    @Override
    public void channelRead(ChannelHandlerContext context, Object message) {
        if (request == null) {
            failMalformed("nobody asked");
        } else if (!isRequestWritten() && request.upload() == null) {
            failMalformed("before the request was written");
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

    // ---------------------------------------------------------------- close

    Channel channel() {
        return channel;
    }

    boolean isActive() {
        return channel.isActive();
    }

    boolean isBroken() {
        return broken;
    }

    void close() {
        channel.close();
    }

    /** Closes the connection after a fault: an end of input then completes no response. */
    void closeBroken() {
        broken = true;
        close();
    }

    /** Closes the connection on a malformed response; its request ends as one that may have run. */
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
     * The input has ended with the request under way: whether it may have run depends on the write.
     */
    void failUnanswered() {
        completeWithoutResponse(
                isRequestWritten() ? AttemptOutcome.RESET : AttemptOutcome.CONNECT_FAILED);
    }

    // A request that was written to ends when the input does, after all that was decoded
    private void onClosed() {
        pool.onConnectionClosed();
        endpoint.removeIdle(this);
        if (writeProgress == WriteProgress.NOT_STARTED) {
            completeWithoutResponse(AttemptOutcome.CONNECT_FAILED);
        }
    }
}

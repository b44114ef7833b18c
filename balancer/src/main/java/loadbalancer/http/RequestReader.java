package loadbalancer.http;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.handler.codec.DecoderResult;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.EmptyHttpHeaders;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpObject;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http.LastHttpContent;
import java.io.IOException;
import loadbalancer.proxy.BodyRelay;
import loadbalancer.proxy.ByteSizes;
import loadbalancer.proxy.MemoryReservation;
import loadbalancer.proxy.PeerMemory;
import loadbalancer.util.Exceptions;

/**
 * Reads the requests of one client connection. Buffers short requests until they are complete and
 * streams long bodies (an <em>upload</em>). Owns the data of the request that is being received and
 * releases it when the connection is closed. The last inbound handler of the pipeline; confined to
 * the event loop.
 */
final class RequestReader extends SimpleChannelInboundHandler<HttpObject> {
    /** The length of the longest body that is buffered; longer ones are streamed. */
    static final int MAX_BUFFERED_BODY_BYTES = BodyRelay.MAX_BUFFERED_BYTES;

    /** The reason for refusing a request that does not fit into the memory. */
    static final String NO_MEMORY = "no memory left for buffered requests";

    private static final int MAX_BODY_BYTES = 32 * 1024 * 1024;

    /** The state of a streamed body and its request. */
    private enum UploadState {
        /** No body is being streamed. */
        NONE,
        /** The body is being received; the request waits for the response to an earlier one. */
        WAITING,
        /** The request has been submitted to the dispatcher; its body is being received. */
        FORWARDING,
        /** The body is complete; the request waits for the response to an earlier one. */
        RECEIVED,
        /** The request got a response before its body was complete; the rest is dropped. */
        DISCARDED
    }

    private final ClientConnection connection;
    private final Channel channel;
    private final PeerMemory peerMemory;
    private final ClientConnections connections;
    // The head of the request that is being received; null between requests.
    private HttpRequest requestHead;
    // The memory of the request that is being received; null between requests and once the request
    // has been passed on.
    private MemoryReservation memory;
    // The estimated memory of the request's head in bytes.
    private int headBytes;
    // Null if there is no body, and once the body is streamed.
    private ByteBuf bufferedBody;
    // The bytes received of the current request's body.
    private long bodyBytes;
    // Null in UploadState.NONE.
    private BodyRelay upload;
    private UploadState uploadState = UploadState.NONE;

    RequestReader(ClientConnection connection, Channel channel, FrontendContext context) {
        this.connection = connection;
        this.channel = channel;
        this.peerMemory = context.memory();
        this.connections = context.connections();
    }

    /** Returns the number of bytes received of the current request's body. */
    long bodyBytes() {
        return bodyBytes;
    }

    /** Returns the Req-Id of the request that is being received; null if it is not known. */
    String receivedRequestId() {
        return requestHead == null ? null : requestHead.headers().get("Req-Id");
    }

    /** Returns the bytes that are reserved for the request that is being received. */
    int incompleteRequestBytes() {
        return memory == null ? 0 : memory.bytes();
    }

    boolean hasUpload() {
        return upload != null;
    }

    /** Returns whether a request with a streamed body still waits to be submitted. */
    boolean hasWaitingUpload() {
        return upload != null && uploadState != UploadState.FORWARDING;
    }

    /** Returns whether a long body is being received; its relay detects the client's close. */
    boolean isRelayReading() {
        return upload != null && !upload.isSourceEnded();
    }

    /**
     * Returns whether the body's relay has stopped reading until an upstream has taken more of it.
     */
    boolean isPausedByBackPressure() {
        return upload != null && upload.isSourcePaused();
    }

    @Override
    protected void channelRead0(ChannelHandlerContext context, HttpObject message) {
        if (message instanceof HttpRequest requestStart) {
            onRequestHead(requestStart);
        }
        if (message instanceof HttpContent content && requestHead != null) {
            onBodyContent(content);
        }
    }

    @Override
    public void channelReadComplete(ChannelHandlerContext context) {
        if (upload != null) {
            upload.writePending();
        }
        context.fireChannelReadComplete();
    }

    @Override
    public void channelWritabilityChanged(ChannelHandlerContext context) {
        connection.onWritabilityChanged();
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
        if (cause instanceof IOException) {
            channel.close();
        } else {
            Exceptions.runAll(() -> connection.exceptionGuard().log(cause), channel::close);
        }
    }

    private void onRequestHead(HttpRequest request) {
        requestHead = request;
        bodyBytes = 0;
        memory = new MemoryReservation(peerMemory, connection.isRequestInProgress());
        headBytes = BufferedRequest.headBytes(request);
        connection.requestTimeout().onRequestHead();
        if (!reserve(headBytes)) {
            abortAndRefuse(NO_MEMORY);
        } else if (!request.decoderResult().isSuccess()) {
            // Treated as complete, so that it is rejected: nothing after it can be decoded.
            onRequestComplete();
        } else if (HttpUtil.getContentLength(request, 0L) > MAX_BODY_BYTES) {
            abortAndReject(HttpResponseStatus.REQUEST_ENTITY_TOO_LARGE);
        } else if (!connection.isRequestInProgress() && HttpUtil.is100ContinueExpected(request)) {
            channel.writeAndFlush(
                    new DefaultFullHttpResponse(
                            HttpVersion.HTTP_1_1,
                            HttpResponseStatus.CONTINUE,
                            Unpooled.EMPTY_BUFFER));
        }
    }

    private void onBodyContent(HttpContent content) {
        if (content.content().isReadable()) {
            bodyBytes += content.content().readableBytes();
            connection.requestTimeout().onBodyBytes();
        }
        if (!content.decoderResult().isSuccess()) {
            onMalformedBody(content.decoderResult());
            return;
        }
        if (bodyBytes > MAX_BODY_BYTES) {
            abortAndReject(HttpResponseStatus.REQUEST_ENTITY_TOO_LARGE);
            return;
        }
        if (upload == null && bodyBytes > MAX_BUFFERED_BODY_BYTES) {
            startUpload();
        }
        if (upload == null && !reserve(headBytes + ByteSizes.nextPowerOfTwo((int) bodyBytes))) {
            abortAndRefuse(NO_MEMORY);
            return;
        }
        boolean isLast = content instanceof LastHttpContent;
        if (upload != null) {
            addToUpload(content.content(), isLast);
        } else {
            addToBuffer(content.content());
        }
        if (isLast && upload != null) {
            onUploadReceived();
        } else if (isLast) {
            onRequestComplete();
        }
    }

    // Stalled clients are dropped first, so that they can't keep others from being served.
    private boolean reserve(int neededBytes) {
        return memory.growTo(neededBytes)
                || (connections.evictStalledHolders(connection) && memory.growTo(neededBytes));
    }

    private void addToBuffer(ByteBuf content) {
        if (!content.isReadable()) {
            return;
        }
        if (bufferedBody == null) {
            int initialBytes = Math.min(MAX_BUFFERED_BODY_BYTES, content.capacity());
            bufferedBody = channel.alloc().heapBuffer(initialBytes);
        }
        bufferedBody.writeBytes(content);
    }

    private void addToUpload(ByteBuf content, boolean isLast) {
        if (isLast) {
            upload.complete(content.retain());
        } else {
            upload.add(content.retain());
        }
    }

    private void onRequestComplete() {
        FullHttpRequest request =
                new DefaultFullHttpRequest(
                        requestHead.protocolVersion(),
                        requestHead.method(),
                        requestHead.uri(),
                        bufferedBody == null ? Unpooled.EMPTY_BUFFER : bufferedBody,
                        requestHead.headers(),
                        EmptyHttpHeaders.INSTANCE);
        request.setDecoderResult(requestHead.decoderResult());
        requestHead = null;
        bufferedBody = null;
        connection.onRequestReceived(new BufferedRequest(request, takeMemory(), System.nanoTime()));
    }

    private MemoryReservation takeMemory() {
        MemoryReservation taken = memory;
        memory = null;
        return taken;
    }

    // A buffered request gets the failed decoder result and is rejected as a whole. An upload is
    // aborted, so that its request never becomes complete.
    private void onMalformedBody(DecoderResult decoderResult) {
        if (upload == null) {
            requestHead.setDecoderResult(decoderResult);
            onRequestComplete();
        } else {
            abortAndReject(HttpResponseStatus.BAD_REQUEST);
        }
    }

    private void abortAndReject(HttpResponseStatus status) {
        HttpRequest request = requestHead;
        abortRequest();
        connection.rejectIncompleteRequest(request, status);
    }

    private void abortAndRefuse(String reason) {
        HttpRequest request = requestHead;
        abortRequest();
        connection.refuseIncompleteRequest(request, reason);
    }

    private void abortRequest() {
        discardPartialRequest();
        if (upload != null) {
            BodyRelay abortedUpload = upload;
            boolean wasForwarding = uploadState == UploadState.FORWARDING;
            upload = null;
            uploadState = UploadState.NONE;
            if (wasForwarding) {
                connection.cancelRequest();
            }
            abortedUpload.abort();
        }
    }

    /** Releases what has been received of a request that will not be processed. */
    void discardPartialRequest() {
        requestHead = null;
        if (bufferedBody != null) {
            bufferedBody.release();
            bufferedBody = null;
        }
        if (memory != null) {
            takeMemory().release();
        }
    }

    private void startUpload() {
        upload = new BodyRelay(channel, peerMemory.streamed(), true, () -> {});
        uploadState = UploadState.WAITING;
        if (bufferedBody != null) {
            upload.add(bufferedBody);
            bufferedBody = null;
        }
        memory.resizeTo(headBytes);
        if (!connection.isRequestInProgress()) {
            forwardUpload();
        }
    }

    /** Submits a request with a streamed body, most of which is usually still to be received. */
    private void forwardUpload() {
        if (uploadState != UploadState.RECEIVED) {
            uploadState = UploadState.FORWARDING;
        }
        connection.forwardStreamedRequest(requestHead, upload, takeMemory());
        if (uploadState == UploadState.RECEIVED) {
            completeUpload();
        }
    }

    /** Submits a request with a streamed body that has waited, unless its client may have left. */
    void forwardOrRefuseUpload(boolean isCloseHidden) {
        if (isCloseHidden) {
            abortAndRefuse("its client may have disconnected");
        } else {
            forwardUpload();
        }
    }

    private void onUploadReceived() {
        connection.onUploadReceived();
        if (uploadState == UploadState.FORWARDING) {
            completeUpload();
        } else {
            uploadState = UploadState.RECEIVED;
            // The connection is closed after the response to this request.
            connection.acceptNoMoreRequests();
        }
    }

    private void completeUpload() {
        uploadState = UploadState.NONE;
        upload = null;
        requestHead = null;
        connection.onRequestBodyComplete();
    }

    /**
     * Drops the rest of a body that is being forwarded, because its request gets a final response.
     *
     * @return whether there was such a body
     */
    boolean discardUnfinishedUpload() {
        if (uploadState != UploadState.FORWARDING) {
            return false;
        }
        uploadState = UploadState.DISCARDED;
        upload.discard();
        return true;
    }

    /** Releases the data of a partly received request after the connection has been closed. */
    void onConnectionClosed() {
        discardPartialRequest();
        if (upload != null) {
            upload.abort();
        }
    }
}

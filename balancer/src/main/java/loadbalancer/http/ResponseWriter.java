package loadbalancer.http;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelOutboundBuffer;
import io.netty.channel.socket.SocketChannel;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.DefaultHttpResponse;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaderValues;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.Future;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.Consumer;
import loadbalancer.proxy.BodyRelay;

/** Writes the responses of one client connection. Confined to the event loop. */
final class ResponseWriter {
    // The size of the socket's send buffer while a response is streamed.
    private static final int SEND_BUFFER_BYTES = 128 * 1024;
    private static final long WRITE_TIMEOUT_MS = 2_200;
    // The time for a client to read its response while it is still sending its request.
    private static final long UPLOAD_LINGER_TIMEOUT_MS = 4_000;

    private final ClientConnection connection;
    private final Channel channel;
    // Null unless a complete response is being written.
    private Future<?> writeTimeout;
    // The body of the response that is being streamed, or null.
    private BodyRelay streamedBody;

    ResponseWriter(ClientConnection connection, Channel channel) {
        this.connection = connection;
        this.channel = channel;
    }

    /** Returns a response with a Content-Length header; it takes ownership of {@code body}. */
    static FullHttpResponse newResponse(
            HttpResponseStatus status, ByteBuf body, String contentTypeOrNull) {
        FullHttpResponse response = new DefaultFullHttpResponse(HttpVersion.HTTP_1_1, status, body);
        if (contentTypeOrNull != null) {
            response.headers().set(HttpHeaderNames.CONTENT_TYPE, contentTypeOrNull);
        }
        response.headers().set(HttpHeaderNames.CONTENT_LENGTH, body.readableBytes());
        return response;
    }

    /** Returns a response with one line of plain text. */
    static FullHttpResponse newTextResponse(HttpResponseStatus status, String text) {
        ByteBuf body = Unpooled.copiedBuffer(text + "\n", StandardCharsets.UTF_8);
        return newResponse(status, body, "text/plain");
    }

    /**
     * Writes a complete response. A client that stops reading it is dropped, so that unread
     * responses do not accumulate in memory.
     *
     * @param keepOpen whether the connection serves further requests
     * @param uploadUnfinished whether the client is still sending the request
     */
    void write(FullHttpResponse response, boolean keepOpen, boolean uploadUnfinished) {
        if (!keepOpen) {
            response.headers().set(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE);
        }
        ChannelFuture writeFuture = channel.writeAndFlush(response);
        if (!writeFuture.isDone()) {
            startWriteTimeout();
        }
        writeFuture.addListener(
                done ->
                        connection
                                .exceptionGuard()
                                .run(
                                        () ->
                                                onWritten(
                                                        done.isSuccess(),
                                                        keepOpen,
                                                        uploadUnfinished)));
    }

    private void onWritten(boolean success, boolean keepOpen, boolean uploadUnfinished) {
        if (writeTimeout != null) {
            writeTimeout.cancel(false);
            writeTimeout = null;
        }
        if (uploadUnfinished && success) {
            LingeringClose.start(channel, UPLOAD_LINGER_TIMEOUT_MS);
        } else {
            connection.onResponseWritten(keepOpen && success);
        }
    }

    // A client that reads slowly keeps its connection as long as it takes some of the response.
    private void startWriteTimeout() {
        long pendingBytes = pendingBytes();
        writeTimeout =
                channel.eventLoop()
                        .schedule(
                                connection
                                        .exceptionGuard()
                                        .wrap(() -> onWriteTimeout(pendingBytes)),
                                WRITE_TIMEOUT_MS,
                                TimeUnit.MILLISECONDS);
    }

    private void onWriteTimeout(long pendingBytesBefore) {
        if (pendingBytes() < pendingBytesBefore) {
            startWriteTimeout();
        } else {
            connection.drop("response not read in time");
        }
    }

    // The buffer's own count leaves out what has been written of a message.
    private long pendingBytes() {
        ChannelOutboundBuffer pending = channel.unsafe().outboundBuffer();
        if (pending == null) {
            return 0;
        }
        AtomicLong bytes = new AtomicLong();
        try {
            pending.forEachFlushedMessage(
                    message -> bytes.addAndGet(((ByteBuf) message).readableBytes()) >= 0);
        } catch (Exception e) {
            throw new IllegalStateException("the count of pending bytes failed", e);
        }
        return bytes.get();
    }

    /**
     * Writes a response whose body is still being received from the upstream.
     *
     * @param head a response head from {@link #newStreamedHead}
     * @param selfDelimited whether the client can tell a complete body from one that is cut off
     * @param keepOpen whether the connection serves further requests
     * @param onFinished is given whether the response was complete
     */
    void stream(
            HttpResponse head,
            BodyRelay body,
            boolean selfDelimited,
            boolean keepOpen,
            Consumer<Boolean> onFinished) {
        if (channel instanceof SocketChannel socket) {
            // With a larger buffer, a slow client's progress is seen in steps of many seconds.
            socket.config().setSendBufferSize(SEND_BUFFER_BYTES);
        }
        streamedBody = body;
        channel.write(head);
        body.writeTo(
                channel,
                new BodyRelay.Listener() {
                    @Override
                    public void onComplete() {
                        connection.onStreamComplete();
                        streamedBody = null;
                        onFinished.accept(true);
                        connection.onResponseWritten(keepOpen);
                    }

                    @Override
                    public void onAborted() {
                        streamedBody = null;
                        onFinished.accept(false);
                        abort(selfDelimited);
                    }
                });
        // The head, if no part of the body has arrived yet.
        channel.flush();
    }

    /**
     * Returns the head of a streamed response; a negative {@code contentLength} means that the
     * length is unknown.
     */
    static HttpResponse newStreamedHead(
            long contentLength, String contentTypeOrNull, boolean selfDelimited, boolean keepOpen) {
        HttpResponse head = new DefaultHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.OK);
        if (contentTypeOrNull != null) {
            head.headers().set(HttpHeaderNames.CONTENT_TYPE, contentTypeOrNull);
        }
        if (contentLength >= 0) {
            HttpUtil.setContentLength(head, contentLength);
        } else if (selfDelimited) {
            HttpUtil.setTransferEncodingChunked(head, true);
        }
        if (!keepOpen) {
            head.headers().set(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE);
        }
        return head;
    }

    // A body that is delimited by the close must end with a reset, or it would look complete.
    private void abort(boolean selfDelimited) {
        if (!selfDelimited && channel instanceof SocketChannel socket) {
            socket.config().setSoLinger(0);
        }
        channel.close();
    }

    /** Resumes a streamed response that was waiting for the client to read. */
    void onWritabilityChanged() {
        if (streamedBody != null) {
            streamedBody.writePending();
        }
    }
}

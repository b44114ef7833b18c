package loadbalancer.upstream;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.EmptyHttpHeaders;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpObject;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpStatusClass;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http.LastHttpContent;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.Future;
import java.util.concurrent.TimeUnit;
import loadbalancer.proxy.BodyRelay;
import loadbalancer.proxy.ByteSizes;
import loadbalancer.proxy.MemoryReservation;
import loadbalancer.proxy.PeerMemory;
import loadbalancer.proxy.PeerReadAllocator;
import loadbalancer.proxy.StrictFraming;
import loadbalancer.routing.api.AttemptOutcome;
import loadbalancer.routing.api.LoadReport;
import loadbalancer.routing.api.LoadReportParser;

/**
 * Reads the responses on one connection, one after the other. A response is buffered and completes
 * its request once all bytes that arrived with it have been read. A 200 response that is too long
 * or too slow to be buffered is streamed. It is the last handler of its pipeline. Event loop thread
 * only.
 */
final class ResponseReader extends SimpleChannelInboundHandler<HttpObject> {
    /** Length in bytes above which a response is streamed. */
    private static final int MAX_BUFFERED_RESPONSE_BYTES = 64 * 1024;

    /**
     * Time in ms from the head after which a response that is long, or of unknown length, is
     * streamed. Until then a failed attempt can be retried.
     */
    private static final long RESPONSE_BUFFERING_TIMEOUT_MS = 100;

    private static final String LOAD_REPORT_HEADER = "Srv-Load";
    private static final String DECLINED_HEADER = "Srv-Declined";

    private final PoolContext pool;
    private final UpstreamConnection connection;
    private final StrictFraming.ResponseDecoder decoder = new StrictFraming.ResponseDecoder();

    // The memory of the head and the buffered body.
    private final MemoryReservation responseMemory;
    // The memory that the decoder retains of an incomplete head.
    private final MemoryReservation decoderMemory;
    // Null between responses.
    private HttpResponse responseHead;
    // The body received so far while it is buffered, or null.
    private ByteBuf bufferedBody;
    // Whether onIncompleteResponse has been called for the current response.
    private boolean incompleteResponseReported;
    // Set while a long body, or one of unknown length, is buffered or has not begun; else null.
    private Future<?> bufferingTimeout;
    // The body while it is streamed, or null.
    private BodyRelay download;
    // The complete buffered response, until all bytes that arrived with it have been read.
    private FullHttpResponse completeResponse;
    // True from the end of a streamed response until all bytes that arrived with it have been read.
    private boolean streamCompleted;
    // True if another message has followed the complete response.
    private boolean hasExtraResponses;

    ResponseReader(PoolContext pool, UpstreamConnection connection) {
        this.responseMemory = new MemoryReservation(pool.memory(), false);
        this.decoderMemory = new MemoryReservation(pool.memory(), false);
        this.pool = pool;
        this.connection = connection;
    }

    /** Returns the decoder that must precede this handler in the pipeline. */
    StrictFraming.ResponseDecoder decoder() {
        return decoder;
    }

    @Override
    protected void channelRead0(ChannelHandlerContext context, HttpObject message) {
        if (connection.request() == null || connection.isBroken()) {
            // The request was abandoned or the connection has failed.
            return;
        }
        if (!message.decoderResult().isSuccess()) {
            connection.failMalformed(message.decoderResult().toString());
        } else if (completeResponse != null || streamCompleted) {
            hasExtraResponses = true;
        } else {
            if (message instanceof HttpResponse head) {
                onHead(head);
            }
            if (message instanceof HttpContent content && responseHead != null) {
                onContent(content);
            }
        }
    }

    private void onHead(HttpResponse head) {
        responseHead = head;
        connection.onResponseHead();
        if (!responseMemory.resizeTo(PeerMemory.headBytes(head.headers()))) {
            connection.failMalformed("no memory left for its head");
        }
    }

    private void onContent(HttpContent content) {
        boolean isLast = content instanceof LastHttpContent;
        if (responseHead.status().codeClass() == HttpStatusClass.INFORMATIONAL) {
            if (isLast) {
                responseHead = null;
            }
            return;
        }
        if (download == null && bufferedBody == null) {
            bufferedBody = connection.channel().alloc().heapBuffer();
        }
        if (download != null) {
            download.add(content.content().retain());
        } else {
            bufferOrStartStreaming(content.content());
        }
        if (isLast && download != null) {
            streamCompleted = true;
        } else if (isLast && bufferedBody != null) {
            completeBufferedResponse();
        }
    }

    // Called once for a response that is not complete when everything that arrived with its head
    // has been read.
    private void onIncompleteResponse(UpstreamRequest request) {
        incompleteResponseReported = true;
        if (contentLength() < 0 || contentLength() > MAX_BUFFERED_RESPONSE_BYTES) {
            bufferingTimeout =
                    pool.loop()
                            .schedule(
                                    this::startStreaming,
                                    RESPONSE_BUFFERING_TIMEOUT_MS,
                                    TimeUnit.MILLISECONDS);
        }
        if (responseHead.status().code() == 200) {
            request.onResponseHead();
        }
    }

    private boolean isResponseIncomplete() {
        return responseHead != null
                && responseHead.status().codeClass() != HttpStatusClass.INFORMATIONAL
                && completeResponse == null
                && download == null
                && !connection.isBroken();
    }

    private void bufferOrStartStreaming(ByteBuf part) {
        int bufferedBytes = bufferedBody.readableBytes() + part.readableBytes();
        if (bufferedBytes <= MAX_BUFFERED_RESPONSE_BYTES && reserveBody(bufferedBytes)) {
            bufferedBody.writeBytes(part);
            if (contentLength() > MAX_BUFFERED_RESPONSE_BYTES) {
                startStreaming();
            }
        } else {
            startStreaming();
            if (download != null) {
                download.add(part.retain());
            }
        }
    }

    // A body that does not fit into the memory is streamed, or dropped if only the head is used.
    private boolean reserveBody(int bufferedBytes) {
        int headBytes = PeerMemory.headBytes(responseHead.headers());
        return responseMemory.growTo(headBytes + ByteSizes.nextPowerOfTwo(bufferedBytes));
    }

    private void completeBufferedResponse() {
        cancelBufferingTimeout();
        completeResponse =
                new DefaultFullHttpResponse(
                        HttpVersion.HTTP_1_1,
                        responseHead.status(),
                        bufferedBody,
                        responseHead.headers(),
                        EmptyHttpHeaders.INSTANCE);
        bufferedBody = null;
    }

    private long contentLength() {
        return HttpUtil.getContentLength(responseHead, -1L);
    }

    private void cancelBufferingTimeout() {
        if (bufferingTimeout != null) {
            bufferingTimeout.cancel(false);
            bufferingTimeout = null;
        }
    }

    // Only a 200 response is streamed. For any other response the status is enough and the body is
    // dropped.
    private void startStreaming() {
        cancelBufferingTimeout();
        ByteBuf initialBody = bufferedBody == null ? Unpooled.EMPTY_BUFFER : bufferedBody;
        UpstreamRequest request = connection.request();
        if (request == null || connection.isBroken() || responseHead == null) {
            return;
        }
        if (responseHead.status().code() != 200 || request.isHealthCheck()) {
            initialBody.clear();
            return;
        }
        if (!connection.isRequestWritten()) {
            connection.failMalformed("status 200 before the request was completely written");
            return;
        }
        bufferedBody = null;
        responseMemory.resizeTo(PeerMemory.headBytes(responseHead.headers()));
        download =
                new BodyRelay(
                        connection.channel(), pool.memory().streamed(), false, connection::close);
        download.add(initialBody);
        request.onResponseStarted(
                responseHead,
                contentLength(),
                download,
                LoadReportParser.parse(responseHead.headers().get(LOAD_REPORT_HEADER)));
    }

    // If part of another message follows a response, the response did not have the length that its
    // sender intended, and the attempt fails. If only whole messages follow, the first one is the
    // response to the request and the connection is closed.
    @Override
    public void channelReadComplete(ChannelHandlerContext context) {
        PeerReadAllocator.reportMessages(connection.channel(), decoder.takeMessageCount());
        if (download != null) {
            download.writePending();
        }
        FullHttpResponse response = completeResponse;
        if (!decoderMemory.resizeTo(decoder.retainedBytes())) {
            connection.failMalformed("no memory left for its head");
        }
        if (streamCompleted && !connection.isBroken()) {
            onStreamComplete();
        }
        UpstreamRequest request = connection.request();
        if (request != null && !incompleteResponseReported && isResponseIncomplete()) {
            onIncompleteResponse(request);
        }
        if (response == null) {
            return;
        }
        completeResponse = null;
        try {
            if (decoder.hasUndecodedBytes()) {
                connection.failMalformed("response followed by part of another message");
            } else if (connection.request() != null && !connection.isBroken()) {
                if (hasExtraResponses) {
                    connection.logMalformed("more than one response, the first is forwarded");
                }
                onResponseComplete(response);
            }
        } finally {
            response.release();
            responseMemory.resizeTo(0);
        }
    }

    // The whole body has arrived. The client may still be receiving it.
    private void onStreamComplete() {
        boolean reusable =
                HttpUtil.isKeepAlive(responseHead)
                        && !hasExtraResponses
                        && !decoder.hasUndecodedBytes()
                        && connection.isActive();
        BodyRelay completedDownload = download;
        resetResponseState();
        UpstreamRequest completedRequest = connection.finishExchange(reusable);
        completedDownload.complete();
        if (completedRequest != null) {
            completedRequest.completeWithoutResponse(AttemptOutcome.OK);
        }
    }

    private void onResponseComplete(FullHttpResponse response) {
        boolean beforeUploadComplete = !connection.isRequestWritten();
        if (beforeUploadComplete && response.status().code() == 200) {
            connection.failMalformed("status 200 before the request was completely written");
            return;
        }
        resetResponseState();
        boolean reusable =
                HttpUtil.isKeepAlive(response)
                        && !hasExtraResponses
                        && !beforeUploadComplete
                        && connection.isActive();
        UpstreamRequest completedRequest = connection.finishExchange(reusable);
        if (beforeUploadComplete) {
            completedRequest.upload().discard();
        }
        completedRequest.complete(
                classify(response), response, loadReport(response, completedRequest));
    }

    // A health check's response may carry the load report in its body instead of the header.
    private static LoadReport loadReport(FullHttpResponse response, UpstreamRequest request) {
        String loadReport = response.headers().get(LOAD_REPORT_HEADER);
        if (loadReport == null && request.isHealthCheck()) {
            loadReport = response.content().toString(StandardCharsets.UTF_8);
        }
        return LoadReportParser.parse(loadReport);
    }

    // Only the endpoint's Srv-Declined header proves that a request did not run.
    private static AttemptOutcome classify(FullHttpResponse response) {
        int status = response.status().code();
        if (status == 200) {
            return AttemptOutcome.OK;
        }
        boolean declined = "1".equals(response.headers().get(DECLINED_HEADER));
        return declined && (status == 503 || status == 504)
                ? AttemptOutcome.REJECTED
                : AttemptOutcome.ERROR;
    }

    private void resetResponseState() {
        incompleteResponseReported = false;
        cancelBufferingTimeout();
        if (bufferedBody != null) {
            bufferedBody.release();
            bufferedBody = null;
        }
        responseHead = null;
        download = null;
        streamCompleted = false;
        if (completeResponse == null) {
            responseMemory.resizeTo(0);
        }
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
        if (!(cause instanceof IOException)) {
            connection.failMalformed(String.valueOf(cause));
        }
        connection.closeBroken();
    }

    // The decoder has already delivered a response that was completed by the end of the input.
    @Override
    public void channelInactive(ChannelHandlerContext context) {
        if (completeResponse != null) {
            completeResponse.release();
            completeResponse = null;
        }
        decoderMemory.release();
        BodyRelay abortedDownload = download;
        UpstreamRequest request = connection.request();
        BodyRelay unsentUpload = request == null ? null : request.upload();
        resetResponseState();
        if (abortedDownload != null) {
            abortedDownload.abort();
        }
        if (unsentUpload != null) {
            unsentUpload.discard();
        }
        connection.failPendingRequest();
    }
}

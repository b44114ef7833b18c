package loadbalancer.upstream;

import io.netty.buffer.ByteBuf;
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
import loadbalancer.proxy.StrictFraming;
import loadbalancer.routing.api.AttemptOutcome;
import loadbalancer.routing.api.LoadReport;
import loadbalancer.routing.api.LoadReportParser;

/**
 * Reads the responses on one connection, one after the other. A response is buffered and completes
 * its request once all that arrived with it has been read; a 200 response that is too long or too
 * slow for that is streamed. The last handler of its pipeline. Event loop thread only.
 */
final class ResponseReader extends SimpleChannelInboundHandler<HttpObject> {
    /** Longer responses are streamed. */
    private static final int MAX_BUFFERED_RESPONSE_BYTES = 64 * 1024;

    /** A response of unknown length that takes longer is streamed. */
    private static final long RESPONSE_BUFFERING_TIMEOUT_MS = 100;

    private static final String LOAD_REPORT_HEADER = "Srv-Load";
    private static final String DECLINED_HEADER = "Srv-Declined";

    private final PoolContext pool;
    private final UpstreamConnection connection;
    private final StrictFraming.ResponseDecoder decoder = new StrictFraming.ResponseDecoder();

    // Null between responses
    private HttpResponse responseHead;
    // The body so far while it is buffered
    private ByteBuf bufferedBody;
    // Runs while a body of unknown length is buffered
    private Future<?> bufferingTimeout;
    // The body while it is streamed
    private BodyRelay download;
    // A buffered response that has ended, until all that arrived with it has been read
    private FullHttpResponse completeResponse;
    // The streamed response has ended: the same
    private boolean streamCompleted;
    // Another response arrived behind the one that has ended
    private boolean hasExtraResponses;

    ResponseReader(PoolContext pool, UpstreamConnection connection) {
        this.pool = pool;
        this.connection = connection;
    }

    /** The decoder that belongs before this handler. */
    StrictFraming.ResponseDecoder decoder() {
        return decoder;
    }

    // ---------------------------------------------------------------- reading

    @Override
    protected void channelRead0(ChannelHandlerContext context, HttpObject message) {
        if (connection.request() == null || connection.isBroken()) {
            // Abandoned meanwhile
            return;
        }
        if (!message.decoderResult().isSuccess()) {
            connection.failMalformed(message.decoderResult().toString());
        } else if (completeResponse != null || streamCompleted) {
            hasExtraResponses = true;
        } else {
            if (message instanceof HttpResponse head) {
                responseHead = head;
            }
            if (message instanceof HttpContent content && responseHead != null) {
                onContent(content);
            }
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
            startBuffering(isLast);
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

    private void startBuffering(boolean isLast) {
        bufferedBody = connection.channel().alloc().heapBuffer();
        if (contentLength() < 0 && !isLast) {
            bufferingTimeout =
                    pool.loop()
                            .schedule(
                                    this::startStreaming,
                                    RESPONSE_BUFFERING_TIMEOUT_MS,
                                    TimeUnit.MILLISECONDS);
        }
    }

    private void bufferOrStartStreaming(ByteBuf part) {
        int bufferedBytes = bufferedBody.readableBytes() + part.readableBytes();
        if (bufferedBytes <= MAX_BUFFERED_RESPONSE_BYTES) {
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

    // Only a 200 response is streamed. The body of any other is dropped, as its status says enough.
    private void startStreaming() {
        cancelBufferingTimeout();
        ByteBuf initialBody = bufferedBody;
        UpstreamRequest request = connection.request();
        if (request == null || connection.isBroken() || initialBody == null) {
            return;
        }
        if (responseHead.status().code() != 200 || request.isHealthCheck()) {
            initialBody.clear();
            return;
        }
        if (!connection.isRequestWritten()) {
            connection.failMalformed("served before the request was written");
            return;
        }
        bufferedBody = null;
        download =
                new BodyRelay(connection.channel(), pool.bufferBudget(), false, connection::close);
        download.add(initialBody);
        request.onResponseStarted(
                responseHead,
                contentLength(),
                download,
                LoadReportParser.parse(responseHead.headers().get(LOAD_REPORT_HEADER)));
    }

    // ---------------------------------------------------------------- end of a response

    // A response followed by a part of another message had a different length than its sender
    // meant.
    // Where only whole messages follow, the first belongs to the request and the connection is
    // closed.
    @Override
    public void channelReadComplete(ChannelHandlerContext context) {
        FullHttpResponse response = completeResponse;
        if (streamCompleted && !connection.isBroken()) {
            onStreamComplete();
        }
        if (response == null) {
            return;
        }
        completeResponse = null;
        try {
            if (decoder.hasUndecodedBytes()) {
                connection.failMalformed("more behind it");
            } else if (connection.request() != null && !connection.isBroken()) {
                if (hasExtraResponses) {
                    connection.logMalformed("more than one, the first is passed on");
                }
                onResponseComplete(response);
            }
        } finally {
            response.release();
        }
    }

    // All of the body has arrived; the client may still be reading it
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
            connection.failMalformed("served before the request was written");
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

    // A health check's report may be its body
    private static LoadReport loadReport(FullHttpResponse response, UpstreamRequest request) {
        String loadReport = response.headers().get(LOAD_REPORT_HEADER);
        if (loadReport == null && request.isHealthCheck()) {
            loadReport = response.content().toString(StandardCharsets.UTF_8);
        }
        return LoadReportParser.parse(loadReport);
    }

    // Only the endpoint's own statement proves that a request did not run
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
        cancelBufferingTimeout();
        if (bufferedBody != null) {
            bufferedBody.release();
            bufferedBody = null;
        }
        responseHead = null;
        download = null;
        streamCompleted = false;
    }

    // ---------------------------------------------------------------- end of the connection

    @Override
    public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
        if (!(cause instanceof IOException)) {
            connection.failMalformed(String.valueOf(cause));
        }
        connection.closeBroken();
    }

    // Runs after the decoder has delivered what the end of the input completes
    @Override
    public void channelInactive(ChannelHandlerContext context) {
        if (completeResponse != null) {
            completeResponse.release();
            completeResponse = null;
        }
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
        connection.failUnanswered();
    }
}

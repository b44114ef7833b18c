package loadbalancer.proxy;

import io.netty.buffer.ByteBuf;
import io.netty.channel.ChannelHandlerContext;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaderValues;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpMessage;
import io.netty.handler.codec.http.HttpRequestDecoder;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseDecoder;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.util.AsciiString;
import java.util.List;

/**
 * Decoders that reject a message whose length two parties may interpret differently (RFC 9112,
 * section 6.3). Netty's decoders choose one interpretation, which permits request smuggling: what
 * the sender meant as a body is read as a separate message. A rejected message has a failed decoder
 * result, usually with a {@link FramingException}, and nothing after it on its connection is
 * decoded.
 */
public final class StrictFraming {
    private StrictFraming() {}

    /** Decodes clients' requests. */
    public static final class RequestDecoder extends HttpRequestDecoder {
        private final HeadMemoryMeter meter = new HeadMemoryMeter();
        private int messageCount;

        /** Returns whether received bytes remain that are not decoded yet. */
        public boolean hasUndecodedBytes() {
            return actualReadableBytes() > 0;
        }

        /** Returns the estimated heap in bytes that this decoder retains of what it received. */
        public int retainedBytes() {
            return meter.retainedBytes(internalBuffer());
        }

        @Override
        protected void decode(ChannelHandlerContext context, ByteBuf input, List<Object> output)
                throws Exception {
            int bytesBefore = input.readableBytes();
            super.decode(context, input, output);
            meter.onConsumed(bytesBefore - input.readableBytes());
            messageCount += output.size();
            completeHead(meter, output);
        }

        /**
         * Returns the number of messages decoded since the last call; each part of a body is one.
         */
        public int takeMessageCount() {
            int count = messageCount;
            messageCount = 0;
            return count;
        }

        @Override
        protected HttpMessage createMessage(String[] startLine) throws Exception {
            meter.onStartLine();
            return super.createMessage(startLine);
        }

        @Override
        protected AsciiString splitHeaderName(byte[] line, int start, int length) {
            meter.onField(line);
            return super.splitHeaderName(line, start, length);
        }

        // Called when the headers are complete, before Netty removes any of them.
        @Override
        protected boolean isContentAlwaysEmpty(HttpMessage message) {
            validateFraming(message);
            return super.isContentAlwaysEmpty(message);
        }
    }

    /** Decodes upstreams' responses. */
    public static final class ResponseDecoder extends HttpResponseDecoder {
        private final HeadMemoryMeter meter = new HeadMemoryMeter();
        private int messageCount;

        /** Returns whether received bytes remain that are not decoded yet. */
        public boolean hasUndecodedBytes() {
            return actualReadableBytes() > 0;
        }

        /** Returns the estimated heap in bytes that this decoder retains of what it received. */
        public int retainedBytes() {
            return meter.retainedBytes(internalBuffer());
        }

        @Override
        protected void decode(ChannelHandlerContext context, ByteBuf input, List<Object> output)
                throws Exception {
            int bytesBefore = input.readableBytes();
            super.decode(context, input, output);
            meter.onConsumed(bytesBefore - input.readableBytes());
            messageCount += output.size();
            completeHead(meter, output);
        }

        /**
         * Returns the number of messages decoded since the last call; each part of a body is one.
         */
        public int takeMessageCount() {
            int count = messageCount;
            messageCount = 0;
            return count;
        }

        @Override
        protected HttpMessage createMessage(String[] startLine) {
            meter.onStartLine();
            return super.createMessage(startLine);
        }

        @Override
        protected boolean isContentAlwaysEmpty(HttpMessage message) {
            validateFraming(message);
            if (((HttpResponse) message).status().equals(HttpResponseStatus.SWITCHING_PROTOCOLS)) {
                throw new FramingException("101 Switching Protocols was not requested");
            }
            return super.isContentAlwaysEmpty(message);
        }

        // Netty also ends a header's name at white space and so accepts a line without a colon.
        @Override
        protected AsciiString splitHeaderName(byte[] line, int start, int length) {
            if (line[start + length] != ':') {
                throw new FramingException("no colon after a header's name");
            }
            meter.onField(line);
            return super.splitHeaderName(line, start, length);
        }
    }

    // A head is complete when it has been put out, and trailers with the last content.
    private static void completeHead(HeadMemoryMeter meter, List<Object> output) {
        if (!output.isEmpty()) {
            meter.onComplete();
        }
    }

    private static void validateFraming(HttpMessage message) {
        HttpHeaders headers = message.headers();
        HttpVersion version = message.protocolVersion();
        if (!version.protocolName().equals("HTTP") || version.majorVersion() != 1) {
            throw new FramingException("not HTTP/1");
        }
        List<String> transferCodings = headers.getAll(HttpHeaderNames.TRANSFER_ENCODING);
        if (transferCodings.isEmpty()) {
            return;
        }
        if (version.minorVersion() == 0) {
            throw new FramingException("Transfer-Encoding in HTTP/1.0");
        }
        if (transferCodings.size() > 1
                || !HttpHeaderValues.CHUNKED.contentEqualsIgnoreCase(transferCodings.get(0))) {
            throw new FramingException("Transfer-Encoding is not just chunked");
        }
        if (headers.contains(HttpHeaderNames.CONTENT_LENGTH)) {
            throw new FramingException("both Transfer-Encoding and Content-Length");
        }
    }
}

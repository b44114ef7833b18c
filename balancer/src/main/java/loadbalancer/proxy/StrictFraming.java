package loadbalancer.proxy;

import io.netty.buffer.ByteBuf;
import io.netty.channel.ChannelHandlerContext;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpMessage;
import io.netty.handler.codec.http.HttpRequestDecoder;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseDecoder;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.util.AsciiString;
import java.util.List;

/**
 * Decoders that reject a message whose length two parties may interpret differently (RFC 9112,
 * sections 6.3 and 7.1). Netty's decoders choose one interpretation, which permits request
 * smuggling: what the sender meant as a body is read as a separate message. A rejected message has
 * a failed decoder result, of its head or of its last content, usually with a {@link
 * FramingException}, and nothing after it on its connection is decoded.
 */
public final class StrictFraming {
    private static final int STATUS_CODE_DIGITS = 3;

    private StrictFraming() {}

    /** Decodes clients' requests. */
    public static final class RequestDecoder extends HttpRequestDecoder {
        private final MessageGuard guard = new MessageGuard();

        /** Returns whether received bytes remain that are not decoded yet. */
        public boolean hasUndecodedBytes() {
            return actualReadableBytes() > 0;
        }

        /** Returns the estimated heap in bytes that this decoder retains of what it received. */
        public int retainedBytes() {
            return guard.retainedBytes(internalBuffer());
        }

        /**
         * Returns the number of messages decoded since the last call; each part of a body is one.
         */
        public int takeMessageCount() {
            return guard.takeMessageCount();
        }

        @Override
        protected void decode(ChannelHandlerContext context, ByteBuf input, List<Object> output)
                throws Exception {
            guard.decode(input, output, () -> super.decode(context, input, output));
        }

        @Override
        protected HttpMessage createMessage(String[] startLine) throws Exception {
            guard.onStartLine();
            return super.createMessage(startLine);
        }

        @Override
        protected AsciiString splitHeaderName(byte[] line, int start, int length) {
            AsciiString name = super.splitHeaderName(line, start, length);
            guard.onField(line, name);
            return name;
        }

        // Called when the headers are complete.
        @Override
        protected boolean isContentAlwaysEmpty(HttpMessage message) {
            guard.validateFraming(message);
            if (hasImpliedLength(message)) {
                throw new FramingException("a body without Content-Length");
            }
            boolean isEmpty = super.isContentAlwaysEmpty(message);
            if (!isEmpty) {
                guard.onBodyStart(message);
            }
            return isEmpty;
        }

        // Netty reads a body of eight bytes after the head of an old WebSocket handshake.
        private static boolean hasImpliedLength(HttpMessage message) {
            return !message.headers().contains(HttpHeaderNames.CONTENT_LENGTH)
                    && message.headers().contains(HttpHeaderNames.SEC_WEBSOCKET_KEY1)
                    && message.headers().contains(HttpHeaderNames.SEC_WEBSOCKET_KEY2);
        }
    }

    /** Decodes responses of upstreams and of discovery. */
    public static final class ResponseDecoder extends HttpResponseDecoder {
        private final MessageGuard guard = new MessageGuard();

        /** Returns whether received bytes remain that are not decoded yet. */
        public boolean hasUndecodedBytes() {
            return actualReadableBytes() > 0;
        }

        /** Returns the estimated heap in bytes that this decoder retains of what it received. */
        public int retainedBytes() {
            return guard.retainedBytes(internalBuffer());
        }

        /**
         * Returns the number of messages decoded since the last call; each part of a body is one.
         */
        public int takeMessageCount() {
            return guard.takeMessageCount();
        }

        @Override
        protected void decode(ChannelHandlerContext context, ByteBuf input, List<Object> output)
                throws Exception {
            guard.decode(input, output, () -> super.decode(context, input, output));
        }

        // Netty also accepts a sign, and fewer or more digits.
        @Override
        protected HttpMessage createMessage(String[] startLine) {
            guard.onStartLine();
            if (!isStatusCode(startLine[1])) {
                throw new FramingException("status code is not three digits");
            }
            return super.createMessage(startLine);
        }

        private static boolean isStatusCode(String text) {
            return text.length() == STATUS_CODE_DIGITS
                    && text.charAt(0) != '0'
                    && text.chars().allMatch(character -> character >= '0' && character <= '9');
        }

        @Override
        protected boolean isContentAlwaysEmpty(HttpMessage message) {
            guard.validateFraming(message);
            if (((HttpResponse) message).status().equals(HttpResponseStatus.SWITCHING_PROTOCOLS)) {
                throw new FramingException("101 Switching Protocols was not requested");
            }
            boolean isEmpty = super.isContentAlwaysEmpty(message);
            if (!isEmpty) {
                guard.onBodyStart(message);
            }
            return isEmpty;
        }

        // Netty also ends a header's name at white space and so accepts a line without a colon.
        @Override
        protected AsciiString splitHeaderName(byte[] line, int start, int length) {
            if (line[start + length] != ':') {
                throw new FramingException("no colon after a header's name");
            }
            AsciiString name = super.splitHeaderName(line, start, length);
            guard.onField(line, name);
            return name;
        }
    }
}

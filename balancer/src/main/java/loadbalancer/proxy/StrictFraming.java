package loadbalancer.proxy;

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
 * Decoders that turn a message down where two parties may read its length differently (RFC 9112,
 * 6.3). Guards against request smuggling: Netty's own choose one reading, so that what a sender
 * means as a body is taken for a message of its own. What they turn down is malformed, and so is
 * all that follows on its connection.
 */
public final class StrictFraming {
    private StrictFraming() {}

    /** Of clients' requests. */
    public static final class RequestDecoder extends HttpRequestDecoder {
        /** Whether a part of a line has come that is not read yet. */
        public boolean hasUndecodedBytes() {
            return actualReadableBytes() > 0;
        }

        @Override
        protected boolean isContentAlwaysEmpty(HttpMessage message) {
            // The headers are whole, and none has been dropped yet
            validateFraming(message);
            return super.isContentAlwaysEmpty(message);
        }
    }

    /** Of upstreams' answers. */
    public static final class ResponseDecoder extends HttpResponseDecoder {
        /** Whether a part of a line has come that is not read yet. */
        public boolean hasUndecodedBytes() {
            return actualReadableBytes() > 0;
        }

        @Override
        protected boolean isContentAlwaysEmpty(HttpMessage message) {
            validateFraming(message);
            if (((HttpResponse) message).status().equals(HttpResponseStatus.SWITCHING_PROTOCOLS)) {
                throw new IllegalArgumentException("another protocol, unasked");
            }
            return super.isContentAlwaysEmpty(message);
        }

        // Netty ends a name at white space too, and so takes a line without a colon for a header.
        @Override
        protected AsciiString splitHeaderName(byte[] line, int start, int length) {
            if (line[start + length] != ':') {
                throw new IllegalArgumentException("no colon after a header's name");
            }
            return super.splitHeaderName(line, start, length);
        }
    }

    private static void validateFraming(HttpMessage message) {
        HttpHeaders headers = message.headers();
        HttpVersion version = message.protocolVersion();
        if (!version.protocolName().equals("HTTP") || version.majorVersion() != 1) {
            throw new IllegalArgumentException("not HTTP/1");
        }
        List<String> transferCodings = headers.getAll(HttpHeaderNames.TRANSFER_ENCODING);
        if (transferCodings.isEmpty()) {
            return;
        }
        if (version.minorVersion() == 0) {
            throw new IllegalArgumentException("Transfer-Encoding in HTTP/1.0");
        }
        if (transferCodings.size() > 1
                || !HttpHeaderValues.CHUNKED.contentEqualsIgnoreCase(transferCodings.get(0))) {
            throw new IllegalArgumentException("Transfer-Encoding is not just chunked");
        }
        if (headers.contains(HttpHeaderNames.CONTENT_LENGTH)) {
            throw new IllegalArgumentException("both Transfer-Encoding and Content-Length");
        }
    }
}

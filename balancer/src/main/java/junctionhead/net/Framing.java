package junctionhead.net;

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
final class Framing {
    private Framing() {}

    /** Of clients' requests. */
    static final class Requests extends HttpRequestDecoder {
        /** Whether a part of a line has come that is not read yet. */
        boolean holdsBytes() {
            return actualReadableBytes() > 0;
        }

        @Override
        protected boolean isContentAlwaysEmpty(HttpMessage message) {
            // The headers are whole, and none has been dropped yet
            check(message);
            return super.isContentAlwaysEmpty(message);
        }
    }

    /** Of upstreams' answers. */
    static final class Answers extends HttpResponseDecoder {
        /** Whether a part of a line has come that is not read yet. */
        boolean holdsBytes() {
            return actualReadableBytes() > 0;
        }

        @Override
        protected boolean isContentAlwaysEmpty(HttpMessage message) {
            check(message);
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

    private static void check(HttpMessage message) {
        HttpHeaders headers = message.headers();
        HttpVersion version = message.protocolVersion();
        if (!version.protocolName().equals("HTTP") || version.majorVersion() != 1) {
            throw new IllegalArgumentException("not HTTP/1");
        }
        List<String> codings = headers.getAll(HttpHeaderNames.TRANSFER_ENCODING);
        if (codings.isEmpty()) {
            return;
        }
        if (version.minorVersion() == 0) {
            throw new IllegalArgumentException("Transfer-Encoding in HTTP/1.0");
        }
        if (codings.size() > 1
                || !HttpHeaderValues.CHUNKED.contentEqualsIgnoreCase(codings.get(0))) {
            throw new IllegalArgumentException("Transfer-Encoding is not just chunked");
        }
        if (headers.contains(HttpHeaderNames.CONTENT_LENGTH)) {
            throw new IllegalArgumentException("both Transfer-Encoding and Content-Length");
        }
    }
}

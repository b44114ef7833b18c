package loadbalancer.proxy;

import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.DecoderResult;
import io.netty.handler.codec.http.DefaultLastHttpContent;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaderValues;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpMessage;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http.LastHttpContent;
import java.util.List;

/**
 * What the decoders of {@link StrictFraming} add to Netty's: it validates the framing of each
 * message, counts the decoded messages and meters the memory of an incomplete head. Belongs to one
 * decoder; confined to the event loop.
 */
final class MessageGuard {
    /** One step of Netty's decoder. */
    interface DecodingStep {
        void run() throws Exception;
    }

    private final HeadMemoryMeter meter = new HeadMemoryMeter();
    private final ChunkedBodyValidator chunkedBody = new ChunkedBodyValidator();
    // The number of Content-Length fields in the head that is being decoded.
    private int contentLengthFields;
    private int messageCount;
    // Whether a chunked body was malformed. Never reset: nothing after it can be decoded.
    private boolean failed;

    /** Runs a step of Netty's decoder, unless the framing forbids it or more input is needed. */
    void decode(ByteBuf input, List<Object> output, DecodingStep step) throws Exception {
        if (failed) {
            input.skipBytes(input.readableBytes());
            return;
        }
        try {
            if (!chunkedBody.mayDecode(input)) {
                return;
            }
        } catch (FramingException e) {
            fail(input, output, e);
            return;
        }
        boolean wasInBody = chunkedBody.isActive();
        int bytesBefore = input.readableBytes();
        step.run();
        int consumedBytes = bytesBefore - input.readableBytes();
        if (wasInBody) {
            chunkedBody.onConsumed(consumedBytes);
        }
        meter.onConsumed(consumedBytes);
        onDecoded(output);
    }

    private void fail(ByteBuf input, List<Object> output, FramingException cause) {
        failed = true;
        input.skipBytes(input.readableBytes());
        DefaultLastHttpContent malformed = new DefaultLastHttpContent();
        malformed.setDecoderResult(DecoderResult.failure(cause));
        output.add(malformed);
        onDecoded(output);
    }

    // A head is complete when it has been put out, and trailers with the last content.
    private void onDecoded(List<Object> output) {
        messageCount += output.size();
        if (output.isEmpty()) {
            return;
        }
        meter.onComplete();
        if (output.get(output.size() - 1) instanceof LastHttpContent) {
            chunkedBody.onBodyEnd();
        }
    }

    /** Records the start line of a message. */
    void onStartLine() {
        meter.onStartLine();
        contentLengthFields = 0;
    }

    /**
     * Records a field of a head or of trailers.
     *
     * @param line the decoder's buffer of the field's line
     * @param name the field's name
     */
    void onField(byte[] line, CharSequence name) {
        meter.onField(line);
        if (HttpHeaderNames.CONTENT_LENGTH.contentEqualsIgnoreCase(name)) {
            contentLengthFields++;
        }
    }

    /** Records that a message with this head has a body, if it is framed as chunked. */
    void onBodyStart(HttpMessage message) {
        if (message.headers().contains(HttpHeaderNames.TRANSFER_ENCODING)) {
            chunkedBody.onBodyStart();
        }
    }

    /** Returns the number of messages decoded since the last call. */
    int takeMessageCount() {
        int count = messageCount;
        messageCount = 0;
        return count;
    }

    /** Returns the estimated heap in bytes that the decoder retains. */
    int retainedBytes(ByteBuf undecoded) {
        return meter.retainedBytes(undecoded);
    }

    /** Validates the head of a message, whose fields have all been recorded. */
    void validateFraming(HttpMessage message) {
        HttpHeaders headers = message.headers();
        HttpVersion version = message.protocolVersion();
        if (!version.protocolName().equals("HTTP") || version.majorVersion() != 1) {
            throw new FramingException("not HTTP/1");
        }
        // Counted, because in HTTP/1.0 Netty has replaced several fields by the first one.
        if (contentLengthFields > 1) {
            throw new FramingException("more than one Content-Length");
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

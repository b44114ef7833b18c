package loadbalancer.proxy;

import static org.junit.jupiter.api.Assertions.assertEquals;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelHandler;
import io.netty.channel.embedded.EmbeddedChannel;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpMessage;
import java.nio.charset.StandardCharsets;
import java.util.Random;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * Tests which chunked bodies are rejected. In bodies, | stands for CRLF, ~ for LF, ^ for CR and #
 * for a control character. A request follows each body, which must not be read after a rejection.
 */
class ChunkedFramingTest {
    private static final String HEADERS = "|Transfer-Encoding: chunked||";
    private static final String NEXT_MESSAGE = "HTTP/1.1 204 -|Content-Length: 0||";
    private static final int MAX_PART_BYTES = 7;
    private static final int ONE_READ = 1 << 16;

    /** Decodes a response with this body, and another one; describes all that is decoded. */
    private static String decodeResponse(String body) {
        return decode(
                new StrictFraming.ResponseDecoder(), "HTTP/1.1 200 OK" + HEADERS + body, ONE_READ);
    }

    private static String decodeRequest(String body) {
        return decode(
                new StrictFraming.RequestDecoder(), "POST / HTTP/1.1" + HEADERS + body, ONE_READ);
    }

    private static String decode(ChannelHandler decoder, String messages, int partBytes) {
        EmbeddedChannel channel = new EmbeddedChannel(decoder);
        ByteBuf bytes = Unpooled.copiedBuffer(toWire(messages), StandardCharsets.ISO_8859_1);
        StringBuilder decoded = new StringBuilder();
        while (bytes.isReadable()) {
            channel.writeInbound(bytes.readBytes(Math.min(partBytes, bytes.readableBytes())));
            describeInbound(channel, decoded);
        }
        bytes.release();
        channel.finishAndReleaseAll();
        return decoded.toString();
    }

    private static String toWire(String text) {
        return text.replace("|", "\r\n")
                .replace('~', '\n')
                .replace('^', '\r')
                .replace('#', '\u0001');
    }

    private static void describeInbound(EmbeddedChannel channel, StringBuilder decoded) {
        for (Object part = channel.readInbound(); part != null; part = channel.readInbound()) {
            if (part instanceof HttpMessage) {
                decoded.append("[head]");
            }
            if (part instanceof HttpContent content) {
                decoded.append(content.content().toString(StandardCharsets.ISO_8859_1));
                decoded.append(content.decoderResult().isFailure() ? "[rejected]" : "");
                content.release();
            }
        }
    }

    /** Guards against a size that wraps round, behind which a body is read as a request. */
    @ParameterizedTest
    @ValueSource(
            strings = {
                "100000005",
                "100000000",
                "1FFFFFFFF",
                "80000000",
                "FFFFFFFF",
                "10000000000000005",
                "0000100000005"
            })
    void sizeThatDoesNotFitInto31BitsIsRejected(String size) {
        String body = size + "|hello|0||";
        assertEquals("[head][rejected]", decodeRequest(body + "GET / HTTP/1.1||"));
        assertEquals("[head][rejected]", decodeResponse(body + NEXT_MESSAGE));
    }

    /** Guards against a size that others read to another end, or refuse. */
    @ParameterizedTest
    @ValueSource(
            strings = {
                "",
                " ",
                " 5",
                "\t5",
                "+5",
                "-5",
                "0x5",
                "5_0",
                "5 6",
                "5\t6",
                "5#",
                "5#6",
                "5^6",
                "5 x;a",
                "5;a^b",
                "5;a#",
                "5;a=\"b",
                "5;a=\"b\\\"",
                ";a",
                "x",
                "5.",
                "5h"
            })
    void malformedSizeLineIsRejected(String sizeLine) {
        String body = sizeLine + "|hello|0||";
        assertEquals("[head][rejected]", decodeRequest(body + "GET / HTTP/1.1||"));
        assertEquals("[head][rejected]", decodeResponse(body + NEXT_MESSAGE));
    }

    @ParameterizedTest
    @ValueSource(
            strings = {
                "5|hello|0||",
                "0000000000000000000005|hello|0||",
                "5 \t|hello|0 ||",
                "5;a=b;c|hello|0;d||",
                "5 ; a=\"b;\\\"c\"|hello|0||",
                "2|he|3|llo|00|Trailer: x||"
            })
    void wellFormedBodyIsDecodedAndTheNextMessageToo(String body) {
        assertEquals("[head]hello[head]", decodeRequest(body + "GET / HTTP/1.1||"));
        assertEquals("[head]hello[head]", decodeResponse(body + NEXT_MESSAGE));
    }

    @ParameterizedTest
    @CsvSource({
        "'5~hello|0||', ''",
        "'5|hellox|0||', hello",
        "'5|hello~0||', hello",
        "'5|hello^x0||', hello",
        "'0~~', ''",
        "'0|a: b~~', ''",
        "'0|no colon||', ''",
        "'0|a : b||', ''",
        "'0|a: b| folded||', ''",
        "'0| Content-Length: 5||', ''",
        "'0|a: b#||', ''"
    })
    void malformedLineEndOrTrailerIsRejected(String body, String decodedBefore) {
        String expected = "[head]" + decodedBefore + "[rejected]";
        assertEquals(expected, decodeRequest(body + "GET / HTTP/1.1||"));
        assertEquals(expected, decodeResponse(body + NEXT_MESSAGE));
    }

    /** Trailers are dropped, so that they can't change the framing of what follows. */
    @ParameterizedTest
    @ValueSource(strings = {"Content-Length: 99", "Transfer-Encoding: gzip", "Content-Length: x"})
    void framingFieldInTrailersIsIgnored(String trailer) {
        String body = "5|hello|0|" + trailer + "||";
        assertEquals("[head]hello[head]", decodeRequest(body + "GET / HTTP/1.1||"));
        assertEquals("[head]hello[head]", decodeResponse(body + NEXT_MESSAGE));
    }

    /** The line stays undecoded until it is complete, so that its length needs a limit. */
    @Test
    void endlessSizeLineIsRejected() {
        String fitting = "5;" + "a".repeat(ChunkedBodyValidator.MAX_SIZE_LINE_BYTES - 4);
        assertEquals("[head]hello", decodeRequest(fitting + "|hello|0||"));
        assertEquals("[head][rejected]", decodeRequest(fitting + "a|hello|0||"));
        assertEquals("[head][rejected]", decodeRequest(fitting + "aaa"));
    }

    /** The end of a read may fall anywhere. */
    @Test
    void resultDoesNotDependOnHowTheInputIsDivided() {
        Random random = new Random(9);
        for (int run = 0; run < 300; run++) {
            StringBuilder body = new StringBuilder();
            StringBuilder data = new StringBuilder();
            for (int chunk = random.nextInt(5); chunk > 0; chunk--) {
                String part = "0|2x~".repeat(1 + random.nextInt(9));
                data.append(toWire(part));
                body.append(Integer.toHexString(toWire(part).length())).append('|').append(part);
                body.append('|');
            }
            boolean malformed = random.nextBoolean();
            body.append(malformed ? "100000000||" : "0||");
            String messages = "HTTP/1.1 200 OK" + HEADERS + body + NEXT_MESSAGE;
            String decoded =
                    decode(
                            new StrictFraming.ResponseDecoder(),
                            messages,
                            1 + random.nextInt(MAX_PART_BYTES));
            assertEquals("[head]" + data + (malformed ? "[rejected]" : "[head]"), decoded);
        }
    }
}

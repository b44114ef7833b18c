package loadbalancer.proxy;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelHandler;
import io.netty.channel.embedded.EmbeddedChannel;
import io.netty.handler.codec.DecoderResult;
import io.netty.handler.codec.http.HttpMessage;
import java.nio.charset.StandardCharsets;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

/** Tests which messages are rejected, and by which rule. In messages, | stands for CRLF. */
class StrictFramingTest {
    private static DecoderResult decode(ChannelHandler decoder, String message) {
        EmbeddedChannel channel = new EmbeddedChannel(decoder);
        String lines = message.replace("|", "\r\n");
        channel.writeInbound(Unpooled.copiedBuffer(lines, StandardCharsets.US_ASCII));
        HttpMessage head = channel.readInbound();
        DecoderResult result = head.decoderResult();
        channel.finishAndReleaseAll();
        return result;
    }

    private static void assertViolates(String expectedRule, DecoderResult result) {
        assertTrue(result.isFailure());
        assertEquals(FramingException.class, result.cause().getClass());
        assertEquals(expectedRule, result.cause().getMessage());
    }

    @ParameterizedTest
    @CsvSource({
        "'POST / HTTP/2.0|Content-Length: 0||', not HTTP/1",
        "'POST / HTTP/1.0|Transfer-Encoding: chunked||', Transfer-Encoding in HTTP/1.0",
        "'POST / HTTP/1.1|Transfer-Encoding: gzip||', Transfer-Encoding is not just chunked",
        "'POST / HTTP/1.1|Transfer-Encoding: chunked|Content-Length: 1||',"
                + " both Transfer-Encoding and Content-Length"
    })
    void rejectedRequestNamesTheRule(String message, String expectedRule) {
        assertViolates(expectedRule, decode(new StrictFraming.RequestDecoder(), message));
    }

    @ParameterizedTest
    @CsvSource({
        "'HTTP/1.1 101 Switching|Upgrade: x||', 101 Switching Protocols was not requested",
        "'HTTP/1.1 200 OK|no colon|Content-Length: 2||', no colon after a header's name",
        "'HTTP/1.1 200 OK|Transfer-Encoding: chunked|Content-Length: 1||',"
                + " both Transfer-Encoding and Content-Length"
    })
    void rejectedResponseNamesTheRule(String message, String expectedRule) {
        assertViolates(expectedRule, decode(new StrictFraming.ResponseDecoder(), message));
    }

    /** Guards against a second Content-Length, of which Netty uses the first in HTTP/1.0. */
    @ParameterizedTest
    @ValueSource(strings = {"2|Content-Length: 5", "5|content-length: 5"})
    void repeatedContentLengthIsRejectedInHttp10(String lengths) {
        String head = " HTTP/1.0|Content-Length: " + lengths + "||hello";
        assertViolates(
                "more than one Content-Length",
                decode(new StrictFraming.RequestDecoder(), "POST /" + head));
        assertViolates(
                "more than one Content-Length",
                decode(
                        new StrictFraming.ResponseDecoder(),
                        head.replace(" HTTP/1.0", "HTTP/1.0 200 OK")));
    }

    /** Guards against a body of eight bytes that only Netty sees. */
    @Test
    void requestWithImpliedLengthIsRejected() {
        assertViolates(
                "a body without Content-Length",
                decode(
                        new StrictFraming.RequestDecoder(),
                        "GET / HTTP/1.1|Sec-WebSocket-Key1: a|Sec-WebSocket-Key2: b||GET /abc"));
    }

    @ParameterizedTest
    @ValueSource(
            strings = {
                "18446744073709551621",
                "9223372036854775808",
                "''",
                "0x5",
                "+5",
                "-5",
                "5.0",
                "1 1",
                "5,5",
                "5|Content-Length: 5"
            })
    void contentLengthThatIsNoNumberOrOverflowsIsRejected(String length) {
        String field = "|Content-Length: " + length.replace("'", "") + "||hello";
        assertTrue(
                decode(new StrictFraming.RequestDecoder(), "POST / HTTP/1.1" + field).isFailure());
        assertTrue(
                decode(new StrictFraming.ResponseDecoder(), "HTTP/1.1 200 OK" + field).isFailure());
    }

    /** Guards against codes that Netty reads as 200 and others do not. */
    @ParameterizedTest
    @ValueSource(strings = {"2000", "+200", "0200", "20", "020", "-1", "2e2", "4294967496"})
    void statusCodeOfOtherThanThreeDigitsIsRejected(String code) {
        assertViolates(
                "status code is not three digits",
                decode(
                        new StrictFraming.ResponseDecoder(),
                        "HTTP/1.1 " + code + " OK|Content-Length: 0||"));
    }

    @ParameterizedTest
    @ValueSource(strings = {"HTTP/1.10", "HTTP/4294967297.1", "HTTP/1.4294967296", "HTTP/01.1"})
    void versionThatIsNotTwoDigitsIsRejected(String version) {
        assertTrue(
                decode(
                                new StrictFraming.RequestDecoder(),
                                "POST / " + version + "|Content-Length: 0||")
                        .isFailure());
    }

    @ParameterizedTest
    @CsvSource({
        "'POST / HTTP/1.1|Transfer-Encoding: Chunked||'",
        "'GET / HTTP/1.0||'",
        "'POST / HTTP/1.1|Content-Length: 3||'"
    })
    void unambiguousRequestIsDecoded(String message) {
        assertTrue(decode(new StrictFraming.RequestDecoder(), message).isSuccess());
    }
}

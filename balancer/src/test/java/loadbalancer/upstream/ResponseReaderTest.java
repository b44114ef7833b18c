package loadbalancer.upstream;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.netty.channel.embedded.EmbeddedChannel;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.LastHttpContent;
import java.util.ArrayList;
import java.util.List;
import loadbalancer.proxy.BodyRelay;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Tests how responses are handled by length, ending and bytes that arrive with them. */
class ResponseReaderTest {
    private static final String OK_HEAD = "HTTP/1.1 200 OK\r\n";
    private static final int MAX_BUFFERED_BYTES = 64 * 1024;

    private final EmbeddedUpstream upstream = new EmbeddedUpstream();
    private final EmbeddedChannel sink = new EmbeddedChannel();
    private final List<String> relayEvents = new ArrayList<>();
    private final UpstreamConnection connection = upstream.connect(upstream.request("r1"));

    @AfterEach
    void close() {
        upstream.close();
        sink.finishAndReleaseAll();
    }

    private void receive(String text) {
        EmbeddedUpstream.receive(connection, text);
    }

    private void closeByEndpoint() {
        connection.channel().close();
    }

    /** Forwards the streamed response to the sink and records how it ends. */
    private void forwardStreamedResponse() {
        upstream.streamedResponse()
                .writeTo(
                        sink,
                        new BodyRelay.Listener() {
                            @Override
                            public void onComplete() {
                                relayEvents.add("complete");
                            }

                            @Override
                            public void onAborted() {
                                relayEvents.add("aborted");
                            }
                        });
    }

    private int readForwardedBytes() {
        int bytes = 0;
        HttpContent part = sink.readOutbound();
        while (part != null) {
            bytes += part.content().readableBytes();
            part.release();
            part = sink.readOutbound();
        }
        return bytes;
    }

    private void assertNotReused() {
        assertFalse(connection.isActive());
        assertEquals(0, upstream.endpoint().idleCount());
    }

    private void assertReusable() {
        assertTrue(connection.isActive());
        assertEquals(1, upstream.endpoint().idleCount());
    }

    @Test
    void completeResponseEndsTheRequestAndTheConnectionIsIdle() {
        receive(OK_HEAD + "Content-Length: 5\r\n\r\nhel");
        assertEquals(List.of(), upstream.outcomes());
        receive("lo");
        assertEquals(List.of("OK hello"), upstream.outcomes());
        assertReusable();
    }

    @Test
    void secondRequestOfAConnectionGetsItsOwnResponse() {
        receive(OK_HEAD + "Content-Length: 5\r\n\r\nfirst");
        connection.write(upstream.request("r2"));
        receive(OK_HEAD + "Content-Length: 6\r\n\r\nsecond");
        assertEquals(List.of("OK first", "OK second"), upstream.outcomes());
    }

    @ParameterizedTest(name = "{0} {1} is {2}")
    @CsvSource(
            useHeadersInDisplayName = true,
            textBlock =
                    """
                    STATUS, HEADER,           OUTCOME
                    200,    'Srv-Declined: 1', OK
                    503,    'Srv-Declined: 1', REJECTED
                    504,    'Srv-Declined: 1', REJECTED
                    500,    'Srv-Declined: 1', ERROR
                    503,    'Srv-Declined: 0', ERROR
                    503,    'X: y',            ERROR
                    404,    'X: y',            ERROR
                    """)
    void onlyADeclinedResponseWith503Or504IsARejection(int status, String header, String outcome) {
        receive("HTTP/1.1 " + status + " X\r\n" + header + "\r\nContent-Length: 1\r\n\r\nx");
        assertEquals(List.of(outcome + " x"), upstream.outcomes());
    }

    @Test
    void loadReportComesFromTheHeader() {
        receive(OK_HEAD + "Srv-Load: TEXT inflight=3\r\nContent-Length: 1\r\n\r\nx");
        assertEquals(List.of("OK x in flight 3.0"), upstream.outcomes());
    }

    @Test
    void informationalResponseIsSkipped() {
        receive("HTTP/1.1 103 Early Hints\r\n\r\n" + OK_HEAD + "Content-Length: 1\r\n\r\nx");
        assertEquals(List.of("OK x"), upstream.outcomes());
    }

    @Test
    void connectionIsNotReusedAfterConnectionClose() {
        receive(OK_HEAD + "Connection: close\r\nContent-Length: 1\r\n\r\nx");
        assertEquals(List.of("OK x"), upstream.outcomes());
        assertNotReused();
    }

    @Test
    void responseOfUnknownLengthIsCompletedByTheClose() {
        receive(OK_HEAD + "\r\nhello");
        assertEquals(List.of(), upstream.outcomes());
        closeByEndpoint();
        assertEquals(List.of("OK hello"), upstream.outcomes());
    }

    @Test
    void responseAtTheLimitIsBuffered() {
        receive(OK_HEAD + "Content-Length: 65536\r\n\r\n" + "x".repeat(MAX_BUFFERED_BYTES));
        assertNull(upstream.streamedResponse());
        assertEquals(List.of("OK " + "x".repeat(MAX_BUFFERED_BYTES)), upstream.outcomes());
    }

    @Test
    void responseAboveTheLimitIsStreamedFromItsStart() {
        receive(OK_HEAD + "Content-Length: 65537\r\n\r\nx");
        assertEquals(List.of("stream of 65537"), upstream.outcomes());
        forwardStreamedResponse();
        assertEquals(1, readForwardedBytes());
        receive("x".repeat(MAX_BUFFERED_BYTES));
        assertEquals(MAX_BUFFERED_BYTES, readForwardedBytes());
        assertEquals(List.of("stream of 65537", "OK"), upstream.outcomes());
        assertEquals(List.of("complete"), relayEvents);
        assertReusable();
    }

    @Test
    void chunkedResponseAboveTheLimitIsStreamed() {
        receive(OK_HEAD + "Transfer-Encoding: chunked\r\n\r\n");
        receive("10000\r\n" + "x".repeat(MAX_BUFFERED_BYTES) + "\r\n");
        assertEquals(List.of(), upstream.outcomes());
        receive("1\r\nx\r\n");
        assertEquals(List.of("stream of -1"), upstream.outcomes());
        forwardStreamedResponse();
        receive("0\r\n\r\n");
        assertEquals(MAX_BUFFERED_BYTES + 1, readForwardedBytes());
        assertEquals(List.of("stream of -1", "OK"), upstream.outcomes());
    }

    @Test
    void slowResponseOfUnknownLengthIsStreamed() {
        receive(OK_HEAD + "Transfer-Encoding: chunked\r\n\r\n1\r\nx\r\n");
        upstream.advanceMicros(99_999);
        assertEquals(List.of(), upstream.outcomes());
        upstream.advanceMicros(1);
        assertEquals(List.of("stream of -1"), upstream.outcomes());
    }

    @Test
    void slowResponseOfKnownLengthIsBuffered() {
        receive(OK_HEAD + "Content-Length: 2\r\n\r\nx");
        upstream.advanceMicros(1_000_000);
        receive("y");
        assertEquals(List.of("OK xy"), upstream.outcomes());
    }

    @Test
    void bodyOfALongErrorResponseIsDropped() {
        receive("HTTP/1.1 500 X\r\nContent-Length: 65537\r\n\r\n");
        receive("x".repeat(MAX_BUFFERED_BYTES + 1));
        assertNull(upstream.streamedResponse());
        assertEquals(1, upstream.outcomes().size());
        assertTrue(upstream.outcomes().get(0).startsWith("ERROR"), upstream.outcomes().toString());
    }

    @Test
    void secondResponseInTheSameReadClosesTheConnection() {
        receive((OK_HEAD + "Content-Length: 2\r\n\r\nhi").repeat(2));
        assertEquals(List.of("OK hi"), upstream.outcomes());
        assertEquals(1, upstream.malformedCount());
        assertNotReused();
    }

    @Test
    void partOfAMessageAfterTheResponseFailsTheAttempt() {
        receive(OK_HEAD + "Content-Length: 2\r\n\r\nhiHTTP/1.1 2");
        assertEquals(List.of("RESET"), upstream.outcomes());
        assertEquals(1, upstream.malformedCount());
        assertNotReused();
    }

    @Test
    void bytesAfterAStreamedResponseCloseTheConnection() {
        receive(OK_HEAD + "Content-Length: 65537\r\n\r\n");
        receive("x".repeat(MAX_BUFFERED_BYTES));
        forwardStreamedResponse();
        receive("x" + "HTTP/1.1 2");
        assertEquals(List.of("stream of 65537", "OK"), upstream.outcomes());
        assertNotReused();
    }

    @ParameterizedTest
    @CsvSource({
        "'HTTP/1.1 200 OK|Content-Length: x||'",
        "'HTTP/1.1 200 OK|Transfer-Encoding: chunked||zz|'",
        "'nonsense||'"
    })
    void malformedResponseFailsTheAttemptAndIsLogged(String response) {
        receive(response.replace("|", "\r\n"));
        assertEquals(List.of("RESET"), upstream.outcomes());
        assertEquals(1, upstream.malformedCount());
        assertNotReused();
    }

    @Test
    void truncatedResponseFailsTheAttempt() {
        receive(OK_HEAD + "Content-Length: 5\r\n\r\nhel");
        closeByEndpoint();
        assertEquals(List.of("RESET"), upstream.outcomes());
    }

    @Test
    void closeWithoutResponseFailsTheAttempt() {
        closeByEndpoint();
        assertEquals(List.of("RESET"), upstream.outcomes());
    }

    @Test
    void truncatedStreamedResponseIsAborted() {
        receive(OK_HEAD + "Content-Length: 65537\r\n\r\nx");
        forwardStreamedResponse();
        closeByEndpoint();
        assertEquals(List.of("stream of 65537", "RESET"), upstream.outcomes());
        assertEquals(List.of("aborted"), relayEvents);
        assertTrue(
                sink.outboundMessages().stream().noneMatch(LastHttpContent.class::isInstance),
                "an aborted response must not end like a complete one");
    }

    @Test
    void discardedStreamClosesTheConnection() {
        receive(OK_HEAD + "Content-Length: 65537\r\n\r\nx");
        upstream.streamedResponse().discard();
        assertNotReused();
    }
}

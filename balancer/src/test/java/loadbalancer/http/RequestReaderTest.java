package loadbalancer.http;

import static java.nio.charset.StandardCharsets.US_ASCII;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import java.util.List;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

/** Tests when a request is submitted, depending on its body's length and earlier requests. */
class RequestReaderTest {
    private static final String LONGEST_BUFFERED_BODY =
            "x".repeat(RequestReader.MAX_BUFFERED_BODY_BYTES);
    private static final int MAX_BODY_BYTES = 32 * 1024 * 1024;
    private static final int MAX_PIPELINED_REQUESTS = 16;

    private final EmbeddedFrontend frontend = new EmbeddedFrontend();
    private final DuplexEmbeddedChannel channel = new DuplexEmbeddedChannel();
    private final ClientConnection connection = frontend.connect(channel);

    @AfterEach
    void close() {
        frontend.close();
    }

    private void receive(String text) {
        frontend.receive(channel, text);
    }

    private static String postHead(int contentLength) {
        return EmbeddedFrontend.POST_HEAD + "Content-Length: " + contentLength + "\r\n\r\n";
    }

    private static String chunkedPostHead() {
        return EmbeddedFrontend.POST_HEAD + "Transfer-Encoding: chunked\r\n\r\n";
    }

    private void assertEvents(String... expectedEvents) {
        assertEquals(List.of(expectedEvents), frontend.policy().events());
    }

    private void assertWrittenStatuses(String... expectedStatuses) {
        assertEquals(List.of(expectedStatuses), EmbeddedFrontend.writtenStatuses(channel));
    }

    @Test
    void requestIsSubmittedAfterItsLastByte() {
        receive(postHead(5));
        receive("hell");
        assertEvents();
        receive("o");
        assertEvents("request");
    }

    @ParameterizedTest
    @ValueSource(booleans = {false, true})
    void bodyOfMaximumLengthIsBuffered(boolean chunked) {
        if (chunked) {
            receive(chunkedPostHead() + "10000\r\n" + LONGEST_BUFFERED_BODY + "\r\n");
            assertEvents();
            receive("0\r\n\r\n");
        } else {
            receive(postHead(LONGEST_BUFFERED_BODY.length()) + LONGEST_BUFFERED_BODY);
        }
        assertEvents("request");
        assertFalse(connection.reader().hasUpload());
    }

    @Test
    void requestReceivedByteByByteIsOneRequest() {
        for (char character : (postHead(2) + "hi").toCharArray()) {
            receive(String.valueOf(character));
        }
        assertEvents("request");
    }

    @Test
    void longerBodyIsSubmittedBeforeItsEnd() {
        receive(postHead(LONGEST_BUFFERED_BODY.length() + 2) + LONGEST_BUFFERED_BODY);
        assertEvents();
        receive("x");
        assertEvents("request", "upload started");
        receive("x");
        assertEvents("request", "upload started", "upload completed");
    }

    @Test
    void longerChunkedBodyIsSubmittedBeforeItsEnd() {
        receive(chunkedPostHead() + "10001\r\n" + LONGEST_BUFFERED_BODY + "x\r\n");
        assertEvents("request", "upload started");
        receive("0\r\n\r\n");
        assertEvents("request", "upload started", "upload completed");
    }

    @Test
    void readingPausesUntilAnUpstreamTakesTheBody() {
        receive(postHead(MAX_BODY_BYTES) + LONGEST_BUFFERED_BODY);
        assertFalse(connection.reader().isPausedByBackPressure());
        receive("x");
        assertTrue(connection.reader().isPausedByBackPressure());
    }

    /** An incomplete request must not be executed, and its buffers must be released. */
    @Test
    void disconnectAbortsTheUpload() {
        ByteBuf firstPart =
                Unpooled.buffer()
                        .writeBytes(postHead(100_000).getBytes(US_ASCII))
                        .writeZero(70_000);
        channel.writeInbound(firstPart);
        frontend.runTasks();
        assertEvents("request", "upload started");
        channel.close();
        frontend.runTasks();
        assertEvents("request", "upload started", "disconnected");
        assertEquals(0, firstPart.refCnt());
    }

    @Test
    void disconnectDuringABufferedBodySubmitsNothing() {
        receive(postHead(5) + "hell");
        channel.close();
        frontend.runTasks();
        assertEvents();
    }

    @Test
    void earlyResponseToAnUploadClosesTheConnection() {
        receive(postHead(MAX_BODY_BYTES) + LONGEST_BUFFERED_BODY + "x");
        frontend.rejectLastRequest();
        String response = EmbeddedFrontend.written(channel);
        assertTrue(response.startsWith("HTTP/1.1 503 "), response);
        assertTrue(response.contains("connection: close\r\n"), response);
        receive("x" + EmbeddedFrontend.getRequest("r2"));
        assertEvents("request", "upload started");
    }

    @ParameterizedTest
    @CsvSource({
        "'nonsense||'",
        "'GET /k1 HTTP/2.0|Req-Id: r1||'",
        "'GET /k1 HTTP/1.1|Content-Length: x||'",
        "'GET /k1 HTTP/1.1|Content-Length: 1|Transfer-Encoding: chunked||'",
        "'POST /k1 HTTP/1.1|Transfer-Encoding: chunked||zz|'"
    })
    void malformedRequestIsRejectedAndLaterOnesAreIgnored(String request) {
        receive(request.replace("|", "\r\n"));
        receive(EmbeddedFrontend.getRequest("r2"));
        assertWrittenStatuses("400");
        assertTrue(channel.isOutputShutdown());
        assertEvents();
    }

    /** The request was never complete, so the policy is told that the client disconnected. */
    @Test
    void malformedUploadIsCancelledAndRejected() {
        receive(chunkedPostHead() + "10001\r\n" + LONGEST_BUFFERED_BODY + "x\r\n");
        receive("zz\r\n");
        assertEvents("request", "upload started", "disconnected");
        assertWrittenStatuses("400");
        assertTrue(channel.isOutputShutdown());
    }

    @Test
    void tooLargeContentLengthIsRejectedBeforeTheBodyArrives() {
        receive(postHead(MAX_BODY_BYTES + 1));
        assertWrittenStatuses("413");
        assertTrue(channel.isOutputShutdown());
        assertEvents();
    }

    @Test
    void chunkedBodyThatGrowsTooLongIsCancelledAndRejected() {
        receive(chunkedPostHead() + Integer.toHexString(MAX_BODY_BYTES + 1) + "\r\n");
        ByteBuf block = Unpooled.buffer().writeZero(1024 * 1024);
        for (int i = 0; i < MAX_BODY_BYTES / block.readableBytes(); i++) {
            channel.writeInbound(block.retainedDuplicate());
        }
        block.release();
        assertEvents("request", "upload started");
        assertWrittenStatuses();
        receive("x");
        assertEvents("request", "upload started", "disconnected");
        assertWrittenStatuses("413");
    }

    @Test
    void continueIsSentIfExpected() {
        receive(EmbeddedFrontend.POST_HEAD + "Content-Length: 5\r\nExpect: 100-continue\r\n\r\n");
        assertWrittenStatuses("100");
        receive("hello");
        assertEvents("request");
    }

    @Test
    void pipelinedRequestWaitsForTheResponseToTheOneBefore() {
        receive(EmbeddedFrontend.getRequest("r1") + EmbeddedFrontend.getRequest("r2"));
        assertEvents("request");
        frontend.rejectLastRequest();
        assertWrittenStatuses("503");
        assertEvents("request", "request");
        frontend.rejectLastRequest();
        assertWrittenStatuses("503");
        assertFalse(channel.isOutputShutdown());
    }

    @Test
    void pipelinedUploadWaitsForTheResponseToTheOneBefore() {
        receive(EmbeddedFrontend.getRequest("r1"));
        receive(postHead(LONGEST_BUFFERED_BODY.length() + 2) + LONGEST_BUFFERED_BODY + "x");
        assertEvents("request");
        frontend.rejectLastRequest();
        assertEvents("request", "request", "upload started");
        receive("x");
        assertEvents("request", "request", "upload started", "upload completed");
    }

    @Test
    void completePipelinedUploadIsSubmittedAsComplete() {
        receive(EmbeddedFrontend.getRequest("r1"));
        receive(postHead(LONGEST_BUFFERED_BODY.length() + 1) + LONGEST_BUFFERED_BODY + "x");
        assertTrue(connection.reader().hasWaitingUpload());
        frontend.rejectLastRequest();
        assertEvents("request", "request", "upload started", "upload completed");
    }

    @Test
    void requestsBeyondTheLimitCloseTheConnection() {
        receive(EmbeddedFrontend.getRequest("r").repeat(1 + MAX_PIPELINED_REQUESTS + 1));
        for (int i = 0; i < 1 + MAX_PIPELINED_REQUESTS; i++) {
            assertFalse(channel.isOutputShutdown());
            frontend.rejectLastRequest();
        }
        assertEquals(1 + MAX_PIPELINED_REQUESTS, frontend.policy().events().size());
        assertTrue(channel.isOutputShutdown());
    }

    @Test
    void requestsUpToTheLimitLeaveTheConnectionOpen() {
        receive(EmbeddedFrontend.getRequest("r").repeat(1 + MAX_PIPELINED_REQUESTS));
        for (int i = 0; i < 1 + MAX_PIPELINED_REQUESTS; i++) {
            frontend.rejectLastRequest();
        }
        assertEquals(1 + MAX_PIPELINED_REQUESTS, frontend.policy().events().size());
        assertFalse(channel.isOutputShutdown());
    }

    /** The event loop may read a request and the client's close in the same iteration. */
    @Test
    void requestIsNotSubmittedIfItsClientDisconnectsInTheSameIteration() {
        channel.writeInbound(Unpooled.copiedBuffer(EmbeddedFrontend.getRequest("r1"), US_ASCII));
        channel.close();
        frontend.runTasks();
        assertEvents();
    }
}

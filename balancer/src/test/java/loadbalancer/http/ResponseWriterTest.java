package loadbalancer.http;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelOutboundBuffer;
import io.netty.channel.embedded.EmbeddedChannel;
import io.netty.handler.codec.http.HttpResponseStatus;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import loadbalancer.proxy.BodyRelay;
import loadbalancer.proxy.MemoryBudget;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Tests the bytes of responses, and whether the connection stays open after them. */
class ResponseWriterTest {
    private static final long UNKNOWN_LENGTH = -1;

    private final EmbeddedFrontend frontend = new EmbeddedFrontend();
    private final EmbeddedChannel channel = new EmbeddedChannel();
    private final ClientConnection connection = frontend.connect(channel);
    private final EmbeddedChannel upstream = new EmbeddedChannel();
    private final BodyRelay body =
            new BodyRelay(upstream, new MemoryBudget(1_000_000), false, () -> {});
    private final List<Boolean> finished = new ArrayList<>();

    @AfterEach
    void close() {
        frontend.close();
        upstream.finishAndReleaseAll();
    }

    private void receiveRequest(String httpVersion) {
        frontend.receive(
                channel, EmbeddedFrontend.getRequest("r1").replace("HTTP/1.1", httpVersion));
    }

    private void stream(long contentLength, boolean keepAlive) {
        connection.streamResponse(contentLength, "text/plain", body, keepAlive, finished::add);
    }

    private void receiveBody(String text) {
        body.add(Unpooled.copiedBuffer(text, StandardCharsets.US_ASCII));
        body.writePending();
    }

    private String written() {
        return EmbeddedFrontend.written(channel);
    }

    @Test
    void responseHasItsLengthAndTheConnectionStaysOpen() {
        receiveRequest("HTTP/1.1");
        connection.sendText(HttpResponseStatus.OK, "hello", true);
        assertEquals(
                "HTTP/1.1 200 OK\r\ncontent-type: text/plain\r\ncontent-length: 6\r\n\r\nhello\n",
                written());
        assertTrue(channel.isOpen());
    }

    @Test
    void lastResponseAnnouncesTheCloseAndIsFollowedByIt() {
        receiveRequest("HTTP/1.1");
        connection.sendText(HttpResponseStatus.OK, "hello", false);
        assertEquals(
                "HTTP/1.1 200 OK\r\ncontent-type: text/plain\r\ncontent-length: 6\r\n"
                        + "connection: close\r\n\r\nhello\n",
                written());
        assertFalse(channel.isOpen());
    }

    @Test
    void responseOfADrainingBalancerIsTheLast() {
        receiveRequest("HTTP/1.1");
        frontend.servingState().setDraining(true);
        connection.sendText(HttpResponseStatus.OK, "hello", true);
        assertTrue(written().contains("connection: close\r\n"));
        assertFalse(channel.isOpen());
    }

    @Test
    void responseWithoutContentTypeHasNone() {
        receiveRequest("HTTP/1.1");
        connection.sendResponse(
                ResponseWriter.newResponse(HttpResponseStatus.OK, Unpooled.EMPTY_BUFFER, null),
                true);
        assertEquals("HTTP/1.1 200 OK\r\ncontent-length: 0\r\n\r\n", written());
    }

    @Test
    void clientThatDoesNotReadItsResponseIsDropped() {
        UnflushedChannel unread = new UnflushedChannel();
        unread.freezeTime();
        ClientConnection unreadConnection = frontend.connect(unread);
        unreadConnection.sendText(HttpResponseStatus.OK, "hello", true);
        unread.advanceTimeBy(2_199, TimeUnit.MILLISECONDS);
        unread.runScheduledPendingTasks();
        assertTrue(unread.isOpen());
        unread.advanceTimeBy(1, TimeUnit.MILLISECONDS);
        unread.runScheduledPendingTasks();
        assertFalse(unread.isOpen());
    }

    /** A channel whose client reads nothing. */
    /** A client that reads a little from time to time is not cut off. */
    @Test
    void clientThatReadsItsResponseSlowlyKeepsItsConnection() {
        UnflushedChannel slow = new UnflushedChannel();
        slow.freezeTime();
        ClientConnection slowConnection = frontend.connect(slow);
        slowConnection.sendText(HttpResponseStatus.OK, "x".repeat(1_000), true);
        for (int i = 0; i < 5; i++) {
            slow.advanceTimeBy(2_000, TimeUnit.MILLISECONDS);
            slow.read(10);
            slow.advanceTimeBy(200, TimeUnit.MILLISECONDS);
            slow.runScheduledPendingTasks();
            assertTrue(slow.isOpen(), "open after read " + i);
        }
        slow.advanceTimeBy(2_200, TimeUnit.MILLISECONDS);
        slow.runScheduledPendingTasks();
        assertFalse(slow.isOpen());
    }

    /** A channel whose client takes only the bytes that the test reads. */
    private static final class UnflushedChannel extends EmbeddedChannel {
        private int readableBytes;

        @Override
        protected void doWrite(ChannelOutboundBuffer buffer) {
            buffer.removeBytes(readableBytes);
            readableBytes = 0;
        }

        void read(int bytes) {
            readableBytes = bytes;
            flush();
        }
    }

    @Test
    void streamOfKnownLengthIsWrittenAsItArrives() {
        receiveRequest("HTTP/1.1");
        stream(5, true);
        receiveBody("hel");
        assertEquals(
                "HTTP/1.1 200 OK\r\ncontent-type: text/plain\r\ncontent-length: 5\r\n\r\nhel",
                written());
        assertEquals(List.of(), finished);
        receiveBody("lo");
        body.complete();
        assertEquals("lo", written());
        assertEquals(List.of(true), finished);
        assertTrue(channel.isOpen());
    }

    @Test
    void streamOfUnknownLengthIsChunked() {
        receiveRequest("HTTP/1.1");
        stream(UNKNOWN_LENGTH, true);
        receiveBody("hello");
        body.complete();
        assertEquals(
                "HTTP/1.1 200 OK\r\ncontent-type: text/plain\r\ntransfer-encoding: chunked\r\n"
                        + "\r\n5\r\nhello\r\n0\r\n\r\n",
                written());
        assertTrue(channel.isOpen());
    }

    @Test
    void streamOfUnknownLengthToAnHttp10ClientEndsWithTheConnection() {
        receiveRequest("HTTP/1.0");
        stream(UNKNOWN_LENGTH, true);
        receiveBody("hello");
        body.complete();
        assertEquals(
                "HTTP/1.1 200 OK\r\ncontent-type: text/plain\r\nconnection: close\r\n\r\nhello",
                written());
        assertFalse(channel.isOpen());
    }

    @Test
    void lastStreamedResponseIsFollowedByTheClose() {
        receiveRequest("HTTP/1.1");
        stream(5, false);
        receiveBody("hello");
        assertTrue(written().contains("connection: close\r\n"));
        assertTrue(channel.isOpen());
        body.complete();
        assertFalse(channel.isOpen());
    }

    @ParameterizedTest
    @ValueSource(longs = {5, UNKNOWN_LENGTH})
    void abortedStreamClosesTheConnectionBeforeItsEnd(long contentLength) {
        receiveRequest("HTTP/1.1");
        stream(contentLength, true);
        receiveBody("hel");
        body.abort();
        assertEquals(List.of(false), finished);
        assertFalse(channel.isOpen());
        assertFalse(written().endsWith("0\r\n\r\n"), "an aborted body must not look complete");
    }

    @Test
    void streamResumesOnceTheClientReadsAgain() {
        receiveRequest("HTTP/1.1");
        stream(5, true);
        assertTrue(written().endsWith("\r\n\r\n"), "the head does not wait for the body");
        setWritable(false);
        receiveBody("hello");
        assertEquals("", written());
        setWritable(true);
        assertEquals("hello", written());
    }

    private void setWritable(boolean writable) {
        channel.unsafe().outboundBuffer().setUserDefinedWritability(1, writable);
        channel.runPendingTasks();
    }

    @Test
    void nextRequestIsHandledAfterTheStream() {
        receiveRequest("HTTP/1.1");
        stream(5, true);
        frontend.receive(channel, EmbeddedFrontend.getRequest("r2"));
        assertEquals(List.of("request"), frontend.policy().events());
        receiveBody("hello");
        body.complete();
        frontend.runTasks();
        assertEquals(List.of("request", "request"), frontend.policy().events());
    }
}

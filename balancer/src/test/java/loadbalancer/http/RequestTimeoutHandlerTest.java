package loadbalancer.http;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.embedded.EmbeddedChannel;
import java.nio.charset.StandardCharsets;
import java.util.List;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

/**
 * When the time for a request runs, and what arrives after the last request. That a connection is
 * dropped at the end of the time depends on the system's clock: see {@code SlowClientTest}.
 */
class RequestTimeoutHandlerTest {
    private static final long REQUEST_TIMEOUT_MS = 2_400;

    private final EmbeddedFrontend frontend = new EmbeddedFrontend();
    private final EmbeddedChannel channel = new EmbeddedChannel();
    private final ClientConnection connection = frontend.connect(channel);

    @AfterEach
    void close() {
        frontend.close();
    }

    private boolean isTimeRunning() {
        return frontend.nextTimerMillis() >= 0;
    }

    @Test
    void timeForTheFirstRequestRunsFromTheAccept() {
        assertEquals(REQUEST_TIMEOUT_MS, frontend.nextTimerMillis());
    }

    @Test
    void bytesOfARequestDoNotRestartTheTime() {
        frontend.advanceMillis(1_000);
        frontend.receive(channel, "GET /k1 HTTP/1.1\r\n");
        assertEquals(REQUEST_TIMEOUT_MS - 1_000, frontend.nextTimerMillis());
    }

    @Test
    void completeRequestEndsTheTime() {
        // Answered at once, so that no timer of its own runs.
        frontend.receive(channel, "GET /-/ready HTTP/1.1\r\n\r\n");
        assertFalse(isTimeRunning());
        assertTrue(channel.isOpen());
    }

    @Test
    void timeForANextRequestRunsFromItsFirstByte() {
        frontend.receive(channel, "GET /-/ready HTTP/1.1\r\n\r\n");
        frontend.receive(channel, "G");
        assertEquals(REQUEST_TIMEOUT_MS, frontend.nextTimerMillis());
    }

    @Test
    void closeEndsTheTime() {
        channel.close();
        assertFalse(isTimeRunning());
    }

    @Test
    void timeStartsAgainWhereTheClientWaitsForAnUpstream() {
        channel.config().setAutoRead(false);
        frontend.receive(
                channel,
                EmbeddedFrontend.POST_HEAD
                        + "Content-Length: 100000\r\n\r\n"
                        + "x".repeat(RequestReader.MAX_BUFFERED_BODY_BYTES + 1));
        assertTrue(connection.reader().isPausedByBackPressure());
        frontend.advanceMillis(REQUEST_TIMEOUT_MS);
        assertTrue(channel.isOpen());
        assertEquals(REQUEST_TIMEOUT_MS, frontend.nextTimerMillis());
    }

    @Test
    void bytesBehindTheLastRequestAreReleasedAndNotDecoded() {
        connection.acceptNoMoreRequests();
        ByteBuf late =
                Unpooled.copiedBuffer(
                        EmbeddedFrontend.getRequest("late"), StandardCharsets.US_ASCII);
        channel.writeInbound(late);
        frontend.runTasks();
        assertEquals(0, late.refCnt());
        assertEquals(List.of(), frontend.policy().events());
        assertFalse(connection.isReceiving());
    }

    @Test
    void bytesOfARequestAreDecodedAndCountAsReceived() {
        frontend.receive(channel, "G");
        assertTrue(connection.isReceiving());
    }
}

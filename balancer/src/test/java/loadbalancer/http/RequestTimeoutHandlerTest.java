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
 * Tests when the request timeout runs, and what happens to input after the last request. The drop
 * of a connection at the timeout depends on the system clock and is tested by {@code
 * SlowClientTest}.
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

    private boolean isTimeoutRunning() {
        return frontend.nextTimerMillis() >= 0;
    }

    @Test
    void timeoutOfTheFirstRequestStartsAtTheAccept() {
        assertEquals(REQUEST_TIMEOUT_MS, frontend.nextTimerMillis());
    }

    @Test
    void bytesOfARequestDoNotRestartTheTimeout() {
        frontend.advanceMillis(1_000);
        frontend.receive(channel, "GET /k1 HTTP/1.1\r\n");
        assertEquals(REQUEST_TIMEOUT_MS - 1_000, frontend.nextTimerMillis());
    }

    @Test
    void completeRequestCancelsTheTimeout() {
        // Answered immediately, so that no timer of the request itself runs.
        frontend.receive(channel, "GET /-/ready HTTP/1.1\r\n\r\n");
        assertFalse(isTimeoutRunning());
        assertTrue(channel.isOpen());
    }

    @Test
    void timeoutOfTheNextRequestStartsAtItsFirstByte() {
        frontend.receive(channel, "GET /-/ready HTTP/1.1\r\n\r\n");
        frontend.receive(channel, "G");
        assertEquals(REQUEST_TIMEOUT_MS, frontend.nextTimerMillis());
    }

    @Test
    void closeCancelsTheTimeout() {
        channel.close();
        assertFalse(isTimeoutRunning());
    }

    @Test
    void timeoutRestartsWhileTheClientWaitsForAnUpstream() {
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
    void bytesAfterTheLastRequestAreReleasedAndNotDecoded() {
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

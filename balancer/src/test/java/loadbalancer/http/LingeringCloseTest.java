package loadbalancer.http;

import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.netty.channel.embedded.EmbeddedChannel;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** Tests closing the output immediately and the socket at the client's close or a timeout. */
class LingeringCloseTest {
    private static final long MAX_LINGER_MS = 1_000;

    private final DuplexEmbeddedChannel channel = new DuplexEmbeddedChannel();

    @BeforeEach
    void freezeTime() {
        channel.freezeTime();
    }

    @AfterEach
    void close() {
        channel.finishAndReleaseAll();
    }

    private void advanceMillis(long millis) {
        channel.advanceTimeBy(millis, TimeUnit.MILLISECONDS);
        channel.runScheduledPendingTasks();
    }

    /** Closing a socket with unread input would reset the connection. */
    @Test
    void outputIsShutDownAndTheSocketStaysOpen() {
        LingeringClose.start(channel, MAX_LINGER_MS);
        assertTrue(channel.isOutputShutdown());
        assertTrue(channel.isOpen());
    }

    @Test
    void pausedReadingIsResumedToDetectTheClientsClose() {
        channel.config().setAutoRead(false);
        LingeringClose.start(channel, MAX_LINGER_MS);
        assertTrue(channel.config().isAutoRead());
    }

    @Test
    void socketIsClosedAfterTheTimeoutIfTheClientNeverCloses() {
        LingeringClose.start(channel, MAX_LINGER_MS);
        advanceMillis(MAX_LINGER_MS - 1);
        assertTrue(channel.isOpen());
        advanceMillis(1);
        assertFalse(channel.isOpen());
    }

    @Test
    void secondStartDoesNotChangeTheTimeout() {
        LingeringClose.start(channel, MAX_LINGER_MS);
        LingeringClose.start(channel, 1);
        advanceMillis(1);
        assertTrue(channel.isOpen());
    }

    @Test
    void closeCancelsTheTimeout() {
        LingeringClose.start(channel, MAX_LINGER_MS);
        channel.close();
        assertTrue(channel.runScheduledPendingTasks() < 0, "no timer is left");
    }

    @Test
    void channelWithoutSeparateOutputIsClosedImmediately() {
        EmbeddedChannel plainChannel = new EmbeddedChannel();
        LingeringClose.start(plainChannel, MAX_LINGER_MS);
        assertFalse(plainChannel.isOpen());
    }
}

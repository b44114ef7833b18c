package loadbalancer.http;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

/** Tests that a close that the event loop has not read yet is detected. Uses no sockets. */
class ClientLivenessTest {
    private static final int MAX_READS_PER_LOOP = 2;

    private final UnreadInputChannel channel = new UnreadInputChannel();
    private final ClientLiveness liveness =
            new ClientLiveness(channel, MAX_READS_PER_LOOP, () -> {});
    private final List<Object> handled = new ArrayList<>();
    private Runnable onMessage = () -> {};

    private void open() {
        channel.pipeline()
                .addLast(
                        liveness,
                        new ChannelInboundHandlerAdapter() {
                            @Override
                            public void channelRead(ChannelHandlerContext context, Object message) {
                                handled.add(message);
                                onMessage.run();
                            }
                        });
    }

    @AfterEach
    void close() {
        channel.finishAndReleaseAll();
    }

    @Test
    void connectedClientIsReportedConnected() {
        open();
        assertFalse(liveness.isDisconnected());
    }

    @Test
    void closeThatIsNotReadYetIsDetected() {
        open();
        channel.addClose();
        assertTrue(liveness.isDisconnected());
    }

    @Test
    void dataSentBeforeTheCloseIsHandled() {
        open();
        channel.addBatch(MAX_READS_PER_LOOP);
        channel.addClose();
        assertTrue(liveness.isDisconnected());
        assertEquals(List.of("message", "message"), handled);
    }

    @Test
    void readsEndWithAnEmptyReceiveBuffer() {
        open();
        channel.addBatch(MAX_READS_PER_LOOP);
        channel.addBatch(MAX_READS_PER_LOOP - 1);
        channel.addClose();
        assertFalse(liveness.isDisconnected());
        assertEquals(2, channel.readCalls());
    }

    @Test
    void endlessInputIsReadAtMostFourTimes() {
        open();
        for (int i = 0; i < 5; i++) {
            channel.addBatch(MAX_READS_PER_LOOP);
        }
        assertFalse(liveness.isDisconnected());
        assertEquals(4, channel.readCalls());
    }

    /** A message handler may call isDisconnected, which must not start a nested read. */
    @Test
    void checkWithinAReadDoesNotRead() {
        open();
        channel.addBatch(1);
        channel.addBatch(1);
        onMessage = () -> assertFalse(liveness.isDisconnected());
        liveness.isDisconnected();
        assertEquals(1, channel.readCalls());
    }

    @Test
    void closedConnectionIsNotRead() {
        open();
        channel.close();
        assertTrue(liveness.isDisconnected());
        assertEquals(0, channel.readCalls());
    }
}

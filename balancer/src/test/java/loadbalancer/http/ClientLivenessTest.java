package loadbalancer.http;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

/** Tests that a close that the event loop has not read yet is detected. Uses no sockets. */
class ClientLivenessTest {
    private static final int MAX_READS_PER_LOOP = 2;

    // What the system says about the receive buffer.
    private int unreadBytes;
    private final UnreadInputChannel channel = new UnreadInputChannel();
    private final ClientLiveness liveness =
            new ClientLiveness(channel, MAX_READS_PER_LOOP, () -> unreadBytes, () -> {});
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

    @Test
    void closeBehindMoreThanOneCheckReadsIsUnknown() {
        open();
        unreadBytes = 1;
        for (int i = 0; i < 5; i++) {
            channel.addBatch(MAX_READS_PER_LOOP);
        }
        channel.addClose();
        assertEquals(ClientLiveness.State.UNKNOWN, liveness.check());
        assertEquals(ClientLiveness.State.DISCONNECTED, liveness.check());
    }

    /** A client that floods its connection is connected as long as bytes arrive. */
    @Test
    void clientWhoseBytesArriveIsConnected() {
        open();
        assertFalse(liveness.isCloseHidden());
        unreadBytes = 1_000;
        assertFalse(liveness.isCloseHidden());
    }

    @Test
    void closeMayBeHiddenBehindBytesThatArrivedLongAgo() throws InterruptedException {
        open();
        unreadBytes = 1_000;
        liveness.isCloseHidden();
        TimeUnit.MILLISECONDS.sleep(150);
        assertTrue(liveness.isCloseHidden());
        unreadBytes = 0;
        assertFalse(liveness.isCloseHidden());
    }
}

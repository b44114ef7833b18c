package loadbalancer.http;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.embedded.EmbeddedChannel;
import io.netty.channel.nio.AbstractNioChannel;
import java.lang.reflect.InvocationTargetException;
import java.lang.reflect.Proxy;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

/** Whether a close that the event loop has not read yet is found, over a channel without socket. */
class ClientLivenessTest {
    private static final int MAX_READS_PER_LOOP = 2;

    private final UnreadInputChannel channel = new UnreadInputChannel();
    private final ClientLiveness liveness = new ClientLiveness(channel, MAX_READS_PER_LOOP);
    private final List<Object> handled = new ArrayList<>();
    private Runnable onMessage = () -> {};

    /** A channel whose receive buffer the test fills: each read takes one turn from it. */
    private static final class UnreadInputChannel extends EmbeddedChannel {
        private final Deque<Runnable> unreadTurns = new ArrayDeque<>();
        private int readCalls;

        @Override
        public Unsafe unsafe() {
            Unsafe embedded = super.unsafe();
            return (Unsafe)
                    Proxy.newProxyInstance(
                            getClass().getClassLoader(),
                            new Class<?>[] {AbstractNioChannel.NioUnsafe.class},
                            (proxy, method, arguments) -> {
                                if (method.getName().equals("read")) {
                                    readTurn();
                                    return null;
                                }
                                try {
                                    return method.invoke(embedded, arguments);
                                } catch (InvocationTargetException e) {
                                    throw e.getCause();
                                }
                            });
        }

        private void readTurn() {
            readCalls++;
            Runnable turn = unreadTurns.poll();
            if (turn != null) {
                turn.run();
            } else {
                pipeline().fireChannelReadComplete();
            }
        }

        /** The next turn reads so many messages. */
        void addTurn(int messageCount) {
            unreadTurns.add(
                    () -> {
                        for (int i = 0; i < messageCount; i++) {
                            pipeline().fireChannelRead("message");
                        }
                        pipeline().fireChannelReadComplete();
                    });
        }

        /** The next turn reads the client's close. */
        void addClose() {
            unreadTurns.add(() -> super.unsafe().close(newPromise()));
        }
    }

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
    void connectedClientIsFoundConnected() {
        open();
        assertFalse(liveness.isDisconnected());
    }

    @Test
    void closeThatIsNotReadYetIsFound() {
        open();
        channel.addClose();
        assertTrue(liveness.isDisconnected());
    }

    @Test
    void whatWasSentBeforeTheCloseIsHandled() {
        open();
        channel.addTurn(MAX_READS_PER_LOOP);
        channel.addClose();
        assertTrue(liveness.isDisconnected());
        assertEquals(List.of("message", "message"), handled);
    }

    @Test
    void readsEndWithAnEmptyReceiveBuffer() {
        open();
        channel.addTurn(MAX_READS_PER_LOOP);
        channel.addTurn(MAX_READS_PER_LOOP - 1);
        channel.addClose();
        assertFalse(liveness.isDisconnected());
        assertEquals(2, channel.readCalls);
    }

    @Test
    void endlessInputIsReadFourTimesAtMost() {
        open();
        for (int i = 0; i < 5; i++) {
            channel.addTurn(MAX_READS_PER_LOOP);
        }
        assertFalse(liveness.isDisconnected());
        assertEquals(4, channel.readCalls);
    }

    /** The handler of a message may ask; the read that delivers it must not be entered again. */
    @Test
    void checkWithinAReadDoesNotRead() {
        open();
        channel.addTurn(1);
        channel.addTurn(1);
        onMessage = () -> assertFalse(liveness.isDisconnected());
        liveness.isDisconnected();
        assertEquals(1, channel.readCalls);
    }

    @Test
    void closedConnectionIsNotRead() {
        open();
        channel.close();
        assertTrue(liveness.isDisconnected());
        assertEquals(0, channel.readCalls);
    }
}

package loadbalancer.http;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.netty.channel.ChannelFuture;
import io.netty.channel.embedded.EmbeddedChannel;
import java.util.List;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

/** Tests how a connection ends whose output can be shut down before it is closed. */
class ClientConnectionTest {
    private final EmbeddedFrontend frontend = new EmbeddedFrontend();
    private final DuplexEmbeddedChannel channel = new DuplexEmbeddedChannel();
    private final ClientConnection connection = frontend.connect(channel);

    @AfterEach
    void close() {
        frontend.close();
    }

    /** An immediate close with late bytes unread would reset the connection. */
    @Test
    void bytesAfterTheLastRequestAreIgnoredAndDoNotResetTheConnection() {
        channel.freezeTime();
        frontend.receive(channel, EmbeddedFrontend.getRequest("r1"));
        frontend.servingState().setStopping();
        frontend.rejectLastRequest();
        assertEquals(List.of("503"), EmbeddedFrontend.writtenStatuses(channel));
        assertTrue(channel.isOutputShutdown());
        assertTrue(channel.isOpen());
        frontend.receive(channel, EmbeddedFrontend.getRequest("late"));
        assertTrue(channel.isOpen());
        assertEquals(List.of("request"), frontend.policy().events());
    }

    /** Guards against connections that stay open and hold memory; Netty drops the exception. */
    @Test
    void exceptionWhileARequestIsProcessedClosesTheConnection() {
        frontend.receive(channel, "NONSENSE");
        frontend.makeNextLogLineThrow();
        frontend.receive(channel, "\r\n\r\n");
        assertFalse(connection.isActive());
        assertFreed();
        assertEquals(1, frontend.logLines().size());
        assertTrue(
                frontend.logLines().get(0).contains("unexpected exception"),
                frontend.logLines().toString());
    }

    private void assertFreed() {
        assertTrue(
                frontend.connections().toString().startsWith("0 client connections"),
                frontend.connections().toString());
        assertEquals(0, frontend.reservedMemoryBytes());
    }

    /** Guards against requests that are settled, and neither answered nor closed. */
    @Test
    void exceptionWhileTheResponseIsWrittenClosesTheConnection() {
        channel.close();
        EmbeddedChannel failingChannel =
                new EmbeddedChannel() {
                    @Override
                    public ChannelFuture writeAndFlush(Object message) {
                        throw new IllegalStateException("planted");
                    }
                };
        frontend.connect(failingChannel);
        frontend.receive(failingChannel, EmbeddedFrontend.getRequest("r1"));
        frontend.rejectLastRequest();
        assertFalse(failingChannel.isActive());
        assertFreed();
    }

    @Test
    void idleConnectionOfADrainingBalancerIsHalfClosed() {
        connection.closeForDrain();
        assertTrue(channel.isOutputShutdown());
        assertTrue(channel.isOpen());
        assertEquals(
                "1 client connections (0 unproven, 0 idle, 1 half-closed)",
                frontend.connections().toString());
    }

    @Test
    void disconnectIsReportedWhileAResponseIsPending() {
        frontend.receive(channel, EmbeddedFrontend.getRequest("r1"));
        channel.close();
        assertEquals(List.of("request", "disconnected"), frontend.policy().events());
    }

    @Test
    void disconnectAfterTheResponseIsNotReported() {
        frontend.receive(channel, EmbeddedFrontend.getRequest("r1"));
        frontend.rejectLastRequest();
        channel.close();
        assertEquals(List.of("request"), frontend.policy().events());
        assertFalse(connection.isActive());
    }
}

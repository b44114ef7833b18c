package loadbalancer.http;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

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

package loadbalancer.upstream;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertSame;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.net.InetSocketAddress;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

/** Tests which idle connection is reused and until when an endpoint may receive requests. */
class EndpointPoolTest {
    private final EmbeddedUpstream upstream = new EmbeddedUpstream();
    private final EndpointPool endpoint = upstream.endpoint();

    @AfterEach
    void close() {
        upstream.close();
    }

    private UpstreamConnection connectIdle() {
        return upstream.connectIdle(endpoint);
    }

    @Test
    void longestIdleConnectionIsReusedIfAllWereUsedRecently() {
        UpstreamConnection oldest = connectIdle();
        upstream.advanceMicros(1_000);
        connectIdle();
        assertSame(oldest, endpoint.acquireIdle());
    }

    @Test
    void mostRecentlyUsedConnectionThatIsIdleForLongEnoughIsReused() {
        connectIdle();
        upstream.advanceMicros(1_000);
        UpstreamConnection idleForLongEnough = connectIdle();
        upstream.advanceMicros(10_000);
        connectIdle();
        assertSame(idleForLongEnough, endpoint.acquireIdle());
    }

    @Test
    void skippedConnectionsKeepTheirOrder() {
        UpstreamConnection longestIdle = connectIdle();
        upstream.advanceMicros(10_000);
        UpstreamConnection secondLast = connectIdle();
        UpstreamConnection last = connectIdle();
        assertSame(longestIdle, endpoint.acquireIdle());
        assertSame(secondLast, endpoint.acquireIdle());
        assertSame(last, endpoint.acquireIdle());
        assertNull(endpoint.acquireIdle());
    }

    @Test
    void connectionInUseIsNotAcquiredAgain() {
        connectIdle();
        endpoint.acquireIdle();
        assertEquals(0, endpoint.idleCount());
        assertNull(endpoint.acquireIdle());
    }

    @Test
    void connectionIdleForTooLongIsClosedInsteadOfReused() {
        UpstreamConnection expired = connectIdle();
        upstream.advanceMicros(EmbeddedUpstream.MAX_IDLE_MICROS);
        assertNull(endpoint.acquireIdle());
        assertFalse(expired.isActive());
    }

    @Test
    void connectionClosedByItsEndpointIsRemoved() {
        UpstreamConnection closed = connectIdle();
        closed.channel().close();
        assertEquals(0, endpoint.idleCount());
    }

    @Test
    void expiredConnectionsAreClosedAndYoungerOnesStay() {
        UpstreamConnection expired = connectIdle();
        upstream.advanceMicros(1);
        UpstreamConnection younger = connectIdle();
        upstream.advanceMicros(EmbeddedUpstream.MAX_IDLE_MICROS - 1);
        endpoint.closeExpiredConnections();
        assertFalse(expired.isActive());
        assertTrue(younger.isActive());
        assertSame(younger, endpoint.longestIdle());
    }

    @Test
    void newAddressClosesConnectionsToTheOldOne() {
        UpstreamConnection connection = connectIdle();
        endpoint.updateAddress(new InetSocketAddress("127.0.0.1", 80));
        assertTrue(connection.isActive());
        endpoint.updateAddress(new InetSocketAddress("127.0.0.1", 81));
        assertFalse(connection.isActive());
        assertEquals(new InetSocketAddress("127.0.0.1", 81), endpoint.address());
    }

    @Test
    void drainClosesIdleConnectionsAndEndsBeforeTheGracePeriod() {
        UpstreamConnection connection = connectIdle();
        endpoint.drain(upstream.context().nowMicros(), 1_000_000);
        assertFalse(connection.isActive());
        assertTrue(endpoint.isDraining());
        upstream.advanceMicros(949_999);
        assertFalse(endpoint.isDrained());
        upstream.advanceMicros(1);
        assertTrue(endpoint.isDrained());
    }

    @Test
    void safetyMarginIsAtMostHalfOfTheGracePeriod() {
        endpoint.drain(upstream.context().nowMicros(), 60_000);
        upstream.advanceMicros(29_999);
        assertFalse(endpoint.isDrained());
        upstream.advanceMicros(1);
        assertTrue(endpoint.isDrained());
    }

    @Test
    void repeatedDrainDoesNotExtendTheDeadline() {
        endpoint.drain(upstream.context().nowMicros(), 1_000_000);
        upstream.advanceMicros(900_000);
        endpoint.drain(upstream.context().nowMicros(), 1_000_000);
        upstream.advanceMicros(50_000);
        assertTrue(endpoint.isDrained());
    }

    @Test
    void endpointThatIsUpAgainMayReceiveRequests() {
        endpoint.drain(upstream.context().nowMicros(), 0);
        assertTrue(endpoint.isDrained());
        endpoint.markUp();
        assertFalse(endpoint.isDrained());
        assertFalse(endpoint.isDraining());
    }

    @Test
    void connectionThatEndsItsRequestWhileDrainingIsClosed() {
        UpstreamConnection connection = upstream.connect(upstream.request("r1"));
        endpoint.drain(upstream.context().nowMicros(), 1_000_000);
        assertTrue(connection.isActive());
        EmbeddedUpstream.receive(connection, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nhi");
        assertFalse(connection.isActive());
        assertEquals(0, endpoint.idleCount());
    }

    @Test
    void shutDownClosesIdleConnectionsAndDrainsAtOnce() {
        UpstreamConnection connection = connectIdle();
        endpoint.shutDown();
        assertFalse(connection.isActive());
        assertTrue(endpoint.isDrained());
    }
}

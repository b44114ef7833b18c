package loadbalancer.upstream;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

/** Tests when idle connections are closed, with a clock and a timer that the test advances. */
class IdleConnectionEvictorTest {
    private final EmbeddedUpstream upstream = new EmbeddedUpstream();
    private final List<EndpointPool> endpoints = new ArrayList<>(List.of(upstream.endpoint()));
    private final IdleConnectionEvictor evictor =
            new IdleConnectionEvictor(upstream.context(), endpoints);

    @AfterEach
    void close() {
        upstream.close();
    }

    private EndpointPool addEndpoint(String endpointId) {
        EndpointPool endpoint = upstream.newEndpoint(endpointId);
        endpoints.add(endpoint);
        return endpoint;
    }

    /** Nothing is sent or received on the connection, so only the timer can close it. */
    @Test
    void connectionIdleForTooLongIsClosedByTheTimer() {
        evictor.start();
        UpstreamConnection connection = upstream.connectIdle(upstream.endpoint());
        upstream.advanceMicros(EmbeddedUpstream.MAX_IDLE_MICROS - 1);
        assertTrue(connection.isActive());
        upstream.advanceMicros(EmbeddedUpstream.MAX_IDLE_MICROS / 10);
        assertFalse(connection.isActive());
        assertEquals(0, upstream.endpoint().idleCount());
        assertEquals(0, upstream.context().openConnections());
    }

    @Test
    void connectionInUseIsNotClosedByTheTimer() {
        evictor.start();
        UpstreamConnection connection = upstream.connect(upstream.request("r1"));
        upstream.advanceMicros(2 * EmbeddedUpstream.MAX_IDLE_MICROS);
        assertTrue(connection.isActive());
        assertEquals(List.of(), upstream.outcomes());
    }

    @Test
    void stoppedEvictorClosesNoConnections() {
        evictor.start();
        upstream.advanceMicros(3 * EmbeddedUpstream.MAX_IDLE_MICROS);
        evictor.stop();
        UpstreamConnection connection = upstream.connectIdle(upstream.endpoint());
        upstream.advanceMicros(2 * EmbeddedUpstream.MAX_IDLE_MICROS);
        assertTrue(connection.isActive());
    }

    /** Endpoints that come and go would otherwise accumulate where settings limit no idle time. */
    @Test
    void drainedEndpointsAreRemovedAndConnectionsKeptWithoutIdleLimit() {
        try (EmbeddedUpstream unlimited = new EmbeddedUpstream(Long.MAX_VALUE)) {
            EndpointPool listed = unlimited.endpoint();
            List<EndpointPool> pools = new ArrayList<>(List.of(listed));
            for (int i = 0; i < 10_000; i++) {
                EndpointPool left = unlimited.newEndpoint("left" + i);
                left.drain(unlimited.context().nowMicros(), 0);
                pools.add(left);
            }
            new IdleConnectionEvictor(unlimited.context(), pools).start();
            UpstreamConnection connection = unlimited.connectIdle(listed);
            unlimited.advanceMicros(62_000_000);
            assertEquals(List.of(listed), pools);
            assertTrue(connection.isActive());
        }
    }

    @Test
    void drainedEndpointIsRemovedAfterAMinute() {
        evictor.start();
        EndpointPool removed = addEndpoint("s2");
        removed.drain(upstream.context().nowMicros(), 0);
        upstream.advanceMicros(60_000_000);
        assertEquals(List.of(upstream.endpoint(), removed), endpoints);
        upstream.advanceMicros(EmbeddedUpstream.MAX_IDLE_MICROS / 10);
        assertEquals(List.of(upstream.endpoint()), endpoints);
    }

    @Test
    void longestIdleConnectionOfAllEndpointsIsClosedFirst() {
        EndpointPool secondEndpoint = addEndpoint("s2");
        EndpointPool thirdEndpoint = addEndpoint("s3");
        UpstreamConnection longestIdle = upstream.connectIdle(secondEndpoint);
        upstream.advanceMicros(1);
        UpstreamConnection second = upstream.connectIdle(thirdEndpoint);
        upstream.advanceMicros(1);
        UpstreamConnection last = upstream.connectIdle(upstream.endpoint());
        assertTrue(evictor.closeLongestIdle());
        assertFalse(longestIdle.isActive());
        assertTrue(second.isActive());
        assertTrue(evictor.closeLongestIdle());
        assertFalse(second.isActive());
        assertTrue(last.isActive());
    }

    @Test
    void nothingIsClosedIfNoConnectionIsIdle() {
        UpstreamConnection connection = upstream.connect(upstream.request("r1"));
        assertFalse(evictor.closeLongestIdle());
        assertTrue(connection.isActive());
    }
}

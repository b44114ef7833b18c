package loadbalancer.upstream;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.netty.buffer.Unpooled;
import io.netty.channel.embedded.EmbeddedChannel;
import java.util.ArrayList;
import java.util.List;
import loadbalancer.NestedListeners;
import loadbalancer.proxy.BodyRelay;
import loadbalancer.proxy.MemoryBudget;
import loadbalancer.proxy.ProxyRequestFixtures;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Tests what is written to an upstream and how a connection ends. */
class UpstreamConnectionTest {
    private static final String OK_RESPONSE = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nhi";

    private final EmbeddedUpstream upstream = new EmbeddedUpstream();
    private final EmbeddedChannel client = new EmbeddedChannel();
    private final List<String> uploadEvents = new ArrayList<>();
    private final BodyRelay upload =
            new BodyRelay(
                    client,
                    new MemoryBudget(1_000_000),
                    false,
                    () -> uploadEvents.add("discarded"));

    @AfterEach
    void close() {
        upstream.close();
        client.finishAndReleaseAll();
    }

    private UpstreamConnection connectWithUpload() {
        return upstream.connect(
                upstream.request(ProxyRequestFixtures.streamedRequest("r1", upload, 100)));
    }

    /**
     * The clock does not reach the idle limit, so only the unsolicited bytes can cause the close.
     */
    @ParameterizedTest
    @ValueSource(strings = {OK_RESPONSE, "HTTP/1.1 2", "\r\n", "x"})
    void unsolicitedBytesCloseAnIdleConnection(String unsolicited) {
        UpstreamConnection connection = upstream.connect(upstream.request("r1"));
        EmbeddedUpstream.receive(connection, OK_RESPONSE);
        assertEquals(1, upstream.endpoint().idleCount());
        EmbeddedUpstream.receive(connection, unsolicited);
        assertFalse(connection.isActive());
        assertEquals(0, upstream.endpoint().idleCount());
        assertEquals(1, upstream.malformedCount());
        assertEquals(List.of("OK hi"), upstream.outcomes());
    }

    @Test
    void connectionThatNeverCarriedARequestIsClosedByUnsolicitedBytes() {
        UpstreamConnection connection = upstream.connectIdle(upstream.endpoint());
        EmbeddedUpstream.receive(connection, OK_RESPONSE);
        assertFalse(connection.isActive());
        assertEquals(1, upstream.malformedCount());
    }

    /** Guards against requests without an outcome; without an address, the write throws. */
    @Test
    void requestWhoseWriteThrowsFailsAndItsConnectionIsClosed() {
        UpstreamConnection connection =
                upstream.connectIdle(new EndpointPool(upstream.context(), "s2"));
        connection.write(upstream.request("r1"));
        assertEquals(List.of("CONNECT_FAILED"), upstream.outcomes());
        assertFalse(connection.isActive());
        assertEquals(0, upstream.context().openConnections());
    }

    @Test
    void requestIsWrittenWithItsTimeout() {
        UpstreamConnection connection = upstream.connect(upstream.request("r1"));
        assertEquals(
                "GET / HTTP/1.1\r\nReq-Id: r1\r\nhost: 127.0.0.1:80\r\n"
                        + "Req-Deadline-Ms: 20000\r\n\r\n",
                EmbeddedUpstream.written(connection));
        assertTrue(connection.isRequestWritten());
    }

    /**
     * The policy may not cancel the attempt, so the close of the connection must keep the request
     * incomplete.
     */
    @Test
    void abortedUploadClosesTheConnection() {
        UpstreamConnection connection = connectWithUpload();
        upload.add(Unpooled.buffer().writeZero(10));
        upload.abort();
        assertFalse(connection.isActive());
        assertFalse(connection.isRequestWritten());
        assertEquals(List.of("CONNECT_FAILED"), upstream.outcomes());
    }

    @Test
    void uploadThatWasAbortedBeforeTheConnectClosesTheConnection() {
        upload.add(Unpooled.buffer().writeZero(10));
        upload.abort();
        UpstreamConnection connection = connectWithUpload();
        assertFalse(connection.isActive());
        assertFalse(connection.isRequestWritten());
    }

    @Test
    void streamedRequestIsWrittenWithItsLastByte() {
        UpstreamConnection connection = connectWithUpload();
        upload.add(Unpooled.buffer().writeZero(99));
        assertFalse(connection.isRequestWritten());
        upload.complete(Unpooled.buffer().writeZero(1));
        client.runPendingTasks();
        assertTrue(connection.isRequestWritten());
    }

    @Test
    void okResponseToAnIncompleteUploadIsMalformed() {
        UpstreamConnection connection = connectWithUpload();
        EmbeddedUpstream.receive(connection, OK_RESPONSE);
        assertEquals(List.of("CONNECT_FAILED"), upstream.outcomes());
        assertEquals(1, upstream.malformedCount());
        assertFalse(connection.isActive());
    }

    @Test
    void earlyRejectionOfAnUploadIsReportedAndTheConnectionClosed() {
        UpstreamConnection connection = connectWithUpload();
        EmbeddedUpstream.receive(
                connection, "HTTP/1.1 503 X\r\nSrv-Declined: 1\r\nContent-Length: 2\r\n\r\nno");
        assertEquals(List.of("REJECTED no"), upstream.outcomes());
        assertEquals(List.of("discarded"), uploadEvents);
        assertFalse(connection.isActive());
    }

    @Test
    void abandonedRequestClosesItsConnection() {
        UpstreamRequest request = upstream.request("r1");
        UpstreamConnection connection = upstream.connect(request);
        assertTrue(request.abandon(), "the last byte of the request has been written");
        assertFalse(connection.isActive());
        assertEquals(List.of(), upstream.outcomes());
        assertFalse(request.abandon(), "the request was already abandoned");
    }

    @Test
    void requestIsNotWrittenToADrainedEndpoint() {
        upstream.endpoint().drain(upstream.context().nowMicros(), 0);
        UpstreamConnection connection = upstream.connect(upstream.request("r1"));
        assertEquals("", EmbeddedUpstream.written(connection));
        assertEquals(List.of("NOT_SENT"), upstream.outcomes());
    }

    @Test
    void openConnectionsAreCountedUntilTheirClose() {
        UpstreamConnection connection = upstream.connectIdle(upstream.endpoint());
        assertEquals(1, upstream.context().openConnections());
        connection.close();
        assertEquals(0, upstream.context().openConnections());
    }

    /** The pool closes idle connections until enough descriptors are free. */
    @Test
    void closedConnectionDoesNotCountAsOpenWhileItsCloseListenerIsDeferred() {
        UpstreamConnection connection = upstream.connectIdle(upstream.endpoint());
        upstream.connectIdle(upstream.endpoint());
        EmbeddedUpstream.channel(connection).deferTasks();
        NestedListeners.runAtMaxDepth(
                () -> {
                    connection.close();
                    assertEquals(1, upstream.context().openConnections());
                });
        EmbeddedUpstream.channel(connection).resumeTasks();
        assertEquals(1, upstream.context().openConnections());
    }
}

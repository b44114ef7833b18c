package loadbalancer.upstream;

import static org.junit.jupiter.api.Assertions.assertEquals;

import io.netty.channel.EventLoop;
import io.netty.channel.nio.NioEventLoopGroup;
import java.io.IOException;
import java.util.List;
import java.util.Map;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import loadbalancer.admin.EventLog;
import loadbalancer.admin.Metrics;
import loadbalancer.config.BootSettings;
import loadbalancer.config.EndpointList;
import loadbalancer.config.SettingsFlattener;
import loadbalancer.config.SettingsReader;
import loadbalancer.config.SocketAddressParser;
import loadbalancer.proxy.FileDescriptorBudget;
import loadbalancer.proxy.PeerMemory;
import loadbalancer.proxy.ProxyRequestFixtures;
import loadbalancer.routing.api.Endpoint;
import loadbalancer.routing.api.EndpointStatus;
import loadbalancer.server.BalancerServerTest;
import loadbalancer.server.FakeHttpServer;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/** Tests which idle connection of an endpoint is reused, with a clock that the test sets. */
@Timeout(60)
class UpstreamPoolTest {
    private final NioEventLoopGroup eventLoopGroup = new NioEventLoopGroup(1);
    private final EventLoop eventLoop = eventLoopGroup.next();
    private final AtomicLong clock = new AtomicLong(1_000_000_000);
    private final BlockingQueue<String> outcomes = new LinkedBlockingQueue<>();
    private FakeHttpServer upstream;
    private UpstreamPool upstreamPool;

    @BeforeEach
    void open() throws Exception {
        upstream = new FakeHttpServer();
        Map<String, String> flattened = SettingsFlattener.flatten(BalancerServerTest.settings());
        BootSettings boot = SettingsReader.read(flattened);
        upstreamPool =
                new UpstreamPool(
                        eventLoop,
                        boot,
                        new FileDescriptorBudget(100, false),
                        clock::get,
                        new EventLog(line -> {}, System::nanoTime),
                        new Metrics(boot.classNames()),
                        PeerMemory.forHeap(Runtime.getRuntime().maxMemory()));
        Endpoint endpoint = new Endpoint("s1", EndpointStatus.UP, 0, 1, 0, 0, 0);
        eventLoop
                .submit(
                        () ->
                                upstreamPool.updateEndpoints(
                                        new EndpointList(
                                                1,
                                                true,
                                                List.of(
                                                        new EndpointList.Entry(
                                                                endpoint,
                                                                SocketAddressParser.parse(
                                                                        upstream.address())))),
                                        clock.get()))
                .sync();
    }

    @AfterEach
    void close() throws IOException {
        eventLoopGroup.shutdownGracefully(0, 1, TimeUnit.SECONDS);
        upstream.close();
    }

    private FakeHttpServer.ReceivedRequest sendRequest(String requestId)
            throws InterruptedException {
        eventLoop.execute(
                () ->
                        upstreamPool.send(
                                "s1",
                                ProxyRequestFixtures.getRequest(requestId),
                                ProxyRequestFixtures.TIME_LEFT_MICROS,
                                (outcome, response, load) ->
                                        outcomes.add(requestId + " " + outcome)));
        FakeHttpServer.ReceivedRequest receivedRequest = upstream.nextRequest();
        assertEquals(requestId, receivedRequest.header("Req-Id"));
        return receivedRequest;
    }

    private void respondAndAwait(FakeHttpServer.ReceivedRequest receivedRequest, String requestId)
            throws IOException, InterruptedException {
        receivedRequest.respond(200, "", "ok");
        assertEquals(requestId + " OK", outcomes.poll(20, TimeUnit.SECONDS));
    }

    /**
     * An unsolicited second response may arrive some milliseconds late. It is least likely on the
     * connection that has been idle for longest.
     */
    @Test
    void recentlyUsedConnectionIsAvoided() throws Exception {
        FakeHttpServer.ReceivedRequest first = sendRequest("a");
        FakeHttpServer.ReceivedRequest second = sendRequest("b");
        FakeHttpServer.ReceivedRequest third = sendRequest("c");
        respondAndAwait(first, "a");
        clock.addAndGet(1_000);
        respondAndAwait(second, "b");
        clock.addAndGet(1_000);
        respondAndAwait(third, "c");
        // All three connections were used recently, so the longest idle one is reused.
        FakeHttpServer.ReceivedRequest next = sendRequest("d");
        assertEquals(first.connectionNumber(), next.connectionNumber());
        clock.addAndGet(9_500);
        // The connection of b has been idle for long enough, the connection of c has not.
        next = sendRequest("e");
        assertEquals(second.connectionNumber(), next.connectionNumber());
        respondAndAwait(next, "e");
        clock.addAndGet(20_000);
        // The most recently used one is reused, since the upstream may close the others first.
        assertEquals(second.connectionNumber(), sendRequest("f").connectionNumber());
    }
}

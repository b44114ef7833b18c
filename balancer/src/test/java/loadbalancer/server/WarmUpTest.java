package loadbalancer.server;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.fasterxml.jackson.jr.ob.JSON;
import io.netty.channel.nio.NioEventLoopGroup;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import loadbalancer.TestAwait;
import loadbalancer.config.BalancerConfig;
import loadbalancer.proxy.PeerMemory;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Tests that a warm-up is cut short when client requests arrive before it is complete. */
@Timeout(30)
class WarmUpTest {
    private static final long TIMEOUT_MS = TestAwait.TIMEOUT.toMillis();

    /**
     * Runs a warm-up against a server that never responds, with that many client requests so far.
     * Returns whether the warm-up ends at its start.
     */
    private static boolean endsAtOnce(long clientRequests, boolean clientsWaiting)
            throws IOException, InterruptedException {
        NioEventLoopGroup eventLoopGroup = new NioEventLoopGroup(1);
        try (InputStream configJson = BalancerServer.class.getResourceAsStream("/prepare.json");
                ServerSocket silentServer = new ServerSocket(0)) {
            BalancerConfig config = BalancerConfig.parse(Map.of(), JSON.std.mapFrom(configJson));
            CountDownLatch started = new CountDownLatch(1);
            CountDownLatch ended = new CountDownLatch(1);
            AtomicLong endCount = new AtomicLong();
            eventLoopGroup
                    .next()
                    .execute(
                            () -> {
                                new WarmUp(
                                                eventLoopGroup.next(),
                                                config,
                                                Optional.empty(),
                                                PeerMemory.forHeap(
                                                        Runtime.getRuntime().maxMemory()),
                                                () -> clientRequests,
                                                () -> clientsWaiting,
                                                () -> {
                                                    endCount.incrementAndGet();
                                                    ended.countDown();
                                                })
                                        .start(
                                                new InetSocketAddress(
                                                        "127.0.0.1", silentServer.getLocalPort()));
                                started.countDown();
                            });
            assertTrue(
                    started.await(TIMEOUT_MS, TimeUnit.MILLISECONDS),
                    "the warm-up has not started");
            boolean endedAtOnce = ended.getCount() == 0;
            assertTrue(
                    ended.await(TIMEOUT_MS, TimeUnit.MILLISECONDS),
                    "the warm-up does not end while its server is silent");
            assertEquals(1, endCount.get(), "number of calls of onFinished");
            return endedAtOnce;
        } finally {
            eventLoopGroup.shutdownGracefully(0, 1, TimeUnit.SECONDS);
        }
    }

    /**
     * If clients are waiting, 40 client requests replace the warm-up: a longer one took 2 to 4 s
     * alongside client requests on half a core. Otherwise it takes 300: with 40 at the start of a
     * day, 8% of the requests of the first five seconds were late.
     */
    @ParameterizedTest
    @CsvSource(
            useHeadersInDisplayName = true,
            textBlock =
                    """
                client requests, clients waiting, ends at once
                40,            true,            true
                39,            true,            false
                299,           false,           false
                300,           false,           true
                """)
    void enoughClientRequestsEndWarmUp(
            long clientRequests, boolean clientsWaiting, boolean expectedEndAtOnce)
            throws IOException, InterruptedException {
        assertEquals(expectedEndAtOnce, endsAtOnce(clientRequests, clientsWaiting));
    }
}

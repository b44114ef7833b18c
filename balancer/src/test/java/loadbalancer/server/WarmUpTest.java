package loadbalancer.server;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
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
import loadbalancer.config.BalancerConfig;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/** How a warm-up gives way to clients that come before it is over. */
@Timeout(30)
class WarmUpTest {
    /** Runs one against an upstream that never answers, after {@code realRequests} requests. */
    private static boolean endsAtOnce(long realRequests, boolean clientsWaiting)
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
                                                () -> realRequests,
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
            assertTrue(started.await(20, TimeUnit.SECONDS));
            boolean endedAtOnce = ended.getCount() == 0;
            assertTrue(ended.await(20, TimeUnit.SECONDS), "it ends however silent the server is");
            assertEquals(1, endCount.get());
            return endedAtOnce;
        } finally {
            eventLoopGroup.shutdownGracefully(0, 1, TimeUnit.SECONDS);
        }
    }

    @Test
    void enoughRealRequestsEndWarmUp() throws IOException, InterruptedException {
        // On half a core it took 2 to 4 s beside clients' requests.
        assertTrue(endsAtOnce(40, true));
        assertFalse(endsAtOnce(39, true));
    }

    @Test
    void warmUpIsNotCutShortWithoutClients() throws IOException, InterruptedException {
        // 40 were too few at a day's start: 8% of the requests of the first five seconds were late.
        assertFalse(endsAtOnce(299, false));
        assertTrue(endsAtOnce(300, false));
    }
}

package junctionhead.net;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.fasterxml.jackson.jr.ob.JSON;
import io.netty.channel.local.LocalAddress;
import io.netty.channel.nio.NioEventLoopGroup;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.util.Map;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/** How a rehearsal makes room for clients that come before it is over. */
@Timeout(30)
class RehearsalTest {
    /** Runs one towards a server that never answers, {@code real} requests having come. */
    private static boolean endsAtOnce(long real, boolean hurried)
            throws IOException, InterruptedException {
        NioEventLoopGroup group = new NioEventLoopGroup(1);
        try (InputStream told = Node.class.getResourceAsStream("/prepare.json");
                ServerSocket silent = new ServerSocket(0)) {
            Config config = Config.of(Map.of(), JSON.std.mapFrom(told));
            CountDownLatch started = new CountDownLatch(1);
            CountDownLatch over = new CountDownLatch(1);
            AtomicLong ends = new AtomicLong();
            group.next()
                    .execute(
                            () -> {
                                new Rehearsal(
                                                group.next(),
                                                config,
                                                (LocalAddress) null,
                                                () -> real,
                                                () -> hurried,
                                                () -> {
                                                    ends.incrementAndGet();
                                                    over.countDown();
                                                })
                                        .start(
                                                new InetSocketAddress(
                                                        "127.0.0.1", silent.getLocalPort()));
                                started.countDown();
                            });
            assertTrue(started.await(20, TimeUnit.SECONDS));
            boolean atOnce = over.getCount() == 0;
            assertTrue(over.await(20, TimeUnit.SECONDS), "it ends however silent the server is");
            assertEquals(1, ends.get());
            return atOnce;
        } finally {
            group.shutdownGracefully(0, 1, TimeUnit.SECONDS);
        }
    }

    @Test
    void enoughRealRequestsEndIt() throws IOException, InterruptedException {
        // On half a core it took 2 to 4 s beside the requests of clients that had come already.
        assertTrue(endsAtOnce(40, true));
        assertFalse(endsAtOnce(39, true));
    }

    @Test
    void whereNobodyWaitsItTakesItsTime() throws IOException, InterruptedException {
        // Forty were too few at a day's start: 8% of the first five seconds' requests were late.
        assertFalse(endsAtOnce(299, false));
        assertTrue(endsAtOnce(300, false));
    }
}

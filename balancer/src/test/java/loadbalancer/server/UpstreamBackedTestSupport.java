package loadbalancer.server;

import static loadbalancer.TestAwait.await;
import static org.junit.jupiter.api.Assertions.assertEquals;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.time.Duration;
import loadbalancer.TestAwait;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Timeout;

/** Creates an upstream for each test, and a balancer with a scripted policy in front of it. */
@Timeout(60)
abstract class UpstreamBackedTestSupport {
    static final int DEFAULT_MAX_SOCKETS = 1024;

    final ScriptedPolicy policy = new ScriptedPolicy();
    FakeHttpServer upstream;
    // Null before a test has started the balancer, and after a test has stopped it.
    BalancerServer balancer;
    InetSocketAddress address;

    @BeforeEach
    void open() throws IOException {
        upstream = new FakeHttpServer();
    }

    @AfterEach
    void close() throws IOException {
        if (balancer != null) {
            balancer.stop();
        }
        upstream.close();
    }

    /**
     * Starts a balancer that is ready at once, and returns when the policy has received the
     * endpoint list.
     */
    final void startReady(int maxSockets) throws IOException, InterruptedException {
        balancer =
                BalancerServerFixtures.readyBalancer(
                        upstream,
                        policy,
                        BalancerServerFixtures.settings(),
                        maxSockets,
                        line -> {});
        address = balancer.start();
        assertEquals("CACHED [s1=UP]", policy.nextEvent());
    }

    /** Stops the balancer on a thread of its own, which ends when the balancer has stopped. */
    final Thread stopInBackground() {
        Thread stopThread = new Thread(balancer::stop);
        balancer = null;
        stopThread.start();
        return stopThread;
    }

    /** Waits until the readiness check fails, and asserts that its status is 503. */
    final void awaitNotReady() {
        int status =
                await("the readiness check fails")
                        .until(
                                () -> BalancerServerFixtures.readinessStatus(address),
                                readiness -> readiness != 200);
        assertEquals(503, status, "status of the readiness check of a stopping balancer");
    }

    /**
     * Waits until the balancer has this number of client connections, and returns the frontend's
     * summary.
     */
    final String awaitClientCount(int count) {
        return awaitClientCount(count, TestAwait.TIMEOUT);
    }

    /**
     * Waits up to {@code timeout} until the balancer has this number of client connections, and
     * returns the frontend's summary.
     */
    final String awaitClientCount(int count, Duration timeout) {
        return await(count + " client connections")
                .atMost(timeout)
                .until(
                        () -> balancer.loop().submit(() -> balancer.frontend().toString()).get(),
                        summary -> summary.startsWith(count + " client connections"));
    }
}

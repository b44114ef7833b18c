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

/** An upstream and a balancer with a scripted policy in front of it, for each test. */
@Timeout(60)
abstract class UpstreamBackedTestSupport {
    static final int DEFAULT_MAX_SOCKETS = 1024;

    final ScriptedPolicy policy = new ScriptedPolicy();
    FakeHttpServer upstream;
    // Null before a test has started it, and where a test has stopped it.
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

    /** Starts a balancer that is ready at once; returns when the policy has the endpoint list. */
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

    /** Stops the balancer on a thread of its own, which ends with the stop. */
    final Thread stopInBackground() {
        Thread stopThread = new Thread(balancer::stop);
        balancer = null;
        stopThread.start();
        return stopThread;
    }

    /** Waits until the readiness check fails, and with 503. */
    final void awaitStopping() {
        int status =
                await("the readiness check fails")
                        .until(
                                () -> BalancerServerFixtures.readinessStatus(address),
                                readiness -> readiness != 200);
        assertEquals(503, status, "status of the readiness check of a stopping balancer");
    }

    /** Waits until the balancer has this number of clients' connections; returns its summary. */
    final String awaitClientCount(int count) {
        return awaitClientCount(count, TestAwait.TIMEOUT);
    }

    /** The same within {@code timeout}. */
    final String awaitClientCount(int count, Duration timeout) {
        return await(count + " client connections")
                .atMost(timeout)
                .until(
                        () -> balancer.loop().submit(() -> balancer.frontend().toString()).get(),
                        summary -> summary.startsWith(count + " client connections"));
    }
}

package loadbalancer.server;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.function.Consumer;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Timeout;

/** An upstream, and a balancer in front of it, opened and closed for each test. */
@Timeout(60)
abstract class UpstreamBackedTestSupport {
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

    /** Starts a balancer that is ready at once and routes by {@code policy}. */
    final void startReady(ScriptedPolicy policy, int maxSockets, Consumer<String> logSink)
            throws IOException {
        balancer =
                BalancerServerFixtures.readyBalancer(
                        upstream, policy, BalancerServerFixtures.settings(), maxSockets, logSink);
        address = balancer.start();
    }
}

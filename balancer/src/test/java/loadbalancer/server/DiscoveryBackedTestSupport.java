package loadbalancer.server;

import static org.junit.jupiter.api.Assertions.assertEquals;

import com.fasterxml.jackson.jr.ob.JSON;
import java.io.IOException;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CopyOnWriteArrayList;
import loadbalancer.config.BalancerConfig;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;

/**
 * Starts a balancer over loopback sockets with an upstream s1, a discovery server and a scripted
 * routing policy, for tests of what a client, an upstream or discovery observes.
 */
abstract class DiscoveryBackedTestSupport extends UpstreamBackedTestSupport {
    final List<String> logLines = new CopyOnWriteArrayList<>();
    boolean warmUpEnabled;
    // The address of s1; null for that of the upstream.
    String endpointAddress;
    FakeHttpServer discoveryServer;

    @Override
    @BeforeEach
    void open() throws IOException {
        super.open();
        discoveryServer = new FakeHttpServer();
    }

    @Override
    @AfterEach
    void close() throws IOException {
        super.close();
        discoveryServer.close();
    }

    final BalancerConfig config(int maxSockets, Map<String, Object> rawSettings, int port)
            throws IOException {
        return BalancerServerFixtures.config(
                Map.of(
                        "listen",
                        "127.0.0.1:" + port,
                        "discovery",
                        discoveryServer.address(),
                        "limits",
                        Map.of("sockets", maxSockets),
                        "settings",
                        rawSettings,
                        "known",
                        JSON.std.mapFrom(listJson(41, true, "in_service"))));
    }

    final void start() throws IOException, InterruptedException {
        start(Map.of(), DEFAULT_MAX_SOCKETS);
    }

    final void start(Map<String, Object> limits, int maxSockets)
            throws IOException, InterruptedException {
        Map<String, Object> rawSettings = BalancerServerFixtures.settings(limits);
        balancer =
                new BalancerServer(
                        config(maxSockets, rawSettings, 0),
                        (settings, seed) -> policy,
                        warmUpEnabled,
                        logLines::add);
        address = balancer.start();
        assertEquals("CACHED [s1=UP]", policy.nextEvent());
    }

    final void runOnLoop(Runnable action) {
        balancer.loop().execute(action);
    }

    /**
     * Returns an endpoint list as discovery sends it, with s1 in this state, ending with a line
     * feed.
     */
    final String listJson(int revision, boolean complete, String state) {
        String s1Address = endpointAddress == null ? upstream.address() : endpointAddress;
        return BalancerServerFixtures.listJson(revision, complete, s1Address, state);
    }
}

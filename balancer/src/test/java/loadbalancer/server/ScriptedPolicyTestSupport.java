package loadbalancer.server;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.io.IOException;

/** A ready balancer over loopback sockets in front of one upstream, with a scripted policy. */
abstract class ScriptedPolicyTestSupport extends UpstreamBackedTestSupport {
    static final int DEFAULT_MAX_SOCKETS = 1024;

    final ScriptedPolicy policy = new ScriptedPolicy();

    /** Starts the balancer; returns once the policy has the endpoint list. */
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
}

package loadbalancer.testbed.emulation;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import loadbalancer.testbed.fault.FaultInjector;
import loadbalancer.testbed.invariant.RequestInvariants;
import loadbalancer.testbed.scenario.ScenarioReader;
import loadbalancer.testbed.workload.WorkloadPlan;
import org.junit.jupiter.api.AfterEach;

/**
 * Runs three upstreams for three balancers, one of each per zone, and a fault that the test turns
 * on and off. The test itself opens the sockets of the balancers.
 */
abstract class FaultInjectorTestSupport {
    /** A response or datagram that does not arrive within this time is considered withheld. */
    static final int WITHHELD_TIMEOUT_MS = 400;

    Emulation emulation;
    EmulatedEnvironment environment;
    private FaultInjector<UpstreamEmulator> faultInjector;
    private WorkloadPlan plan;

    /** Closed after each test. */
    final List<AutoCloseable> openSockets = new ArrayList<>();

    /** Starts the environment with a fault, which is off at first. */
    void startEnvironment(String fault) throws IOException {
        plan =
                WorkloadPlan.generate(
                        ScenarioReader.parse(
                                "s.toml",
                                """
            length_s = 10
            [fleet]
            balancers = 3
            zones = ["a", "b", "c"]
            [upstreams]
            count = 3
            [network]
            peer_delay_ms = [0, 0]
            news_delay_ms = [0, 0]
            [[class]]
            name = "x"
            work_ms = [1, 1]
            [[class]]
            name = "y"
            [[fault]]
            at_s = 0
            until_s = 10
            """
                                        + fault.replace("; ", "\n").replace('`', '"')
                                        + "\n",
                                false),
                        1);
        RequestInvariants requestInvariants =
                new RequestInvariants(plan.scenario(), violation -> {});
        emulation = new Emulation(plan, requestInvariants);
        environment = new EmulatedEnvironment(emulation);
        faultInjector = new FaultInjector<>(plan, environment);
        emulation.startIn(0);
    }

    @AfterEach
    void tearDown() throws Exception {
        for (AutoCloseable socket : openSockets) {
            socket.close();
        }
        environment.close();
        emulation.close();
    }

    void setFault(boolean on) {
        emulation
                .eventLoop()
                .submit(() -> faultInjector.applyFault(plan.faults().get(0), on))
                .syncUninterruptibly();
    }
}

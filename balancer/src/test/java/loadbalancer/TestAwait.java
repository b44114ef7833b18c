package loadbalancer;

import java.time.Duration;
import org.awaitility.Awaitility;
import org.awaitility.core.ConditionFactory;

/** How the tests wait for what another thread or process brings about. */
public final class TestAwait {
    /** The bound on a wait that promises nothing about time, so that a busy machine keeps it. */
    public static final Duration TIMEOUT = Duration.ofSeconds(20);

    private static final Duration POLL_INTERVAL = Duration.ofMillis(2);

    private TestAwait() {}

    /**
     * Waits up to {@link #TIMEOUT}, polling on the test's thread from the first moment on.
     *
     * @param expectation what is waited for; part of the message where it does not happen
     */
    public static ConditionFactory await(String expectation) {
        return Awaitility.await(expectation)
                .pollInSameThread()
                .pollDelay(Duration.ZERO)
                .pollInterval(POLL_INTERVAL)
                .atMost(TIMEOUT);
    }
}

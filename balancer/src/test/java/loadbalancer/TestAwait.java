package loadbalancer;

import java.time.Duration;
import org.awaitility.Awaitility;
import org.awaitility.core.ConditionFactory;

/** Waits for conditions that another thread or process brings about. */
public final class TestAwait {
    /** Timeout of waits that assert nothing about duration; long enough for a busy machine. */
    public static final Duration TIMEOUT = Duration.ofSeconds(20);

    private static final Duration POLL_INTERVAL = Duration.ofMillis(2);

    private TestAwait() {}

    /**
     * Returns a wait of up to {@link #TIMEOUT} that polls on the test's thread, without an initial
     * delay.
     *
     * @param expectation the condition that is waited for; part of the message if it does not come
     *     about
     */
    public static ConditionFactory await(String expectation) {
        return Awaitility.await(expectation)
                .pollInSameThread()
                .pollDelay(Duration.ZERO)
                .pollInterval(POLL_INTERVAL)
                .atMost(TIMEOUT);
    }
}

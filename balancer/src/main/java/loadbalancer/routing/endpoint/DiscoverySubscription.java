package loadbalancer.routing.endpoint;

import java.util.SplittableRandom;
import loadbalancer.routing.api.RoutingActions;

/**
 * Decides when to request the endpoint list from discovery again: after a failure, with exponential
 * backoff and jitter, and when a subscription gets no response at all.
 *
 * <p>A change of the list must reach the balancer within 6 s of reaching discovery, even if calls
 * fail in between. Consecutive delays must therefore fit into this time together: a watch that goes
 * silent (3 s until this is noticed, and 0.7 s for a call, in {@code loadbalancer.discovery}), a
 * call that is abandoned, a call that is refused, and the backoff after each. Confined to the
 * thread of the routing policy.
 */
public final class DiscoverySubscription {
    private static final long INITIAL_BACKOFF_MICROS = 200_000;
    private static final long MAX_BACKOFF_MICROS = 1_400_000;
    private static final int MAX_BACKOFF_DOUBLINGS = 3;
    // Limits the wait for a response if the loss of a call is not reported.
    private static final long MAX_RESPONSE_WAIT_MICROS = 4_000_000;
    private static final int RESPONSE_WAIT_JITTER_DIVISOR = 8;

    private final long responseDeadlineMicros;
    private final SplittableRandom random;
    private long nextPollAtMicros = Long.MAX_VALUE;
    private int consecutiveFailures;

    /**
     * Creates an instance without a subscription.
     *
     * @param responseDeadlineMicros time within which a response is needed, in µs
     * @param random source of the jitter
     */
    public DiscoverySubscription(long responseDeadlineMicros, SplittableRandom random) {
        this.responseDeadlineMicros = responseDeadlineMicros;
        this.random = random;
    }

    /** Returns whether {@link #subscribe} should be called now. */
    public boolean isDue(long now) {
        return now >= nextPollAtMicros;
    }

    /** Schedules the next call after a failure; returns the number of consecutive failures. */
    public int onFailure(long now) {
        int doublings = Math.min(MAX_BACKOFF_DOUBLINGS, consecutiveFailures++);
        long maxBackoffMicros = Math.min(MAX_BACKOFF_MICROS, INITIAL_BACKOFF_MICROS << doublings);
        long backoffMicros = Math.min(responseDeadlineMicros / 2, maxBackoffMicros);
        long halfBackoffMicros = backoffMicros / 2;
        long jitterMicros = random.nextLong(Math.max(1, halfBackoffMicros));
        nextPollAtMicros = Math.min(nextPollAtMicros, now + halfBackoffMicros + jitterMicros);
        return consecutiveFailures;
    }

    /** Records a response of discovery; no call is scheduled until the next failure. */
    public void onResponse() {
        consecutiveFailures = 0;
        nextPollAtMicros = Long.MAX_VALUE;
    }

    /** Subscribes to the list, and schedules another call in case there is no response. */
    public void subscribe(long now, RoutingActions actions) {
        long responseWaitMicros = Math.min(responseDeadlineMicros / 2, MAX_RESPONSE_WAIT_MICROS);
        long jitterMicros = random.nextLong(1 + responseWaitMicros / RESPONSE_WAIT_JITTER_DIVISOR);
        nextPollAtMicros = now + responseWaitMicros + jitterMicros;
        actions.watchEndpoints(true);
    }
}

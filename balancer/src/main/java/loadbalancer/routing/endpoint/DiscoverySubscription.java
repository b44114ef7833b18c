package loadbalancer.routing.endpoint;

import java.util.SplittableRandom;
import loadbalancer.routing.api.RoutingActions;

/**
 * Decides when discovery is asked for the endpoint list again: after a failure with exponential
 * backoff and jitter, and when a subscription gets no response at all.
 *
 * <p>A change of the list has to reach the balancer within 6 s of reaching discovery, whatever
 * became of the calls in between. So the delays that may follow one another have to fit into that
 * time together: a watch that falls silent (3 s until that is noticed, and 0.7 s for a call, in
 * {@code loadbalancer.discovery}), a call that is abandoned, one that is refused, and the backoff
 * after each. Confined to the thread of the routing policy.
 */
public final class DiscoverySubscription {
    private static final long INITIAL_BACKOFF_MICROS = 200_000;
    private static final long MAX_BACKOFF_MICROS = 1_400_000;
    private static final int MAX_BACKOFF_DOUBLINGS = 3;
    // Bounds the wait where the loss of a call is not reported
    private static final long MAX_RESPONSE_WAIT_MICROS = 4_000_000;
    private static final int RESPONSE_WAIT_JITTER_DIVISOR = 8;

    private final long responseDeadlineMicros;
    private final SplittableRandom random;
    private long nextPollAtMicros = Long.MAX_VALUE;
    private int consecutiveFailures;

    /**
     * No subscription yet.
     *
     * @param responseDeadlineMicros time in which a response is needed
     * @param random source of the jitter
     */
    public DiscoverySubscription(long responseDeadlineMicros, SplittableRandom random) {
        this.responseDeadlineMicros = responseDeadlineMicros;
        this.random = random;
    }

    /** Whether {@link #subscribe} is to be called. */
    public boolean isDue(long now) {
        return now >= nextPollAtMicros;
    }

    /** Schedules the next call after a failure; returns the number of failures in a row. */
    public int onFailure(long now) {
        int doublings = Math.min(MAX_BACKOFF_DOUBLINGS, consecutiveFailures++);
        long maxBackoffMicros = Math.min(MAX_BACKOFF_MICROS, INITIAL_BACKOFF_MICROS << doublings);
        long backoffMicros = Math.min(responseDeadlineMicros / 2, maxBackoffMicros);
        long halfBackoffMicros = backoffMicros / 2;
        long jitterMicros = random.nextLong(Math.max(1, halfBackoffMicros));
        nextPollAtMicros = Math.min(nextPollAtMicros, now + halfBackoffMicros + jitterMicros);
        return consecutiveFailures;
    }

    /** Discovery has responded: nothing is due until a failure. */
    public void onResponse() {
        consecutiveFailures = 0;
        nextPollAtMicros = Long.MAX_VALUE;
    }

    /** Subscribes to the list, and schedules a repetition in case that nothing responds. */
    public void subscribe(long now, RoutingActions actions) {
        long responseWaitMicros = Math.min(responseDeadlineMicros / 2, MAX_RESPONSE_WAIT_MICROS);
        long jitterMicros = random.nextLong(1 + responseWaitMicros / RESPONSE_WAIT_JITTER_DIVISOR);
        nextPollAtMicros = now + responseWaitMicros + jitterMicros;
        actions.watchEndpoints(true);
    }
}

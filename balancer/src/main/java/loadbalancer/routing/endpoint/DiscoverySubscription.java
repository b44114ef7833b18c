package loadbalancer.routing.endpoint;

import java.util.SplittableRandom;
import loadbalancer.routing.api.RoutingActions;

/**
 * When to ask discovery for the list (again): nobody waits for an answer that may never come. A
 * change counts as told 6 s after discovery had it and could be reached, whatever became of calls
 * meanwhile. So what may come one after the other is bounded by that time together: a watch that
 * falls silent (3 s until that is seen, and 0.7 s for a call, in net/Discovery), a call that is
 * given up, one that is refused, and the pauses after each.
 */
public final class DiscoverySubscription {
    // µs after a failure, at most; doubles
    private static final long INITIAL_BACKOFF_MICROS = 200_000;
    private static final long MAX_BACKOFF_MICROS = 1_400_000;
    private static final int MAX_BACKOFF_DOUBLINGS = 3;
    // Where nobody tells that a call has failed
    private static final long MAX_RESPONSE_WAIT_MICROS = 4_000_000;

    // µs in which an answer must be had
    private final long responseDeadlineMicros;
    private final SplittableRandom random;
    // When to ask
    private long nextPollAtMicros = Long.MAX_VALUE;
    // In a row
    private int consecutiveFailures;

    public DiscoverySubscription(long responseDeadlineMicros, SplittableRandom random) {
        this.responseDeadlineMicros = responseDeadlineMicros;
        this.random = random;
    }

    public boolean isDue(long now) {
        return now >= nextPollAtMicros;
    }

    /** Discovery failed; returns how often in a row. */
    public int onFailure(long now) {
        long maxBackoffMicros =
                Math.min(
                        MAX_BACKOFF_MICROS,
                        INITIAL_BACKOFF_MICROS
                                << Math.min(MAX_BACKOFF_DOUBLINGS, consecutiveFailures++));
        long backoffMicros = Math.min(responseDeadlineMicros / 2, maxBackoffMicros);
        nextPollAtMicros =
                Math.min(
                        nextPollAtMicros,
                        now + backoffMicros / 2 + random.nextLong(Math.max(1, backoffMicros / 2)));
        return consecutiveFailures;
    }

    public void onResponse() {
        consecutiveFailures = 0;
        nextPollAtMicros = Long.MAX_VALUE;
    }

    /** Subscribes; asks again if nothing answers. */
    public void subscribe(long now, RoutingActions actions) {
        long responseWaitMicros = Math.min(responseDeadlineMicros / 2, MAX_RESPONSE_WAIT_MICROS);
        nextPollAtMicros = now + responseWaitMicros + random.nextLong(1 + responseWaitMicros / 8);
        actions.watchEndpoints(true);
    }
}

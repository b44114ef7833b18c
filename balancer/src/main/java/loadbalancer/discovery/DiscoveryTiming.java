package loadbalancer.discovery;

import loadbalancer.config.BootSettings;
import loadbalancer.routing.api.DiscoveryMode;

/**
 * Timeouts and backoff of calls to discovery, in ms. They are derived from the time that the
 * platform allows between a change at discovery and its effect on this balancer. Immutable.
 *
 * @param firstResponseTimeoutMs timeout for the connect of a call, and then for the first part of
 *     its response
 * @param retryBackoffMs pause between a failed watch and the next one
 */
record DiscoveryTiming(long firstResponseTimeoutMs, long retryBackoffMs) {
    /**
     * Timeout for the next part of a watch's response. Discovery sends at least an empty line every
     * 2 s. Changes that a silent watch misses must be known 6 s after it fell silent; the remaining
     * time is for the next watch to bring them, including failed calls and their backoff.
     */
    static final long WATCH_SILENCE_TIMEOUT_MS = 3_000;

    private static final long MAX_FIRST_RESPONSE_TIMEOUT_MS = 700;
    private static final long MIN_FIRST_RESPONSE_TIMEOUT_MS = 100;
    private static final int DRAIN_GRACE_DIVISOR = 4;
    private static final int RETRY_BACKOFF_DIVISOR = 4;
    private static final long MICROS_PER_MS = 1_000;

    /** Returns the timing that follows from the discovery mode and the drain grace period. */
    static DiscoveryTiming of(BootSettings boot) {
        long firstResponseTimeoutMs = firstResponseTimeoutMs(boot);
        return new DiscoveryTiming(
                firstResponseTimeoutMs, firstResponseTimeoutMs / RETRY_BACKOFF_DIVISOR);
    }

    // In push mode discovery responds at once, or not at all while it is down. What discovery
    // learns when it comes back counts as known to this balancer at once, so calls are repeated
    // within a part of the grace period of a draining endpoint.
    private static long firstResponseTimeoutMs(BootSettings boot) {
        if (boot.settings().discoveryMode() != DiscoveryMode.PUSH) {
            return MAX_FIRST_RESPONSE_TIMEOUT_MS;
        }
        long drainGraceMs = boot.settings().bounds().drainGraceMicros() / MICROS_PER_MS;
        long partOfDrainGraceMs = drainGraceMs / DRAIN_GRACE_DIVISOR;
        return Math.max(
                MIN_FIRST_RESPONSE_TIMEOUT_MS,
                Math.min(MAX_FIRST_RESPONSE_TIMEOUT_MS, partOfDrainGraceMs));
    }
}

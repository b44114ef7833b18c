package loadbalancer.discovery;

import loadbalancer.config.BootSettings;
import loadbalancer.routing.api.DiscoveryMode;

/**
 * Timeouts and backoff of discovery's calls, in ms. They follow from the time that the platform
 * grants between a change at discovery and its effect here. Immutable.
 *
 * @param firstResponseTimeoutMs for the connection of a call, and then for the first part of its
 *     response
 * @param retryBackoffMs pause after a watch that failed, before the next is opened
 */
record DiscoveryTiming(long firstResponseTimeoutMs, long retryBackoffMs) {
    /**
     * For the next part of a watch's response. Discovery sends at least an empty line every 2 s.
     * What a silent watch misses must be known 6 s later; that leaves time for a next watch to
     * bring it, with failed calls and their backoff in between.
     */
    static final long WATCH_SILENCE_TIMEOUT_MS = 3_000;

    private static final long MAX_FIRST_RESPONSE_TIMEOUT_MS = 700;
    private static final long MIN_FIRST_RESPONSE_TIMEOUT_MS = 100;
    private static final int DRAIN_GRACE_DIVISOR = 4;
    private static final int RETRY_BACKOFF_DIVISOR = 4;
    private static final long MICROS_PER_MS = 1_000;

    static DiscoveryTiming of(BootSettings boot) {
        long firstResponseTimeoutMs = firstResponseTimeoutMs(boot);
        return new DiscoveryTiming(
                firstResponseTimeoutMs, firstResponseTimeoutMs / RETRY_BACKOFF_DIVISOR);
    }

    // Where lists are pushed, discovery responds at once, or not at all while it is down. What it
    // learns at its return counts as known here at once, so calls are repeated within a part of
    // the grace that a draining endpoint has.
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

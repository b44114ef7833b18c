package loadbalancer.routing.gossip;

import java.util.random.RandomGenerator;

/**
 * Determines when the next load report is due. The cost of reports is bounded in relation to the
 * requests that this balancer receives, and in a large fleet their bandwidth is bounded as well.
 * Confined to the thread of its {@link LoadGossip}.
 */
final class LoadReportSchedule {
    private static final long MIN_INTERVAL_MICROS = 50_000;
    private static final long MAX_INTERVAL_MICROS = 1_000_000;
    private static final double MICROS_PER_SECOND = 1e6;

    // Upper bound on the fraction of the objective that reports may cost.
    private static final double MAX_OBJECTIVE_COST_FRACTION = 0.005;

    // Upper bound on the bytes sent to all neighbors together.
    private static final double MAX_BYTES_PER_SECOND = 1536;

    // Intervals are multiplied by a random factor from 0.75 to 1.25.
    private static final double MIN_JITTER_FACTOR = 0.75;

    private final GossipTopology topology;
    private final double costPerFullMessage;
    private int lastMessageBytes;
    private long nextSendAtMicros;

    /**
     * Creates a schedule with a report due at once.
     *
     * @param costPerFullMessage cost of one message of the maximum size to one receiver
     */
    LoadReportSchedule(GossipTopology topology, double costPerFullMessage) {
        this.topology = topology;
        this.costPerFullMessage = costPerFullMessage;
    }

    boolean isDue(long now) {
        return now >= nextSendAtMicros;
    }

    /**
     * Schedules the next report after one was sent.
     *
     * @param now µs
     * @param messageBytes size of the report that was sent
     * @param requestsPerSecond requests per second that this balancer receives, averaged over a
     *     longer time
     * @param random provides one random number
     */
    void onSent(long now, int messageBytes, double requestsPerSecond, RandomGenerator random) {
        lastMessageBytes = messageBytes;
        double jitterFactor = MIN_JITTER_FACTOR + random.nextDouble() / 2;
        nextSendAtMicros = now + (long) (intervalMicros(requestsPerSecond) * jitterFactor);
    }

    private long intervalMicros(double requestsPerSecond) {
        double messageCost =
                costPerFullMessage
                        * topology.receiverCount()
                        * lastMessageBytes
                        / LoadGossipMessage.MAX_BYTES;
        double costIntervalSeconds =
                messageCost / (MAX_OBJECTIVE_COST_FRACTION * Math.max(1, requestsPerSecond));
        double bandwidthIntervalSeconds =
                topology.isBroadcast()
                        ? 0
                        : topology.receiverCount() * lastMessageBytes / MAX_BYTES_PER_SECOND;
        double intervalMicros =
                Math.max(bandwidthIntervalSeconds, costIntervalSeconds) * MICROS_PER_SECOND;
        return (long) Math.max(MIN_INTERVAL_MICROS, Math.min(MAX_INTERVAL_MICROS, intervalMicros));
    }
}

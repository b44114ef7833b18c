package loadbalancer.routing.gossip;

import java.util.random.RandomGenerator;

/**
 * When the next load report is due: as often as its cost allows in relation to the requests that
 * this balancer receives, and in a large fleet as the bandwidth allows. Confined to the thread of
 * its {@link LoadGossip}.
 */
final class LoadReportSchedule {
    private static final long MIN_INTERVAL_MICROS = 50_000;
    private static final long MAX_INTERVAL_MICROS = 1_000_000;
    private static final double MICROS_PER_SECOND = 1e6;

    // Part of the objective that reports may cost
    private static final double MAX_GOAL_COST_FRACTION = 0.005;

    // To all neighbors together
    private static final double MAX_BYTES_PER_SECOND = 1536;

    // Intervals are spread from 0.75 to 1.25 of their length.
    private static final double MIN_JITTER = 0.75;

    private final GossipTopology topology;
    private final double costPerFullMessage;
    private int lastMessageBytes;
    private long nextSendAtMicros;

    /** {@code costPerFullMessage} is the price of one message of the greatest size. */
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
     * @param messageBytes size of the report sent
     * @param requestsPerSecond that this balancer receives, over a longer time
     * @param random gives one draw
     */
    void onSent(long now, int messageBytes, double requestsPerSecond, RandomGenerator random) {
        lastMessageBytes = messageBytes;
        double jitter = MIN_JITTER + random.nextDouble() / 2;
        nextSendAtMicros = now + (long) (intervalMicros(requestsPerSecond) * jitter);
    }

    private long intervalMicros(double requestsPerSecond) {
        double messageCost =
                costPerFullMessage
                        * topology.receiverCount()
                        * lastMessageBytes
                        / LoadGossipMessage.MAX_BYTES;
        double costIntervalSeconds =
                messageCost / (MAX_GOAL_COST_FRACTION * Math.max(1, requestsPerSecond));
        double bandwidthIntervalSeconds =
                topology.isBroadcast()
                        ? 0
                        : topology.receiverCount() * lastMessageBytes / MAX_BYTES_PER_SECOND;
        double intervalMicros =
                Math.max(bandwidthIntervalSeconds, costIntervalSeconds) * MICROS_PER_SECOND;
        return (long) Math.max(MIN_INTERVAL_MICROS, Math.min(MAX_INTERVAL_MICROS, intervalMicros));
    }
}

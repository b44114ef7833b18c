package loadbalancer.testbed.simulation;

import java.util.List;

/**
 * Transmits datagrams between balancers in virtual time. The network delays, loses and duplicates
 * them. Counts the datagrams that are delivered within the length of the run. Used only by the
 * thread that runs the simulation.
 */
final class PeerDatagrams {
    private final VirtualTimeScheduler scheduler;
    private final SimulatedNetwork network;
    private final List<SimulatedBalancer> balancers;
    private final long lengthMicros;
    // Delivered datagrams by sender and recipient. A sender's row is null until its first delivery.
    private final int[][] deliveredCounts;

    /**
     * Creates the datagram transport of a run.
     *
     * @param balancers list of the balancers, which may be filled later up to {@code balancerCount}
     * @param lengthMicros length of the run in µs
     */
    PeerDatagrams(
            VirtualTimeScheduler scheduler,
            SimulatedNetwork network,
            List<SimulatedBalancer> balancers,
            int balancerCount,
            long lengthMicros) {
        this.scheduler = scheduler;
        this.network = network;
        this.balancers = balancers;
        this.lengthMicros = lengthMicros;
        this.deliveredCounts = new int[balancerCount][];
    }

    /** Sends a datagram to a balancer, or to all others if {@code recipient} is negative. */
    void send(int sender, int recipient, byte[] payload) {
        for (int peer = 0; peer < balancers.size(); peer++) {
            boolean addressed = recipient < 0 || recipient == peer;
            if (peer != sender
                    && addressed
                    && !network.peerLink(sender, peer).sampleDatagramLoss()) {
                transmit(sender, balancers.get(peer), payload);
            }
        }
    }

    private void transmit(int sender, SimulatedBalancer recipient, byte[] payload) {
        for (long delayMicros :
                network.peerLink(sender, recipient.number()).sampleDatagramDelaysMicros()) {
            scheduler.scheduleAfter(delayMicros, () -> deliver(sender, recipient, payload));
        }
    }

    private void deliver(int sender, SimulatedBalancer recipient, byte[] payload) {
        if (recipient.alive()) {
            countDelivery(sender, recipient.number());
            recipient.onPeerMessage(sender, payload);
        }
    }

    private void countDelivery(int sender, int recipient) {
        if (deliveredCounts[sender] == null) {
            deliveredCounts[sender] = new int[deliveredCounts.length];
        }
        deliveredCounts[sender][recipient] += scheduler.nowMicros() < lengthMicros ? 1 : 0;
    }

    /** Returns how many datagrams one balancer received from another within the run's length. */
    long deliveredCount(int sender, int recipient) {
        return deliveredCounts[sender] == null ? 0 : deliveredCounts[sender][recipient];
    }
}

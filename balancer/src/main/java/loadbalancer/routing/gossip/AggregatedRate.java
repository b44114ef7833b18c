package loadbalancer.routing.gossip;

import java.util.stream.IntStream;

/**
 * Estimates the remote rate of a large fleet with a {@link FleetLoadAggregator}, whose input is the
 * load reports of the balancers in the own block. For blocks without a current record, such as
 * blocks of an older version that broadcasts its reports, the rates in the received load reports
 * are added. Confined to the thread of its {@link LoadGossip}.
 */
final class AggregatedRate implements RemoteRateEstimator {
    private final int ownRank;
    private final PeerLoadTable peers;
    private final BlockPartition partition;
    private final FleetLoadAggregator aggregator;

    // The own requests per second in the last record of the own block, which the total includes.
    private double lastLocalRate;
    private double estimate;

    AggregatedRate(GossipTopology topology, PeerLoadTable peers) {
        this.ownRank = topology.ownRank();
        this.peers = peers;
        this.partition = new BlockPartition(topology.balancerCount());
        this.aggregator = new FleetLoadAggregator(ownRank, partition);
    }

    @Override
    public void sendDue(long now, double localRate, FleetLoadAggregator.DatagramSender sender) {
        int ownBlock = partition.blockOf(ownRank);
        int reportingPeerCount =
                (int) partition.balancersOf(ownBlock).filter(peers::contains).count();
        lastLocalRate = localRate;
        aggregator.setOwnBlockRecord(
                now, 1 + reportingPeerCount, Math.round(localRate) + reportedRate(ownBlock));
        aggregator.tick(now, peers::contains, sender);
    }

    @Override
    public boolean onDatagram(long now, int sender, byte[] datagram) {
        return sender != ownRank && aggregator.onDatagram(now, sender, datagram);
    }

    @Override
    public void update(long now) {
        double aggregatedRate =
                Math.max(0, aggregator.total(now).requestsPerSecond() - lastLocalRate);
        long rateOfUnrecordedBlocks =
                IntStream.range(0, partition.blockCount())
                        .filter(block -> !aggregator.hasCurrentRecord(now, block))
                        .mapToLong(this::reportedRate)
                        .sum();
        estimate = aggregatedRate + rateOfUnrecordedBlocks;
    }

    private long reportedRate(int block) {
        return partition.balancersOf(block).mapToLong(peers::requestsPerSecond).sum();
    }

    @Override
    public double requestsPerSecond() {
        return estimate;
    }
}

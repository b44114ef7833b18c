package loadbalancer.routing.gossip;

import java.util.stream.IntStream;

/**
 * Rate of a large fleet by {@link FleetLoadAggregator}, with the load reports of the own block as
 * its input. Blocks without a record, as those of an older version that broadcasts its reports, are
 * counted by the reports received of them.
 */
final class AggregatedRate implements RemoteRateEstimator {
    private final int ownRank;
    private final PeerLoadTable peers;
    private final BlockPartition partition;
    private final FleetLoadAggregator aggregator;

    // Part of the last own record, which the total includes
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
        int heardCount = (int) partition.balancersOf(ownBlock).filter(peers::contains).count();
        lastLocalRate = localRate;
        aggregator.ownBlock(now, 1 + heardCount, Math.round(localRate) + reportedRate(ownBlock));
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

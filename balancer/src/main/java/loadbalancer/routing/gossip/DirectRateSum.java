package loadbalancer.routing.gossip;

/** Sum of the rates in the load reports that were received, and nothing more. */
final class DirectRateSum implements RemoteRateEstimator {
    private final PeerLoadTable peers;

    DirectRateSum(PeerLoadTable peers) {
        this.peers = peers;
    }

    @Override
    public void sendDue(long now, double localRate, FleetLoadAggregator.DatagramSender sender) {
        // The load reports hold the rate.
    }

    @Override
    public boolean onDatagram(long now, int sender, byte[] datagram) {
        return false;
    }

    @Override
    public void update(long now) {
        // Computed on each read.
    }

    @Override
    public double requestsPerSecond() {
        return peers.totalRequestsPerSecond();
    }
}

package loadbalancer.routing.gossip;

/**
 * Estimates the remote rate as the sum of the rates in the received load reports. Confined to the
 * thread of its {@link LoadGossip}.
 */
final class DirectRateSum implements RemoteRateEstimator {
    private final PeerLoadTable peers;

    DirectRateSum(PeerLoadTable peers) {
        this.peers = peers;
    }

    @Override
    public void sendDue(long now, double localRate, FleetLoadAggregator.DatagramSender sender) {
        // The load reports contain the rate, so no other datagrams are needed.
    }

    @Override
    public boolean onDatagram(long now, int sender, byte[] datagram) {
        return false;
    }

    @Override
    public void update(long now) {
        // The sum is computed on each read.
    }

    @Override
    public double requestsPerSecond() {
        return peers.totalRequestsPerSecond();
    }
}

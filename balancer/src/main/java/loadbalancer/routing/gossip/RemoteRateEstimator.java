package loadbalancer.routing.gossip;

/** Estimates the requests a second that the other balancers of the fleet receive together. */
sealed interface RemoteRateEstimator permits DirectRateSum, AggregatedRate {
    /** Sends the datagrams that are due, if this estimator needs any of its own. */
    void sendDue(long now, double localRate, FleetLoadAggregator.DatagramSender sender);

    /** Takes in a datagram of {@link FleetLoadMessage}'s format; false if it is not used. */
    boolean onDatagram(long now, int sender, byte[] datagram);

    /** Brings the estimate up to date. */
    void update(long now);

    /** The estimate, requests a second. */
    double requestsPerSecond();
}

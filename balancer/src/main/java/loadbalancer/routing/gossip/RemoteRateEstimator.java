package loadbalancer.routing.gossip;

/**
 * Estimates the requests per second that the other balancers of the fleet receive together.
 * Confined to the thread of its {@link LoadGossip}.
 */
sealed interface RemoteRateEstimator permits DirectRateSum, AggregatedRate {
    /**
     * Sends the datagrams that are due, if this estimator uses its own datagrams.
     *
     * @param now µs
     * @param localRate requests per second that this balancer receives
     * @param sender sends the datagrams
     */
    void sendDue(long now, double localRate, FleetLoadAggregator.DatagramSender sender);

    /**
     * Processes a received datagram with the format of {@link FleetLoadMessage}. Returns false if
     * it was ignored.
     */
    boolean onDatagram(long now, int sender, byte[] datagram);

    /** Updates the estimate. */
    void update(long now);

    /** Returns the estimate in requests per second. */
    double requestsPerSecond();
}

/**
 * Load gossip between the balancers of a fleet. Balancers exchange their attempts in flight,
 * ejected request classes and unreachable endpoints, and estimate the request rate of the whole
 * fleet.
 *
 * <p>{@link loadbalancer.routing.gossip.LoadGossip} is the entry point for the routing policy.
 * {@code LoadReportBuilder} and {@code LoadReportSchedule} create and time the reports to send,
 * {@code PeerLoadTable} stores the received ones, and a {@code RemoteRateEstimator} estimates the
 * rate of the other balancers: {@code DirectRateSum} in a small fleet, {@code AggregatedRate} with
 * {@link loadbalancer.routing.gossip.FleetLoadAggregator} in a large one. Only {@link
 * loadbalancer.routing.gossip.LoadGossipMessage} (format 3) and {@code FleetLoadMessage} (format 6)
 * encode and decode datagrams.
 *
 * <p>All types are confined to the thread of their routing policy (the event loop). Time,
 * randomness and the sender of datagrams are parameters; the package depends neither on sockets nor
 * on clocks. Design: {@code docs/design/aggregation.md}.
 */
package loadbalancer.routing.gossip;

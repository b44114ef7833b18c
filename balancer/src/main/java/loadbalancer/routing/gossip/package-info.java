/**
 * Gossip of load between the balancers of a fleet: attempts in flight, ejected request classes and
 * unreachable endpoints of each balancer, and the request rate of the whole fleet.
 *
 * <p>{@link loadbalancer.routing.gossip.LoadGossip} is the entry for the routing policy. It
 * delegates sending to {@code LoadReportSender}, keeps received reports in {@code PeerLoadTable}
 * and gets the rate of the other balancers from a {@code RemoteRateEstimator}: the plain sum in a
 * small fleet, {@link loadbalancer.routing.gossip.FleetLoadAggregator} in a large one. {@link
 * loadbalancer.routing.gossip.LoadGossipMessage} (format 3) and {@code FleetLoadMessage} (format 6)
 * are the only places that know the bytes on the wire.
 *
 * <p>All types are confined to the thread of their routing policy (the event loop). They take time,
 * randomness and the means of sending as parameters, and depend neither on sockets nor on clocks.
 * Design: {@code docs/design/aggregation.md}.
 */
package loadbalancer.routing.gossip;

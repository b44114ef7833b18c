package loadbalancer.routing.gossip;

import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.function.ObjIntConsumer;
import java.util.function.Predicate;
import java.util.random.RandomGenerator;
import loadbalancer.routing.api.RoutingActions;
import loadbalancer.routing.api.RoutingSettings;
import loadbalancer.routing.endpoint.EndpointState;

/**
 * Exchange of load reports with the other balancers of the fleet, several times a second: attempts
 * in flight by endpoint, request classes ejected, unreachable endpoints, and the request rate.
 * Without it each balancer of a fleet of 14 knows a fourteenth of each endpoint's queue, and each
 * finds a failing endpoint by errors of its own.
 *
 * <p>Reports may be lost: those received expire soon, and no decision requires any. Receivers are
 * defined by {@link GossipTopology}; with bounded neighbors the traffic of a balancer does not grow
 * with the fleet.
 *
 * <p>Confined to the thread of the routing policy. Times are µs of the policy's clock.
 */
public final class LoadGossip {
    private final GossipTopology topology;
    private final boolean isEnabled;
    private final PeerLoadTable peers = new PeerLoadTable();
    private final RemoteRateEstimator remoteRate;
    private final LoadReportBuilder reportBuilder;
    private final LoadReportSchedule schedule;

    /** Creates the gossip of the balancer that {@code settings} describe, without any report. */
    public LoadGossip(RoutingSettings settings) {
        this.topology = new GossipTopology(settings.rank(), settings.balancerCount());
        this.isEnabled = settings.limits().gossipAllowed() && settings.balancerCount() > 1;
        this.remoteRate =
                topology.isBroadcast() || topology.exceedsAggregation()
                        ? new DirectRateSum(peers)
                        : new AggregatedRate(topology, peers);
        this.reportBuilder = new LoadReportBuilder(settings.zone(), topology);
        this.schedule = new LoadReportSchedule(topology, settings.costs().gossip());
    }

    // ------------------------------------------------------------ sending

    /**
     * Sends the report and the datagrams of the aggregation that are due.
     *
     * @param now µs
     * @param listedEndpoints those that are up
     * @param isUnreachable selects those of them to which this balancer can't connect
     * @param localRate requests a second that this balancer receives
     * @param steadyLocalRate the same over a longer time
     * @param random gives one draw per report
     * @param actions takes the datagrams
     */
    public void sendDue(
            long now,
            List<EndpointState> listedEndpoints,
            Predicate<EndpointState> isUnreachable,
            double localRate,
            double steadyLocalRate,
            RandomGenerator random,
            RoutingActions actions) {
        if (!isEnabled) {
            return;
        }
        if (topology.exceedsAggregation() && !reportBuilder.hasBuilt()) {
            actions.log(
                    "fleet too large to aggregate: balancers="
                            + topology.balancerCount()
                            + " max_balancers="
                            + BlockPartition.MAX_BALANCERS);
        }
        if (schedule.isDue(now)) {
            List<EndpointState> unreachableEndpoints =
                    listedEndpoints.stream().filter(isUnreachable).toList();
            byte[] datagram =
                    reportBuilder
                            .build(listedEndpoints, unreachableEndpoints, localRate, now)
                            .encode();
            topology.send(datagram, actions);
            schedule.onSent(now, datagram.length, steadyLocalRate, random);
        }
        remoteRate.sendDue(now, localRate, actions::sendToPeer);
    }

    // ------------------------------------------------------------ receiving and expiry

    /**
     * Takes in a datagram of another balancer.
     *
     * @param now µs
     * @param sender number of the balancer that sent it
     * @param datagram a report or a datagram of the aggregation
     * @param listedEndpoints those that are up
     * @param onUnreachable takes each endpoint that the sender reports unreachable, with the
     *     sender's zone
     * @return false, without any effect, if the datagram can't be decoded or is not from a peer
     */
    public boolean onMessage(
            long now,
            int sender,
            byte[] datagram,
            List<EndpointState> listedEndpoints,
            ObjIntConsumer<EndpointState> onUnreachable) {
        if (FleetLoadMessage.hasFormat(datagram)) {
            return remoteRate.onDatagram(now, sender, datagram);
        }
        Optional<LoadGossipMessage> decoded =
                topology.isPeer(sender) ? LoadGossipMessage.decode(datagram) : Optional.empty();
        if (decoded.isEmpty()) {
            return false;
        }
        LoadGossipMessage message = decoded.get();
        peers.put(sender, message, now);
        applyEjections(now, message, listedEndpoints);
        notifyUnreachable(message, listedEndpoints, onUnreachable);
        return true;
    }

    private static void applyEjections(
            long now, LoadGossipMessage message, List<EndpointState> listedEndpoints) {
        for (LoadGossipMessage.EjectionEntry ejection : message.ejectionEntries()) {
            int classIndex = ejection.classIndex();
            long ejectedUntilMicros = now + ejection.remainingMicros();
            for (EndpointState endpoint : listedEndpoints) {
                if (endpointCode(endpoint) == ejection.endpointCode()
                        && classIndex < endpoint.classCount()) {
                    endpoint.classHealth(classIndex).onRemoteEjection(ejectedUntilMicros);
                }
            }
        }
    }

    private static void notifyUnreachable(
            LoadGossipMessage message,
            List<EndpointState> listedEndpoints,
            ObjIntConsumer<EndpointState> onUnreachable) {
        if (message.unreachableCodes().isEmpty()) {
            return;
        }
        Set<Integer> unreachableCodes = new HashSet<>(message.unreachableCodes());
        listedEndpoints.stream()
                .filter(endpoint -> unreachableCodes.contains(endpointCode(endpoint)))
                .forEach(endpoint -> onUnreachable.accept(endpoint, message.zone()));
    }

    /**
     * Removes expired reports and updates the remote rate.
     *
     * @return number of other balancers without a report
     */
    public int expireSilentPeers(long now) {
        peers.expire(now);
        remoteRate.update(now);
        return topology.balancerCount() - 1 - peers.peerCount();
    }

    // ------------------------------------------------------------ what is known of the others

    /** Requests a second that the other balancers receive, as far as known. */
    public double remoteRate() {
        return remoteRate.requestsPerSecond();
    }

    /** Attempts of the other balancers in flight at {@code endpoint}, as far as reported. */
    public int remoteInFlight(EndpointState endpoint) {
        return peers.inFlight(endpointCode(endpoint));
    }

    private static int endpointCode(EndpointState endpoint) {
        return LoadGossipMessage.endpointCode(endpoint.idHash());
    }
}

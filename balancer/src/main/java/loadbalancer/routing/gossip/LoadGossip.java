package loadbalancer.routing.gossip;

import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.ObjIntConsumer;
import java.util.function.Predicate;
import java.util.random.RandomGenerator;
import java.util.stream.IntStream;
import java.util.stream.Stream;
import loadbalancer.routing.api.RoutingActions;
import loadbalancer.routing.api.RoutingSettings;
import loadbalancer.routing.endpoint.EndpointState;

/**
 * What the balancers tell one another, several times a second: how many attempts each has out at
 * which server, which servers it has found to fail a class or can't connect to, and how many
 * requests it gets. Guards against queues that say nothing: one balancer of fourteen saw a
 * fourteenth of each queue, and chose servers no better than at random; and against fourteen that
 * each pay for the same discovery. Messages may be lost: what was heard of a balancer is forgotten
 * soon after its last one, and nothing depends on any.
 *
 * <p>A small fleet's balancers tell all others. In a larger one each tells its neighbours by
 * number, whose parts of the servers' ring overlap with its own, and no more bytes than it may; how
 * many requests all get comes by {@link FleetLoadAggregator}. Guards against messages that grow
 * with the fleet: with 1,600 balancers each had 400 KB a second to take in.
 */
public final class LoadGossip {
    private static final int MAX_REPORTED_CLASSES = 256;
    // µs between messages, at the price's bidding
    private static final long MIN_INTERVAL_MICROS = 50_000;
    private static final long MAX_INTERVAL_MICROS = 1_000_000;
    // µs after a balancer's last message
    private static final long EXPIRY_MICROS = 1_500_000;
    // Of the goal that messages may cost
    private static final double MAX_GOAL_COST_FRACTION = 0.005;
    // On each side; those of the own block are among them.
    private static final int NEIGHBORS_PER_SIDE = BlockPartition.DEFAULT_BLOCK_SIZE;
    // Of a neighbour's message
    private static final int MAX_NEIGHBOR_MESSAGE_BYTES = 48;
    // To all neighbours
    private static final double MAX_BYTES_PER_SECOND = 1536;

    private final RoutingSettings settings;
    // By code, what is held of all balancers
    private final int[] remoteInFlight = new int[LoadGossipMessage.ENDPOINT_CODE_COUNT];
    // By the balancer's number
    private final Map<Integer, ReceivedMessage> receivedByBalancer = new HashMap<>();
    // Null where all tell all, or there are too many
    private final FleetLoadAggregator fleetLoad;
    private final boolean isBroadcast;
    // Of the last message sent
    private int lastMessageBytes;
    private long nextSendAtMicros;
    // As last told
    private double lastLocalRate;
    // Requests a second that the others get
    private double aggregatedRemoteRate;
    // Messages sent: in which order servers are told
    private int messagesSent;

    private record ReceivedMessage(LoadGossipMessage message, long receivedAtMicros) {}

    public LoadGossip(RoutingSettings settings) {
        this.settings = settings;
        this.isBroadcast = settings.balancerCount() <= 2 * NEIGHBORS_PER_SIDE + 1;
        this.fleetLoad =
                isBroadcast || settings.balancerCount() > BlockPartition.MAX_BALANCERS
                        ? null
                        : new FleetLoadAggregator(
                                settings.rank(), new BlockPartition(settings.balancerCount()));
    }

    private boolean isEnabled() {
        return settings.limits().gossipAllowed() && settings.balancerCount() > 1;
    }

    private int receiverCount() {
        return isBroadcast ? settings.balancerCount() - 1 : 2 * NEIGHBORS_PER_SIDE;
    }

    /**
     * µs until the next message: as often as the price allows at {@code requestsPerSecond} requests
     * a second.
     */
    long intervalMicros(double requestsPerSecond) {
        double messageCost =
                settings.costs().gossip()
                        * receiverCount()
                        * lastMessageBytes
                        / LoadGossipMessage.MAX_BYTES;
        double bandwidthIntervalSeconds =
                isBroadcast ? 0 : receiverCount() * lastMessageBytes / MAX_BYTES_PER_SECOND;
        return (long)
                Math.max(
                        MIN_INTERVAL_MICROS,
                        Math.min(
                                MAX_INTERVAL_MICROS,
                                Math.max(
                                                bandwidthIntervalSeconds,
                                                messageCost
                                                        / (MAX_GOAL_COST_FRACTION
                                                                * Math.max(1, requestsPerSecond)))
                                        * 1e6));
    }

    /**
     * Tells what is due. {@code listedEndpoints} are the servers that are up, {@code isUnreachable}
     * picks those cut off, {@code localRate} is what this balancer gets a second, {@code
     * steadyLocalRate} the same over a longer time.
     */
    public void sendDue(
            long now,
            List<EndpointState> listedEndpoints,
            Predicate<EndpointState> isUnreachable,
            double localRate,
            double steadyLocalRate,
            RandomGenerator random,
            RoutingActions actions) {
        if (!isEnabled()) {
            return;
        }
        if (messagesSent == 0 && !isBroadcast && fleetLoad == null) {
            actions.log(
                    "sums over the fleet reach "
                            + BlockPartition.MAX_BALANCERS
                            + " balancers, not "
                            + settings.balancerCount()
                            + ": of requests only the neighbours' are known");
        }
        if (now >= nextSendAtMicros) {
            byte[] datagram =
                    encodeMessage(
                            listedEndpoints,
                            listedEndpoints.stream().filter(isUnreachable).toList(),
                            localRate,
                            now);
            if (isBroadcast) {
                actions.sendToPeer(-1, datagram);
            } else {
                for (int distance = 1; distance <= NEIGHBORS_PER_SIDE; distance++) {
                    actions.sendToPeer(
                            (settings.rank() + distance) % settings.balancerCount(), datagram);
                    actions.sendToPeer(
                            Math.floorMod(settings.rank() - distance, settings.balancerCount()),
                            datagram);
                }
            }
            nextSendAtMicros =
                    now
                            + (long)
                                    (intervalMicros(steadyLocalRate)
                                            * (0.75 + random.nextDouble() / 2));
        }
        if (fleetLoad != null) {
            int block = fleetLoad.partition().blockOf(settings.rank());
            lastLocalRate = localRate;
            fleetLoad.ownBlock(
                    now,
                    1 + receivedFromBlock(block),
                    Math.round(localRate) + receivedBlockRate(block));
            fleetLoad.tick(now, receivedByBalancer::containsKey, actions::sendToPeer);
        }
    }

    // Of a block's balancers, less this one, how many were heard themselves.
    private int receivedFromBlock(int block) {
        return (int) blockMembers(block).filter(receivedByBalancer::containsKey).count();
    }

    private long receivedBlockRate(int block) {
        return blockMembers(block)
                .mapToObj(receivedByBalancer::get)
                .mapToLong(received -> received == null ? 0 : received.message.requestsPerSecond())
                .sum();
    }

    private IntStream blockMembers(int block) {
        int firstMember = fleetLoad.partition().firstBalancer(block);
        return IntStream.range(firstMember, firstMember + fleetLoad.partition().blockSize(block));
    }

    /** The classes of an endpoint that this balancer has ejected; a class's number is one byte. */
    private static Stream<LoadGossipMessage.EjectionEntry> ejectionEntries(
            EndpointState endpoint, long now) {
        int classes = Math.min(MAX_REPORTED_CLASSES, endpoint.classHealth.length);
        return IntStream.range(0, classes)
                .filter(index -> ejectedUntil(endpoint, index) > now)
                .mapToObj(
                        index ->
                                new LoadGossipMessage.EjectionEntry(
                                        endpointCode(endpoint),
                                        index,
                                        ejectedUntil(endpoint, index) - now));
    }

    private static long ejectedUntil(EndpointState endpoint, int classIndex) {
        return endpoint.classHealth[classIndex].locallyEjectedUntilMicros();
    }

    /**
     * This balancer's message; {@code listedEndpoints} are the servers that are up, {@code
     * unreachableEndpoints} those cut off.
     */
    byte[] encodeMessage(
            List<EndpointState> listedEndpoints,
            List<EndpointState> unreachableEndpoints,
            double localRate,
            long now) {
        int maxBytes = isBroadcast ? LoadGossipMessage.MAX_BYTES : MAX_NEIGHBOR_MESSAGE_BYTES;
        List<LoadGossipMessage.EjectionEntry> ejectionEntries =
                rotatingWindow(
                        listedEndpoints.stream()
                                .flatMap(endpoint -> ejectionEntries(endpoint, now))
                                .toList(),
                        LoadGossipMessage.MAX_EJECTION_ENTRIES
                                * maxBytes
                                / LoadGossipMessage.MAX_BYTES);
        List<Integer> unreachableCodes =
                rotatingWindow(
                        unreachableEndpoints.stream().map(LoadGossip::endpointCode).toList(),
                        LoadGossipMessage.MAX_UNREACHABLE_CODES
                                * maxBytes
                                / LoadGossipMessage.MAX_BYTES);
        List<LoadGossipMessage.InFlightEntry> inFlightEntries =
                listedEndpoints.stream()
                        .filter(endpoint -> endpoint.inFlight > 0)
                        .sorted(Comparator.comparingInt(endpoint -> -endpoint.inFlight))
                        .limit(
                                LoadGossipMessage.maxInFlightEntries(
                                        maxBytes, ejectionEntries.size(), unreachableCodes.size()))
                        .map(
                                endpoint ->
                                        new LoadGossipMessage.InFlightEntry(
                                                endpointCode(endpoint), endpoint.inFlight))
                        .toList();
        byte[] datagram =
                new LoadGossipMessage(
                                settings.zone() & 255,
                                (int) Math.round(localRate),
                                inFlightEntries,
                                ejectionEntries,
                                unreachableCodes)
                        .encode();
        lastMessageBytes = datagram.length;
        messagesSent++;
        return datagram;
    }

    // Those that fit: where a message has little room, others each time, so that each has its turn.
    private <T> List<T> rotatingWindow(List<T> items, int maxItems) {
        int start =
                isBroadcast || items.size() <= maxItems
                        ? 0
                        : Math.floorMod(messagesSent * maxItems, items.size());
        return IntStream.range(0, Math.min(maxItems, items.size()))
                .mapToObj(i -> items.get((start + i) % items.size()))
                .toList();
    }

    private static int endpointCode(EndpointState endpoint) {
        return LoadGossipMessage.endpointCode(endpoint.idHash);
    }

    /**
     * Takes a message in; false where it is none or nobody's. {@code onUnreachable} hears who is
     * said to be lost, and from which zone.
     */
    public boolean onMessage(
            long now,
            int sender,
            byte[] datagram,
            List<EndpointState> listedEndpoints,
            ObjIntConsumer<EndpointState> onUnreachable) {
        if (fleetLoad != null && datagram.length > 0 && datagram[0] == FleetLoadAggregator.FORMAT) {
            return sender != settings.rank() && fleetLoad.onDatagram(now, sender, datagram);
        }
        LoadGossipMessage message =
                sender < 0 || sender >= settings.balancerCount() || sender == settings.rank()
                        ? null
                        : LoadGossipMessage.decode(datagram);
        if (message == null) {
            return false;
        }
        ReceivedMessage previous =
                receivedByBalancer.put(sender, new ReceivedMessage(message, now));
        if (previous != null) {
            applyInFlight(previous.message, -1);
        }
        applyInFlight(message, 1);
        for (LoadGossipMessage.EjectionEntry ejection : message.ejectionEntries()) {
            listedEndpoints.stream()
                    .filter(
                            endpoint ->
                                    endpointCode(endpoint) == ejection.endpointCode()
                                            && ejection.classIndex() < endpoint.classHealth.length)
                    .forEach(
                            endpoint ->
                                    endpoint.classHealth[ejection.classIndex()].onRemoteEjection(
                                            now + ejection.remainingMicros()));
        }
        if (!message.unreachableCodes().isEmpty()) {
            Set<Integer> unreachableCodes = new HashSet<>(message.unreachableCodes());
            listedEndpoints.stream()
                    .filter(endpoint -> unreachableCodes.contains(endpointCode(endpoint)))
                    .forEach(endpoint -> onUnreachable.accept(endpoint, message.zone()));
        }
        return true;
    }

    private void applyInFlight(LoadGossipMessage message, int sign) {
        message.inFlightEntries()
                .forEach(entry -> remoteInFlight[entry.endpointCode()] += sign * entry.inFlight());
    }

    /** Forgets balancers that have fallen silent; returns how many of the others are silent. */
    public int expireSilentPeers(long now) {
        receivedByBalancer
                .values()
                .removeIf(
                        received -> {
                            boolean isExpired = now - received.receivedAtMicros > EXPIRY_MICROS;
                            if (isExpired) {
                                applyInFlight(received.message, -1);
                            }
                            return isExpired;
                        });
        if (fleetLoad != null) {
            aggregatedRemoteRate = aggregateRemoteRate(now);
        }
        return settings.balancerCount() - 1 - receivedByBalancer.size();
    }

    /** Requests a second that the other balancers get, by what they tell. */
    public double remoteRate() {
        return fleetLoad == null
                ? receivedByBalancer.values().stream()
                        .mapToInt(received -> received.message.requestsPerSecond())
                        .sum()
                : aggregatedRemoteRate;
    }

    // Blocks that tell no sums, as an older program's, may be heard themselves.
    private double aggregateRemoteRate(long now) {
        return Math.max(0, fleetLoad.total(now).requestsPerSecond() - lastLocalRate)
                + IntStream.range(0, fleetLoad.partition().blockCount())
                        .filter(block -> !fleetLoad.hasCurrentRecord(now, block))
                        .mapToLong(this::receivedBlockRate)
                        .sum();
    }

    /** The attempts that the other balancers have told of at a server. */
    public int remoteInFlight(EndpointState endpoint) {
        return remoteInFlight[endpointCode(endpoint)];
    }
}

package loadbalancer.routing.gossip;

import java.util.Comparator;
import java.util.List;
import java.util.stream.IntStream;
import java.util.stream.Stream;
import loadbalancer.routing.endpoint.EndpointState;
import loadbalancer.routing.gossip.LoadGossipMessage.EjectionEntry;
import loadbalancer.routing.gossip.LoadGossipMessage.InFlightEntry;

/**
 * Builds the load reports of this balancer from the state of its endpoints. If not all ejections or
 * unreachable endpoints fit into a report to neighbors, successive reports contain different ones;
 * a broadcast report contains the first ones. Confined to the thread of its {@link LoadGossip}.
 */
final class LoadReportBuilder {
    // A class index is encoded in one byte.
    private static final int MAX_REPORTED_CLASSES = 256;

    private final int zone;
    private final boolean isBroadcast;
    private final int maxBytes;
    private int builtCount;

    LoadReportBuilder(int zone, GossipTopology topology) {
        this.zone = zone & 0xff;
        this.isBroadcast = topology.isBroadcast();
        this.maxBytes = topology.maxMessageBytes();
    }

    /** Returns whether a report has been built. */
    boolean hasBuilt() {
        return builtCount > 0;
    }

    /**
     * Builds a report.
     *
     * @param listedEndpoints listed endpoints that are up
     * @param unreachableEndpoints endpoints to which this balancer can't connect
     * @param requestsPerSecond requests per second that this balancer receives
     * @param now µs
     */
    LoadGossipMessage build(
            List<EndpointState> listedEndpoints,
            List<EndpointState> unreachableEndpoints,
            double requestsPerSecond,
            long now) {
        List<EjectionEntry> ejections =
                rotatingWindow(
                        listedEndpoints.stream()
                                .flatMap(endpoint -> ejectionEntries(endpoint, now))
                                .toList(),
                        scaleToMaxBytes(LoadGossipMessage.MAX_EJECTION_ENTRIES));
        List<Integer> unreachableCodes =
                rotatingWindow(
                        unreachableEndpoints.stream().map(LoadReportBuilder::endpointCode).toList(),
                        scaleToMaxBytes(LoadGossipMessage.MAX_UNREACHABLE_CODES));
        int maxInFlightEntries =
                LoadGossipMessage.maxInFlightEntries(
                        maxBytes, ejections.size(), unreachableCodes.size());
        builtCount++;
        return new LoadGossipMessage(
                zone,
                (int) Math.round(requestsPerSecond),
                inFlightEntries(listedEndpoints, maxInFlightEntries),
                ejections,
                unreachableCodes);
    }

    // Scales a limit for messages of the full size to the size that this balancer may send.
    private int scaleToMaxBytes(int maxEntries) {
        return maxEntries * maxBytes / LoadGossipMessage.MAX_BYTES;
    }

    private static List<InFlightEntry> inFlightEntries(
            List<EndpointState> endpoints, int maxEntries) {
        return endpoints.stream()
                .filter(endpoint -> endpoint.inFlight() > 0)
                .sorted(Comparator.comparingInt(endpoint -> -endpoint.inFlight()))
                .limit(maxEntries)
                .map(endpoint -> new InFlightEntry(endpointCode(endpoint), endpoint.inFlight()))
                .toList();
    }

    private static Stream<EjectionEntry> ejectionEntries(EndpointState endpoint, long now) {
        int classCount = Math.min(MAX_REPORTED_CLASSES, endpoint.classCount());
        return IntStream.range(0, classCount)
                .filter(classIndex -> ejectedUntilMicros(endpoint, classIndex) > now)
                .mapToObj(
                        classIndex ->
                                new EjectionEntry(
                                        endpointCode(endpoint),
                                        classIndex,
                                        ejectedUntilMicros(endpoint, classIndex) - now));
    }

    // Received ejections are not forwarded: a report contains only its sender's own observations.
    private static long ejectedUntilMicros(EndpointState endpoint, int classIndex) {
        return endpoint.classHealth(classIndex).locallyEjectedUntilMicros();
    }

    private <T> List<T> rotatingWindow(List<T> items, int maxItems) {
        boolean needsRotation = !isBroadcast && items.size() > maxItems;
        int start = needsRotation ? Math.floorMod(builtCount * maxItems, items.size()) : 0;
        return IntStream.range(0, Math.min(maxItems, items.size()))
                .mapToObj(i -> items.get((start + i) % items.size()))
                .toList();
    }

    private static int endpointCode(EndpointState endpoint) {
        return LoadGossipMessage.endpointCode(endpoint.idHash());
    }
}

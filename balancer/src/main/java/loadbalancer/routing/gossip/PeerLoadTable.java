package loadbalancer.routing.gossip;

import java.util.HashMap;
import java.util.Map;

/**
 * Stores the last load report of each peer until it expires, and the sum of the peers' attempts in
 * flight by endpoint code. Confined to the thread of its {@link LoadGossip}.
 */
final class PeerLoadTable {
    private static final long EXPIRY_MICROS = 1_500_000;

    // Indexed by endpoint code. Each value is the sum over the reports in reportByPeer.
    private final int[] inFlightByCode = new int[LoadGossipMessage.ENDPOINT_CODE_COUNT];
    private final Map<Integer, ReceivedReport> reportByPeer = new HashMap<>();

    private record ReceivedReport(LoadGossipMessage message, long receivedAtMicros) {
        boolean isExpired(long now) {
            return now - receivedAtMicros > EXPIRY_MICROS;
        }
    }

    /** Stores a report of {@code peer}, received at {@code now}, and replaces the previous one. */
    void put(int peer, LoadGossipMessage message, long now) {
        ReceivedReport previous = reportByPeer.put(peer, new ReceivedReport(message, now));
        if (previous != null) {
            addInFlight(previous.message, -1);
        }
        addInFlight(message, 1);
    }

    /** Removes the reports that were received more than the expiry time before {@code now}. */
    void expire(long now) {
        reportByPeer
                .values()
                .removeIf(
                        report -> {
                            if (!report.isExpired(now)) {
                                return false;
                            }
                            addInFlight(report.message, -1);
                            return true;
                        });
    }

    private void addInFlight(LoadGossipMessage message, int sign) {
        for (LoadGossipMessage.InFlightEntry entry : message.inFlightEntries()) {
            inFlightByCode[entry.endpointCode()] += sign * entry.inFlight();
        }
    }

    /** Returns the number of peers with a report. */
    int peerCount() {
        return reportByPeer.size();
    }

    /** Returns whether there is a report of the balancer {@code peer}. */
    boolean contains(int peer) {
        return reportByPeer.containsKey(peer);
    }

    /** Returns the requests per second that {@code peer} receives, or 0 without a report. */
    int requestsPerSecond(int peer) {
        ReceivedReport report = reportByPeer.get(peer);
        return report == null ? 0 : report.message.requestsPerSecond();
    }

    /** Returns the requests per second that all peers with a report receive together. */
    int totalRequestsPerSecond() {
        return reportByPeer.values().stream()
                .mapToInt(report -> report.message.requestsPerSecond())
                .sum();
    }

    /**
     * Returns the attempts of all peers with a report in flight at endpoints with the given code.
     */
    int inFlight(int endpointCode) {
        return inFlightByCode[endpointCode];
    }
}

package loadbalancer.routing.gossip;

import java.util.HashMap;
import java.util.Map;

/**
 * The last load report of each peer, until it expires, with the sum of their attempts in flight by
 * endpoint. Confined to the thread of its {@link LoadGossip}.
 */
final class PeerLoadTable {
    private static final long EXPIRY_MICROS = 1_500_000;

    // By endpoint code; always the sum over reportByPeer
    private final int[] inFlightByCode = new int[LoadGossipMessage.ENDPOINT_CODE_COUNT];
    private final Map<Integer, ReceivedReport> reportByPeer = new HashMap<>();

    private record ReceivedReport(LoadGossipMessage message, long receivedAtMicros) {
        boolean isExpired(long now) {
            return now - receivedAtMicros > EXPIRY_MICROS;
        }
    }

    /** Replaces the report of {@code peer}. */
    void put(int peer, LoadGossipMessage message, long now) {
        ReceivedReport previous = reportByPeer.put(peer, new ReceivedReport(message, now));
        if (previous != null) {
            addInFlight(previous.message, -1);
        }
        addInFlight(message, 1);
    }

    /** Removes the reports of the peers that have not been heard for the expiry time. */
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

    /** Number of peers with a report. */
    int peerCount() {
        return reportByPeer.size();
    }

    /** Whether there is a report of the balancer {@code peer}. */
    boolean contains(int peer) {
        return reportByPeer.containsKey(peer);
    }

    /** Requests a second that {@code peer} receives; 0 without a report. */
    int requestsPerSecond(int peer) {
        ReceivedReport report = reportByPeer.get(peer);
        return report == null ? 0 : report.message.requestsPerSecond();
    }

    /** Requests a second that all peers with a report receive. */
    int totalRequestsPerSecond() {
        return reportByPeer.values().stream()
                .mapToInt(report -> report.message.requestsPerSecond())
                .sum();
    }

    /** Attempts of all peers with a report in flight at the endpoints with that code. */
    int inFlight(int endpointCode) {
        return inFlightByCode[endpointCode];
    }
}

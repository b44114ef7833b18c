package loadbalancer.recovery;

import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import loadbalancer.config.EndpointList;
import loadbalancer.routing.api.EndpointListKind;
import loadbalancer.routing.api.EndpointStatus;

/**
 * Merges the lists from discovery into the endpoint list that snapshots contain. Confined to the
 * event loop.
 */
final class PersistedEndpoints {
    private final Map<String, EndpointList.Entry> entriesById = new LinkedHashMap<>();
    private long revision;

    /** Merges a delta, or replaces all entries with those of a complete list. */
    void apply(EndpointListKind kind, EndpointList endpointList) {
        if (kind != EndpointListKind.DELTA) {
            entriesById.clear();
        }
        for (EndpointList.Entry entry : endpointList.entries()) {
            String id = entry.endpoint().id();
            if (entry.endpoint().status() == EndpointStatus.REMOVED) {
                entriesById.remove(id);
            } else {
                entriesById.put(id, entry);
            }
        }
        revision = endpointList.revision();
    }

    boolean isEmpty() {
        return entriesById.isEmpty();
    }

    /** Returns all entries as a complete list, an immutable copy that the disk thread can read. */
    EndpointList toEndpointList() {
        return new EndpointList(revision, true, List.copyOf(entriesById.values()));
    }
}

package loadbalancer.recovery;

import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import loadbalancer.config.EndpointList;
import loadbalancer.routing.api.EndpointListKind;
import loadbalancer.routing.api.EndpointStatus;

/**
 * The endpoint list as merged from discovery's lists, for snapshots. Confined to the event loop.
 */
final class PersistedEndpoints {
    private final Map<String, EndpointList.Entry> entriesById = new LinkedHashMap<>();
    private long revision;

    /** Merges a delta, or replaces all entries by a complete list. */
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

    /** An immutable copy as a complete list, for the disk thread. */
    EndpointList toEndpointList() {
        return new EndpointList(revision, true, List.copyOf(entriesById.values()));
    }
}

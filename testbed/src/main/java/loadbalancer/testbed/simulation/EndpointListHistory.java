package loadbalancer.testbed.simulation;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import loadbalancer.routing.api.Endpoint;
import loadbalancer.routing.api.EndpointStatus;

/**
 * The endpoint list of discovery and all changes of it since the start, stored once for the fleet.
 * Agents learn of changes in one order, so that an agent's list follows from the number of changes
 * that it knows. Single-threaded.
 */
final class EndpointListHistory {
    private final List<Endpoint> changes = new ArrayList<>();
    private final List<Endpoint> initial;
    // The list returned last, and the number of changes in it
    private List<Endpoint> cachedList;
    private int cachedChangeCount;

    EndpointListHistory(List<Endpoint> initial) {
        this.initial = List.copyOf(initial);
        this.cachedList = this.initial;
    }

    void addChange(Endpoint change) {
        changes.add(change);
    }

    /** The change of that index, from 0. */
    Endpoint change(int index) {
        return changes.get(index);
    }

    /** The list after that many changes; the same instance for consecutive calls. */
    List<Endpoint> listAfter(int changeCount) {
        if (changeCount != cachedChangeCount) {
            Map<String, Endpoint> endpointsById = new LinkedHashMap<>();
            initial.forEach(endpoint -> endpointsById.put(endpoint.id(), endpoint));
            for (Endpoint change : changes.subList(0, changeCount)) {
                if (change.status() == EndpointStatus.REMOVED) {
                    endpointsById.remove(change.id());
                } else {
                    endpointsById.put(change.id(), change);
                }
            }
            cachedList = List.copyOf(endpointsById.values());
            cachedChangeCount = changeCount;
        }
        return cachedList;
    }
}

package loadbalancer.testbed.simulation;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import loadbalancer.routing.api.Endpoint;
import loadbalancer.routing.api.EndpointStatus;

/**
 * Discovery's list and all that has changed of it since the start, once for the whole fleet. Agents
 * hear changes in one order, so that what one of them has follows from how many it has heard.
 */
final class EndpointListHistory {
    private final List<Endpoint> changes = new ArrayList<>();
    private final List<Endpoint> initial;
    // The list last asked for
    private List<Endpoint> cachedList;
    // Changes in it
    private int cachedChangeCount;

    EndpointListHistory(List<Endpoint> initial) {
        this.initial = List.copyOf(initial);
        this.cachedList = this.initial;
    }

    void addChange(Endpoint change) {
        changes.add(change);
    }

    /** The change of that number, from 0. */
    Endpoint change(int index) {
        return changes.get(index);
    }

    /** The list after so many changes: one and the same for all who ask. */
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

package loadbalancer.testbed.simulation;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import loadbalancer.routing.api.Endpoint;
import loadbalancer.routing.api.EndpointStatus;

/**
 * Stores the initial endpoint list of discovery and all changes since then, once for the whole
 * fleet. All discovery agents receive the changes in the same order, so the number of changes that
 * an agent has delivered determines the list of its balancer. Used only by the thread that runs the
 * simulation.
 */
final class EndpointListHistory {
    private final List<Endpoint> changes = new ArrayList<>();
    private final List<Endpoint> initial;
    // The list that was returned last, after the first cachedChangeCount changes.
    private List<Endpoint> cachedList;
    private int cachedChangeCount;

    EndpointListHistory(List<Endpoint> initial) {
        this.initial = List.copyOf(initial);
        this.cachedList = this.initial;
    }

    void addChange(Endpoint change) {
        changes.add(change);
    }

    /** Returns the change with an index, from 0. */
    Endpoint change(int index) {
        return changes.get(index);
    }

    /**
     * Returns the list after the first {@code changeCount} changes. Consecutive calls with the same
     * count return the same instance.
     */
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

package loadbalancer.routing.endpoint;

import loadbalancer.routing.api.Endpoint;
import loadbalancer.util.Hashing;

/**
 * Data that the registry and the hash ring store for each endpoint: its list position, its number
 * of ring points and its visit marks. It is a superclass of {@link EndpointState} and not a
 * separate object to save memory, since a fleet has thousands of endpoints. Confined to the thread
 * of the routing policy.
 */
abstract class EndpointListEntry {
    private final long listPosition;
    // Null while the endpoint is not listed.
    private Endpoint listedDescriptor;
    private boolean isActive;
    private int lastListGeneration;
    private int ringPointCount;
    private int subsetVisitGeneration;

    EndpointListEntry(long listPosition) {
        this.listPosition = listPosition;
    }

    /** Returns the hash of the endpoint's id, from which its ring points are derived. */
    abstract long idHash();

    /** Returns the position in the order of listed endpoints. */
    long listPosition() {
        return listPosition;
    }

    boolean isListed() {
        return listedDescriptor != null;
    }

    /** Returns the descriptor last applied to totals and ring, or null while not listed. */
    Endpoint listedDescriptor() {
        return listedDescriptor;
    }

    void setListedDescriptor(Endpoint newListedDescriptor) {
        listedDescriptor = newListedDescriptor;
    }

    /** Returns whether the endpoint list of this generation contained the endpoint. */
    boolean isInList(int listGeneration) {
        return lastListGeneration == listGeneration;
    }

    void markInList(int listGeneration) {
        lastListGeneration = listGeneration;
    }

    boolean isActive() {
        return isActive;
    }

    void setActive(boolean active) {
        isActive = active;
    }

    int ringPointCount() {
        return ringPointCount;
    }

    /** Increments the number of ring points; returns the point that is added. */
    long addRingPoint() {
        return Hashing.mix(idHash() + ringPointCount++);
    }

    /** Decrements the number of ring points; returns the point that was added last. */
    long removeRingPoint() {
        return Hashing.mix(idHash() + --ringPointCount);
    }

    /**
     * Marks the endpoint as visited by a traversal in subset order.
     *
     * @param generation number of the traversal
     * @return whether this traversal had not visited it before
     */
    boolean markSubsetVisited(int generation) {
        boolean isFirstVisit = subsetVisitGeneration != generation;
        subsetVisitGeneration = generation;
        return isFirstVisit;
    }

    int subsetVisitGeneration() {
        return subsetVisitGeneration;
    }
}

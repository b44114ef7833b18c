package loadbalancer.routing.endpoint;

import loadbalancer.routing.api.Endpoint;
import loadbalancer.util.Hashing;

/**
 * What the registry, the hash ring and their walks store with each endpoint: its place in the list,
 * its number of ring points and the marks of walks. A superclass of {@link EndpointState}, and not
 * an object of its own, since a fleet has thousands of them. Confined to the thread of the routing
 * policy.
 */
abstract class EndpointListEntry {
    private final long listPosition;
    // Null while the endpoint is not listed
    private Endpoint listedDescriptor;
    private boolean isActive;
    private int lastListGeneration;
    private int ringPointCount;
    private int subsetVisitGeneration;

    EndpointListEntry(long listPosition) {
        this.listPosition = listPosition;
    }

    /** Hash of the endpoint's id, from which its ring points follow. */
    abstract long idHash();

    /** Place in the order of listed endpoints. */
    long listPosition() {
        return listPosition;
    }

    boolean isListed() {
        return listedDescriptor != null;
    }

    /** The descriptor that totals and ring were last updated with; null while not listed. */
    Endpoint listedDescriptor() {
        return listedDescriptor;
    }

    void setListedDescriptor(Endpoint newListedDescriptor) {
        listedDescriptor = newListedDescriptor;
    }

    /** Whether the endpoint list of this generation named the endpoint. */
    boolean isNamedByList(int listGeneration) {
        return lastListGeneration == listGeneration;
    }

    void setNamedByList(int listGeneration) {
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

    /** Adds the endpoint's next point of the hash ring; returns the point. */
    long addRingPoint() {
        return Hashing.mix(idHash() + ringPointCount++);
    }

    /** Takes back the point that was added last; returns the point. */
    long removeRingPoint() {
        return Hashing.mix(idHash() + --ringPointCount);
    }

    /** Marks the endpoint as visited by a walk of the subset; false if it was already. */
    boolean markSubsetVisited(int generation) {
        boolean isFirstVisit = subsetVisitGeneration != generation;
        subsetVisitGeneration = generation;
        return isFirstVisit;
    }

    int subsetVisitGeneration() {
        return subsetVisitGeneration;
    }
}

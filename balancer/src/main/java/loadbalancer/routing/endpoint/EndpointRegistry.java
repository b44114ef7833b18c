package loadbalancer.routing.endpoint;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.function.Consumer;
import java.util.function.IntToDoubleFunction;
import java.util.function.IntToLongFunction;
import java.util.function.Predicate;
import java.util.function.ToDoubleFunction;
import loadbalancer.routing.api.Endpoint;
import loadbalancer.routing.api.EndpointStatus;
import loadbalancer.routing.api.PolicySnapshot.EndpointSnapshot;
import loadbalancer.routing.api.RoutingSettings;

/**
 * Holds the endpoints of the endpoint list and the structures derived from it: the hash ring, the
 * totals and the list order. All of these are updated in place, so the cost of an update depends on
 * the number of changed entries and not on the length of the list. Confined to the thread of the
 * routing policy.
 *
 * <p>An endpoint is listed while its status is {@link EndpointStatus#UP}. An endpoint that is
 * removed while it has attempts in flight can still be looked up by its id until the first update
 * after these attempts have ended.
 */
public final class EndpointRegistry {
    /** Maximum number of endpoints; the memory of the process is sized for it. */
    static final int MAX_ENDPOINTS = 20_000;

    // Above this number of added or removed endpoints, sorting the list is cheaper than inserting
    // each endpoint into it.
    private static final int MAX_INCREMENTAL_UPDATES = 64;
    private static final double MIN_TOTAL_WEIGHT = 1e-9;

    private final SplittableRandom random;
    private final int classCount;
    private final Map<String, EndpointState> endpointsById = new HashMap<>();
    private final Set<EndpointState> removedWithInFlight = new LinkedHashSet<>();
    private final List<EndpointState> listedEndpoints = new ArrayList<>();
    private final ActiveEndpoints activeEndpoints = new ActiveEndpoints();
    private final EndpointTotals totals = new EndpointTotals();
    private final HashRing ring;
    private final RingPointAllocator ringPoints;
    private double meanWeight = 1;
    private int listGeneration;
    // Number of endpoints that count towards the maximum. During an update, it includes only the
    // entries processed so far.
    private int endpointCount;
    private long nextListPosition;

    /**
     * Creates an empty registry.
     *
     * @param random source of the tie breakers and of the initial slow start budgets
     */
    public EndpointRegistry(RoutingSettings settings, SplittableRandom random) {
        this.random = random;
        this.classCount = settings.requestClasses().size();
        this.ring = new HashRing(subsetStart(settings));
        this.ringPoints = new RingPointAllocator(ring);
    }

    // Returns the ring point at which this balancer's subset starts. The starting points of all
    // balancers are spaced evenly, ordered by rank.
    private static long subsetStart(RoutingSettings settings) {
        double ringFraction = (settings.rank() + 0.5) / settings.balancerCount();
        return (long) (ringFraction * 0x1p64 - 0x1p63);
    }

    /**
     * Applies an endpoint list.
     *
     * @param isDelta whether {@code endpoints} contains changes only; endpoints that it does not
     *     contain are then kept as they are
     * @param log receives a line if endpoints are left out because the list is too long
     */
    public void update(List<Endpoint> endpoints, boolean isDelta, long now, Consumer<String> log) {
        listGeneration++;
        endpointCount = isDelta ? endpointsById.size() : 0;
        List<EndpointState> changed = new ArrayList<>();
        int rejectedCount = 0;
        for (Endpoint endpoint : endpoints) {
            rejectedCount += upsert(endpoint, isDelta, now, changed) ? 0 : 1;
        }
        if (!isDelta) {
            removeMissing(changed);
        }
        List<EndpointState> addedOrRemoved = new ArrayList<>();
        for (EndpointState endpoint : changed) {
            updateAggregates(endpoint, addedOrRemoved);
        }
        updateListOrder(addedOrRemoved);
        meanWeight = totals.meanWeight();
        ringPoints.updateMeanWeight(meanWeight);
        changed.forEach(ringPoints::updatePoints);
        removedWithInFlight.removeIf(this::releaseRemoved);
        if (rejectedCount > 0) {
            log.accept(
                    "endpoint list too long: unused="
                            + rejectedCount
                            + " max_endpoints="
                            + MAX_ENDPOINTS);
        }
    }

    // Adds or updates one endpoint. Returns false if it is left out because there are too many.
    private boolean upsert(
            Endpoint endpoint, boolean isDelta, long now, List<EndpointState> changed) {
        EndpointState known = endpointsById.get(endpoint.id());
        boolean isCounted = known != null && (isDelta || known.isInList(listGeneration));
        if (!isCounted) {
            if (endpointCount >= MAX_ENDPOINTS) {
                return false;
            }
            endpointCount++;
        }
        EndpointState current = known;
        if (known == null) {
            current = add(endpoint, nextListPosition++, now);
            changed.add(current);
        } else if (isRestarted(known, endpoint)) {
            current = add(endpoint, known.listPosition(), now);
            // The old endpoint is removed before the new one is added, since both have the same
            // list position.
            markRemoved(known, changed);
            changed.add(current);
        } else if (!known.descriptor().equals(endpoint)) {
            known.updateDescriptor(endpoint);
            changed.add(known);
        }
        current.markInList(listGeneration);
        return true;
    }

    private static boolean isRestarted(EndpointState known, Endpoint endpoint) {
        return known.descriptor().startedAtMicros() != endpoint.startedAtMicros()
                && endpoint.startedAtMicros() > 0;
    }

    private EndpointState add(Endpoint endpoint, long listPosition, long now) {
        int tieBreaker = random.nextInt();
        double initialSlowStartTokens = random.nextDouble();
        EndpointState added =
                new EndpointState(endpoint, tieBreaker, classCount, activeEndpoints, listPosition);
        added.start(initialSlowStartTokens, now);
        endpointsById.put(endpoint.id(), added);
        return added;
    }

    private void removeMissing(List<EndpointState> changed) {
        for (EndpointState endpoint : endpointsById.values()) {
            if (!endpoint.isInList(listGeneration) && !isRemoved(endpoint)) {
                markRemoved(endpoint, changed);
            }
        }
    }

    private static void markRemoved(EndpointState endpoint, List<EndpointState> changed) {
        endpoint.updateDescriptor(endpoint.descriptor().withStatus(EndpointStatus.REMOVED));
        changed.add(endpoint);
    }

    private static boolean isRemoved(EndpointState endpoint) {
        return endpoint.descriptor().status() == EndpointStatus.REMOVED;
    }

    // Updates totals, ring and active endpoints to match the endpoint's current descriptor.
    @SuppressWarnings("ReferenceEquality")
    private void updateAggregates(EndpointState endpoint, List<EndpointState> addedOrRemoved) {
        Endpoint descriptor = endpoint.descriptor();
        Endpoint current = descriptor.status() == EndpointStatus.UP ? descriptor : null;
        Endpoint previous = endpoint.listedDescriptor();
        if (isRemoved(endpoint)) {
            removedWithInFlight.add(endpoint);
        }
        // Compares by identity, since a descriptor replaced by an equal one counts as a change.
        if (current == previous) {
            return;
        }
        if (previous != null) {
            totals.remove(previous);
            ringPoints.remove(endpoint, previous.weight());
        }
        if (current != null) {
            totals.add(current);
            ringPoints.add(endpoint, current.weight());
        } else {
            activeEndpoints.remove(endpoint);
        }
        endpoint.setListedDescriptor(current);
        endpoint.markActive();
        if (current == null || previous == null) {
            addedOrRemoved.add(endpoint);
        }
    }

    private void updateListOrder(List<EndpointState> addedOrRemoved) {
        if (addedOrRemoved.size() > MAX_INCREMENTAL_UPDATES) {
            listedEndpoints.removeIf(endpoint -> !endpoint.isListed());
            addedOrRemoved.stream().filter(EndpointState::isListed).forEach(listedEndpoints::add);
            listedEndpoints.sort(ListOrder.COMPARATOR);
            return;
        }
        for (EndpointState endpoint : addedOrRemoved) {
            int index = ListOrder.indexOf(listedEndpoints, endpoint);
            if (endpoint.isListed()) {
                listedEndpoints.add(index, endpoint);
            } else {
                listedEndpoints.remove(index);
            }
        }
    }

    // Returns true if the endpoint no longer has to be kept as removed: it is listed again, it was
    // replaced, or its last attempt has ended. In the last case, this also deletes it from the map.
    private boolean releaseRemoved(EndpointState endpoint) {
        String id = endpoint.descriptor().id();
        if (!isRemoved(endpoint) || endpointsById.get(id) != endpoint) {
            return true;
        }
        return endpoint.inFlight() == 0 && endpointsById.remove(id, endpoint);
    }

    /** Returns the endpoint with the given id, or null if there is none. */
    public EndpointState get(String id) {
        return endpointsById.get(id);
    }

    /** Returns the listed endpoints in list order; the caller must not modify the list. */
    public List<EndpointState> listedEndpoints() {
        return listedEndpoints;
    }

    /**
     * Returns, in list order, the listed endpoints that may not be in the steady state because they
     * are warming up, have recent attempts, are ejected or are unreachable. The caller must not
     * modify the list.
     */
    public List<EndpointState> activeEndpoints() {
        return activeEndpoints.endpoints();
    }

    /** Removes the active endpoints that are steady and warm, and returns the remaining ones. */
    public List<EndpointState> removeSteadyEndpoints(Predicate<EndpointState> isWarm, long now) {
        activeEndpoints.removeSteady(isWarm, now);
        return activeEndpoints.endpoints();
    }

    /** Returns the hash ring of the listed endpoints. */
    public HashRing ring() {
        return ring;
    }

    /** Returns the mean weight of the listed endpoints, or 1 if there are none. */
    public double meanWeight() {
        return meanWeight;
    }

    /**
     * Returns the fraction of endpoints with a fast machine type, from 0 to 1; the parameter p of
     * the JSQ-DAS paper.
     */
    public double fastFraction() {
        return totals.fastFraction();
    }

    /** Returns the total weight of the warm listed endpoints; inactive endpoints are warm. */
    public double warmWeight(Predicate<EndpointState> isWarm) {
        double weight = totals.weight();
        for (EndpointState endpoint : activeEndpoints.endpoints()) {
            weight -= isWarm.test(endpoint) ? 0 : endpoint.descriptor().weight();
        }
        return weight;
    }

    /** Returns the decayed successes of the warm listed endpoints; inactive endpoints have none. */
    public double warmSuccesses(Predicate<EndpointState> isWarm) {
        double successes = 0;
        for (EndpointState endpoint : activeEndpoints.endpoints()) {
            successes += isWarm.test(endpoint) ? endpoint.decayedSuccesses() : 0;
        }
        return successes;
    }

    /**
     * Returns the mean of a value over the listed endpoints, weighted by endpoint weight.
     *
     * @param steadyValueOfZone gives the value of the steady endpoints of a zone
     * @param activeValue gives the value of an active endpoint
     */
    public double weightedMean(
            IntToDoubleFunction steadyValueOfZone, ToDoubleFunction<EndpointState> activeValue) {
        double sum = totals.weightedSum(steadyValueOfZone);
        for (EndpointState endpoint : activeEndpoints.endpoints()) {
            double steadyValue = steadyValueOfZone.applyAsDouble(endpoint.descriptor().zone());
            double difference = activeValue.applyAsDouble(endpoint) - steadyValue;
            sum += difference * endpoint.descriptor().weight();
        }
        return sum / Math.max(MIN_TOTAL_WEIGHT, listedEndpoints.size() * meanWeight);
    }

    /**
     * Returns the tally of each zone, indexed by zone number.
     *
     * @param isUnresponsive tests whether an endpoint does not respond
     * @param evidenceSinceMicros gives, for a zone, the earliest time in µs at which a success
     *     counts as evidence that an endpoint responds
     */
    public List<ZoneTally> zoneTallies(
            Predicate<EndpointState> isUnresponsive, IntToLongFunction evidenceSinceMicros) {
        return ZoneTallies.of(
                totals, activeEndpoints.endpoints(), isUnresponsive, evidenceSinceMicros);
    }

    /** Divides the decayed counts of all endpoints; called when the event weight is reset. */
    public void rescale(double scale) {
        for (EndpointState endpoint : endpointsById.values()) {
            endpoint.rescale(scale);
        }
    }

    /**
     * Returns a snapshot of each listed endpoint.
     *
     * @param scale current weight of one event; counts are stored as if it were 1
     */
    public List<EndpointSnapshot> snapshot(double scale, long now) {
        return listedEndpoints.stream()
                .map(endpoint -> EndpointSnapshots.capture(endpoint, scale, now))
                .toList();
    }

    /**
     * Restores the state of the endpoints that are known and still run the process of the snapshot.
     *
     * @param scale current weight of one event, by which the stored counts are multiplied
     * @param ageMicros age of the snapshots in µs
     */
    public void restore(List<EndpointSnapshot> snapshots, double scale, long ageMicros, long now) {
        for (EndpointSnapshot snapshot : snapshots) {
            EndpointState endpoint = endpointsById.get(snapshot.id());
            if (endpoint != null && EndpointSnapshots.isOfSameProcess(endpoint, snapshot)) {
                EndpointSnapshots.restore(endpoint, snapshot, scale, ageMicros, now);
            }
        }
    }
}

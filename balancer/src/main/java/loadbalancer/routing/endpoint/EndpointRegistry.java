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
 * The endpoints that discovery has named, and what follows from the list alone: the hash ring, the
 * totals and the order. An update costs by what it changes, not by the length of the list: totals,
 * ring and order are updated in place. Confined to the thread of the routing policy.
 *
 * <p>An endpoint is listed while its status is {@link EndpointStatus#UP}. One that is removed with
 * attempts in flight stays known by its id until an update after they have ended.
 */
public final class EndpointRegistry {
    /** Most endpoints that are held; the memory of the process is sized for them. */
    static final int MAX_ENDPOINTS = 20_000;

    // With more endpoints added or removed at once, sorting is cheaper than inserting each
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
    // Endpoints that count towards the maximum, during an update those read so far
    private int endpointCount;
    private long nextListPosition;

    /**
     * An empty registry.
     *
     * @param random source of tie breakers and of the initial budgets of slow start
     */
    public EndpointRegistry(RoutingSettings settings, SplittableRandom random) {
        this.random = random;
        this.classCount = settings.requestClasses().size();
        this.ring = new HashRing(subsetStart(settings));
        this.ringPoints = new RingPointAllocator(ring);
    }

    // Balancers are spaced evenly on the ring, by their rank.
    private static long subsetStart(RoutingSettings settings) {
        double ringFraction = (settings.rank() + 0.5) / settings.balancerCount();
        return (long) (ringFraction * 0x1p64 - 0x1p63);
    }

    // ---------------------------------------------------------------- updates of the list

    /**
     * Takes in an endpoint list.
     *
     * @param isDelta whether {@code endpoints} are changes only, and all others stay as they are
     * @param log accepts a line if endpoints are left out because there are too many
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
            removeUnnamed(changed);
        }
        List<EndpointState> addedOrRemoved = new ArrayList<>();
        for (EndpointState endpoint : changed) {
            updateAggregates(endpoint, addedOrRemoved);
        }
        updateListOrder(addedOrRemoved);
        meanWeight = totals.meanWeight();
        ringPoints.updateMeanWeight(meanWeight);
        changed.forEach(ringPoints::updatePoints);
        removedWithInFlight.removeIf(this::isReplacedOrForgotten);
        if (rejectedCount > 0) {
            log.accept(
                    "endpoint list too long: unused="
                            + rejectedCount
                            + " max_endpoints="
                            + MAX_ENDPOINTS);
        }
    }

    // False where the endpoint is left out because there are too many.
    private boolean upsert(
            Endpoint endpoint, boolean isDelta, long now, List<EndpointState> changed) {
        EndpointState known = endpointsById.get(endpoint.id());
        boolean isCounted = known != null && (isDelta || known.isNamedByList(listGeneration));
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
            // Before the new one: both have the same place in the order
            markRemoved(known, changed);
            changed.add(current);
        } else if (!known.descriptor().equals(endpoint)) {
            known.updateDescriptor(endpoint);
            changed.add(known);
        }
        current.setNamedByList(listGeneration);
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

    private void removeUnnamed(List<EndpointState> changed) {
        for (EndpointState endpoint : endpointsById.values()) {
            if (!endpoint.isNamedByList(listGeneration) && !isRemoved(endpoint)) {
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

    // Brings totals, ring and active endpoints up to date with the endpoint's descriptor.
    @SuppressWarnings("ReferenceEquality")
    private void updateAggregates(EndpointState endpoint, List<EndpointState> addedOrRemoved) {
        Endpoint descriptor = endpoint.descriptor();
        Endpoint current = descriptor.status() == EndpointStatus.UP ? descriptor : null;
        Endpoint previous = endpoint.listedDescriptor();
        if (isRemoved(endpoint)) {
            removedWithInFlight.add(endpoint);
        }
        // By identity: a descriptor that was replaced by an equal one still counts as a change
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

    // Whether an endpoint need not be held as removed: it is listed again, it was replaced, or its
    // last attempt has ended; then it is forgotten here.
    private boolean isReplacedOrForgotten(EndpointState endpoint) {
        String id = endpoint.descriptor().id();
        if (!isRemoved(endpoint) || endpointsById.get(id) != endpoint) {
            return true;
        }
        return endpoint.inFlight() == 0 && endpointsById.remove(id, endpoint);
    }

    // ---------------------------------------------------------------- endpoints

    /** The endpoint of an id, or null if none is known. */
    public EndpointState get(String id) {
        return endpointsById.get(id);
    }

    /** The listed endpoints in list order; not to be modified by the caller. */
    public List<EndpointState> listedEndpoints() {
        return listedEndpoints;
    }

    /**
     * The listed endpoints that may not be in the steady state (warming up, with recent attempts,
     * ejected, unreachable), in list order; not to be modified by the caller.
     */
    public List<EndpointState> activeEndpoints() {
        return activeEndpoints.endpoints();
    }

    /** Removes the steady and warm ones of the active endpoints; returns those left. */
    public List<EndpointState> removeSteadyEndpoints(Predicate<EndpointState> isWarm, long now) {
        activeEndpoints.removeSteady(isWarm, now);
        return activeEndpoints.endpoints();
    }

    /** The ring of the listed endpoints. */
    public HashRing ring() {
        return ring;
    }

    // ---------------------------------------------------------------- totals of the fleet

    /** Mean weight of the listed endpoints; 1 without any. */
    public double meanWeight() {
        return meanWeight;
    }

    /** The paper's p: share of endpoints that are of the fast machine types, from 0 to 1. */
    public double fastFraction() {
        return totals.fastFraction();
    }

    /** Total weight of the warm listed endpoints; those that are not active are warm. */
    public double warmWeight(Predicate<EndpointState> isWarm) {
        double weight = totals.weight();
        for (EndpointState endpoint : activeEndpoints.endpoints()) {
            weight -= isWarm.test(endpoint) ? 0 : endpoint.descriptor().weight();
        }
        return weight;
    }

    /** Decayed successes of the warm listed endpoints; those that are not active have had none. */
    public double warmSuccesses(Predicate<EndpointState> isWarm) {
        double successes = 0;
        for (EndpointState endpoint : activeEndpoints.endpoints()) {
            successes += isWarm.test(endpoint) ? endpoint.decayedSuccesses() : 0;
        }
        return successes;
    }

    /**
     * Mean of a value over the listed endpoints, by their weights.
     *
     * @param steadyValueOfZone value of the steady endpoints of a zone
     * @param activeValue value of an active endpoint
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
     * What is known of each zone that endpoints name, by its number.
     *
     * @param isUnresponsive whether nothing answers at an endpoint
     * @param evidenceSinceMicros for a zone, since when a success shows that an endpoint responds
     */
    public List<ZoneTally> zoneTallies(
            Predicate<EndpointState> isUnresponsive, IntToLongFunction evidenceSinceMicros) {
        return ZoneTallies.of(
                totals, activeEndpoints.endpoints(), isUnresponsive, evidenceSinceMicros);
    }

    /** Divides the decayed counts of all endpoints, when the weight of one event is reset. */
    public void rescale(double scale) {
        for (EndpointState endpoint : endpointsById.values()) {
            endpoint.rescale(scale);
        }
    }

    // ---------------------------------------------------------------- snapshots

    /**
     * What is known of each listed endpoint.
     *
     * @param scale weight of one event now; counts are stored as if it were 1
     */
    public List<EndpointSnapshot> snapshot(double scale, long now) {
        return listedEndpoints.stream()
                .map(endpoint -> EndpointSnapshots.capture(endpoint, scale, now))
                .toList();
    }

    /**
     * Restores what was known of endpoints that are known now and are still the same processes.
     *
     * @param scale weight by which the snapshots' counts now count
     * @param ageMicros age of the snapshots
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

package loadbalancer.routing.endpoint;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.Collections;
import java.util.Comparator;
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
import java.util.stream.IntStream;
import loadbalancer.routing.api.Endpoint;
import loadbalancer.routing.api.EndpointStatus;
import loadbalancer.routing.api.PolicySnapshot;
import loadbalancer.routing.api.RoutingSettings;

/**
 * The servers that discovery has named, and what follows from the list alone: their ring, mean
 * weight and kinds. A change costs by what it changes: sums, ring and order are mended, not made
 * anew.
 */
public final class EndpointRegistry {
    /** Servers that it holds at most: more would not fit beside the requests. */
    static final int MAX_ENDPOINTS = 20_000;

    private static final Comparator<EndpointState> BY_LIST_POSITION =
            Comparator.comparingLong(endpoint -> endpoint.listPosition);
    // That come or go at once: then sorted
    private static final int MAX_INCREMENTAL_UPDATES = 64;

    private final SplittableRandom random;
    private final int classCount;
    private final Map<String, EndpointState> endpointsById = new HashMap<>();
    // Gone with work: held until that has ended
    private final Set<EndpointState> removedWithInFlight = new LinkedHashSet<>();
    // Of the listed servers, more points by weight
    private final HashRing ring;
    private final RingPointAllocator ringPoints;
    // Of the listed servers
    private final EndpointTotals totals = new EndpointTotals();
    private final ActiveEndpoints activeEndpoints = new ActiveEndpoints();
    // Up, in the order in which they were first named
    private final List<EndpointState> listedEndpoints = new ArrayList<>();
    // Of listed servers
    private double meanWeight = 1;
    private int listGeneration;
    // Servers, as far as the list has been read
    private int endpointCount;
    private long nextListPosition;

    public EndpointRegistry(RoutingSettings settings, SplittableRandom random) {
        this.random = random;
        this.classCount = settings.requestClasses().size();
        this.ring =
                new HashRing(
                        (long)
                                ((settings.rank() + 0.5) / settings.balancerCount() * 0x1p64
                                        - 0x1p63));
        this.ringPoints = new RingPointAllocator(ring);
    }

    /** Where in the order of the list a server is, or would have to be. */
    static int insertionIndex(List<EndpointState> ordered, EndpointState endpoint) {
        int lastIndex = ordered.size() - 1;
        if (lastIndex < 0 || ordered.get(lastIndex).listPosition < endpoint.listPosition) {
            return lastIndex + 1;
        }
        int index = Collections.binarySearch(ordered, endpoint, BY_LIST_POSITION);
        return index < 0 ? -index - 1 : index;
    }

    /**
     * Takes a list in: all of it, or changes ({@code isDelta}); {@code log} hears of a lack of
     * room.
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
            for (EndpointState endpoint : endpointsById.values()) {
                if (endpoint.lastListGeneration != listGeneration
                        && endpoint.descriptor.status() != EndpointStatus.REMOVED) {
                    endpoint.descriptor = endpoint.descriptor.withStatus(EndpointStatus.REMOVED);
                    changed.add(endpoint);
                }
            }
        }
        // Into the list, or out of it
        List<EndpointState> addedOrRemoved = new ArrayList<>();
        for (EndpointState endpoint : changed) {
            updateAggregates(endpoint, addedOrRemoved);
        }
        updateListOrder(addedOrRemoved);
        meanWeight = totals.meanWeight();
        ringPoints.updateMeanWeight(meanWeight);
        changed.forEach(ringPoints::updatePoints);
        removedWithInFlight.removeIf(
                endpoint ->
                        endpoint.descriptor.status() != EndpointStatus.REMOVED
                                || endpointsById.get(endpoint.descriptor.id()) != endpoint
                                || endpoint.inFlight == 0
                                        && endpointsById.remove(
                                                endpoint.descriptor.id(), endpoint));
        if (rejectedCount > 0) {
            log.accept(
                    "list: "
                            + rejectedCount
                            + " servers beyond the "
                            + MAX_ENDPOINTS
                            + " that it may hold are not used");
        }
    }

    // False where there is no room for it.
    private boolean upsert(
            Endpoint endpoint, boolean isDelta, long now, List<EndpointState> changed) {
        EndpointState state = endpointsById.get(endpoint.id());
        if (state == null || !isDelta && state.lastListGeneration != listGeneration) {
            if (endpointCount >= MAX_ENDPOINTS) {
                return false;
            }
            endpointCount++;
        }
        if (state == null
                || state.descriptor.startedAtMicros() != endpoint.startedAtMicros()
                        && endpoint.startedAtMicros() > 0) {
            EndpointState replaced = state;
            state = new EndpointState(endpoint, random.nextInt(), classCount, activeEndpoints);
            state.slowStartTokens = random.nextDouble();
            state.slowStartTokensAtMicros = now;
            state.lastSuccessAtMicros = now;
            state.listPosition = replaced == null ? nextListPosition++ : replaced.listPosition;
            endpointsById.put(endpoint.id(), state);
            if (replaced != null) {
                replaced.descriptor = replaced.descriptor.withStatus(EndpointStatus.REMOVED);
                // First: they have one place in the order
                changed.add(replaced);
            }
            changed.add(state);
        } else if (!state.descriptor.equals(endpoint)) {
            state.descriptor = endpoint;
            changed.add(state);
        }
        state.lastListGeneration = listGeneration;
        return true;
    }

    // Has the sums count a server as it is now.
    private void updateAggregates(EndpointState endpoint, List<EndpointState> addedOrRemoved) {
        Endpoint current =
                endpoint.descriptor.status() == EndpointStatus.UP ? endpoint.descriptor : null;
        Endpoint previous = endpoint.countedDescriptor;
        if (endpoint.descriptor.status() == EndpointStatus.REMOVED) {
            removedWithInFlight.add(endpoint);
        }
        if (current == previous) {
            return;
        }
        if (previous != null) {
            totals.update(previous, false);
            ringPoints.remove(endpoint, previous.weight());
        }
        if (current != null) {
            totals.update(current, true);
            ringPoints.add(endpoint, current.weight());
        }
        if (current == null) {
            activeEndpoints.remove(endpoint);
        }
        endpoint.countedDescriptor = current;
        endpoint.markActive();
        if (current == null || previous == null) {
            addedOrRemoved.add(endpoint);
        }
    }

    private void updateListOrder(List<EndpointState> addedOrRemoved) {
        if (addedOrRemoved.size() > MAX_INCREMENTAL_UPDATES) {
            listedEndpoints.removeIf(endpoint -> endpoint.countedDescriptor == null);
            addedOrRemoved.stream()
                    .filter(endpoint -> endpoint.countedDescriptor != null)
                    .forEach(listedEndpoints::add);
            listedEndpoints.sort(BY_LIST_POSITION);
            return;
        }
        for (EndpointState endpoint : addedOrRemoved) {
            int index = insertionIndex(listedEndpoints, endpoint);
            if (endpoint.countedDescriptor == null) {
                listedEndpoints.remove(index);
            } else {
                listedEndpoints.add(index, endpoint);
            }
        }
    }

    /** Those that are up; the caller leaves the list as it is. */
    public List<EndpointState> listedEndpoints() {
        return listedEndpoints;
    }

    /**
     * Those of them that may be out of the ordinary, in the same order: cold, sent to, at rest, cut
     * off.
     */
    public List<EndpointState> activeEndpoints() {
        return activeEndpoints.endpoints();
    }

    /** Drops those watched that are ordinary again; returns those left. */
    public List<EndpointState> removeSteadyEndpoints(Predicate<EndpointState> isWarm, long now) {
        activeEndpoints.removeSteady(isWarm, now);
        return activeEndpoints.endpoints();
    }

    /**
     * Of each zone that servers name, what is known of them: {@code isUnresponsive} tells who seems
     * gone, {@code evidenceSinceMicros} since when an answer counts.
     */
    public List<ZoneTally> zoneTallies(
            Predicate<EndpointState> isUnresponsive, IntToLongFunction evidenceSinceMicros) {
        int[][] countsByZone = new int[totals.zones()][2];
        for (EndpointState endpoint : activeEndpoints.endpoints()) {
            int zone = endpoint.descriptor.zone();
            if (zone >= 0) {
                boolean unresponsive = isUnresponsive.test(endpoint);
                countsByZone[zone][0] += unresponsive ? 1 : 0;
                countsByZone[zone][1] +=
                        !unresponsive
                                        && endpoint.decayedSuccesses > 0
                                        && endpoint.lastSuccessAtMicros
                                                >= evidenceSinceMicros.applyAsLong(zone)
                                ? 1
                                : 0;
            }
        }
        return IntStream.range(0, countsByZone.length)
                .mapToObj(
                        zone ->
                                new ZoneTally(
                                        totals.endpointsInZone(zone),
                                        countsByZone[zone][0],
                                        countsByZone[zone][1]))
                .toList();
    }

    /** µs until each class of an endpoint is tried again; 0 where it is used. */
    private static List<Long> classCooldowns(EndpointState endpoint, long now) {
        return Arrays.stream(endpoint.classHealth)
                .map(ejection -> Math.max(0, ejection.locallyEjectedUntilMicros() - now))
                .toList();
    }

    /**
     * What is known of each listed server; counts as if one more counted for 1, and not for {@code
     * scale}.
     */
    public List<PolicySnapshot.EndpointSnapshot> snapshot(double scale, long now) {
        return listedEndpoints.stream()
                .map(
                        endpoint ->
                                new PolicySnapshot.EndpointSnapshot(
                                        endpoint.descriptor.id(),
                                        endpoint.descriptor.startedAtMicros(),
                                        endpoint.accomplishment / scale,
                                        endpoint.decayedSuccesses / scale,
                                        endpoint.decayedFailures / scale,
                                        Math.max(0, endpoint.ejectedUntilMicros - now),
                                        endpoint.consecutiveEjections,
                                        endpoint.consecutiveConnectFailures,
                                        classCooldowns(endpoint, now)))
                .toList();
    }

    /**
     * Takes over what was known {@code ageMicros} µs ago of servers that are listed and the same
     * processes still: counts for {@code scale}, and of each rest what is left. A server is tried
     * at its end, as ever.
     */
    public void restore(
            List<PolicySnapshot.EndpointSnapshot> snapshots,
            double scale,
            long ageMicros,
            long now) {
        for (PolicySnapshot.EndpointSnapshot endpointSnapshot : snapshots) {
            EndpointState endpoint = endpointsById.get(endpointSnapshot.id());
            if (endpoint == null
                    || endpoint.descriptor.startedAtMicros()
                            != endpointSnapshot.startedAtMicros()) {
                continue;
            }
            endpoint.markActive();
            endpoint.accomplishment = endpointSnapshot.accomplishment() * scale;
            endpoint.decayedSuccesses = endpointSnapshot.decayedSuccesses() * scale;
            endpoint.decayedFailures = endpointSnapshot.decayedFailures() * scale;
            if (endpointSnapshot.ejectedForMicros() > ageMicros) {
                endpoint.ejectedUntilMicros = now + endpointSnapshot.ejectedForMicros() - ageMicros;
                endpoint.consecutiveEjections = endpointSnapshot.consecutiveEjections();
                endpoint.consecutiveConnectFailures = endpointSnapshot.consecutiveConnectFailures();
                endpoint.halfOpenSuccessesLeft = EndpointState.SUCCESSES_TO_RECOVER;
            }
            for (int i = 0;
                    i
                            < Math.min(
                                    endpoint.classHealth.length,
                                    endpointSnapshot.classEjectedForMicros().size());
                    i++) {
                if (endpointSnapshot.classEjectedForMicros().get(i) > ageMicros) {
                    endpoint.classHealth[i].onRemoteEjection(
                            now + endpointSnapshot.classEjectedForMicros().get(i) - ageMicros);
                }
            }
        }
    }

    /** Null where it is not known. */
    public EndpointState get(String id) {
        return endpointsById.get(id);
    }

    /** Brings faded counts back to scale. */
    public void rescale(double scale) {
        for (EndpointState endpoint : endpointsById.values()) {
            endpoint.accomplishment /= scale;
            endpoint.decayedSuccesses /= scale;
            endpoint.decayedFailures /= scale;
        }
    }

    public HashRing ring() {
        return ring;
    }

    public double meanWeight() {
        return meanWeight;
    }

    /** Of the listed servers that are so; those not watched are warm. */
    public double warmWeight(Predicate<EndpointState> isWarm) {
        double weight = totals.weight();
        for (EndpointState endpoint : activeEndpoints.endpoints()) {
            weight -= isWarm.test(endpoint) ? 0 : endpoint.descriptor.weight();
        }
        return weight;
    }

    /**
     * Faded answers of the listed servers that are so; those not watched have given none of late.
     */
    public double warmSuccesses(Predicate<EndpointState> isWarm) {
        double successes = 0;
        for (EndpointState endpoint : activeEndpoints.endpoints()) {
            successes += isWarm.test(endpoint) ? endpoint.decayedSuccesses : 0;
        }
        return successes;
    }

    /**
     * The mean of what servers have of something, weighted as they are: those watched {@code
     * activeValue}, all others what is ordinary in their zone.
     */
    public double weightedMean(
            IntToDoubleFunction steadyValueOfZone, ToDoubleFunction<EndpointState> activeValue) {
        double sum = totals.weightedSum(steadyValueOfZone);
        for (EndpointState endpoint : activeEndpoints.endpoints()) {
            sum +=
                    (activeValue.applyAsDouble(endpoint)
                                    - steadyValueOfZone.applyAsDouble(endpoint.descriptor.zone()))
                            * endpoint.descriptor.weight();
        }
        return sum / Math.max(1e-9, listedEndpoints.size() * meanWeight);
    }

    /** The paper's p, from 0 to 1. */
    public double fastFraction() {
        return totals.fastFraction();
    }
}

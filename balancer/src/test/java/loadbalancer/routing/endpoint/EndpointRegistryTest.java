package loadbalancer.routing.endpoint;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertSame;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashSet;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.TreeMap;
import java.util.stream.IntStream;
import loadbalancer.routing.RoutingEngineHarness;
import loadbalancer.routing.api.Endpoint;
import loadbalancer.routing.api.EndpointListKind;
import loadbalancer.routing.api.EndpointStatus;
import loadbalancer.routing.health.OutlierEjection;
import loadbalancer.util.Hashing;
import org.junit.jupiter.api.Test;

/** A list that is mended by each change is the list that would have been made anew. */
class EndpointRegistryTest {
    private static final double[][] WEIGHT_SETS = {
        {1}, {1, 1.5, 2, 0.5}, {1, 1.35, 1.7, 2.05}, {0.8}, {3, 1, 0.1, 12}
    };

    private final Random random = new Random(3);

    private static EndpointRegistry newRegistry() {
        return new EndpointRegistry(EndpointListBenchmark.settings(), new SplittableRandom(1));
    }

    private static List<String> endpointIds(Iterator<EndpointState> endpoints) {
        List<String> ids = new ArrayList<>();
        endpoints.forEachRemaining(endpoint -> ids.add(endpoint.descriptor.id()));
        return ids;
    }

    private static List<String> endpointIds(Collection<EndpointState> endpoints) {
        return endpointIds(endpoints.iterator());
    }

    private Endpoint randomEndpoint(int index, double[] weights) {
        double weight =
                weights[random.nextInt(weights.length)]
                        * (random.nextInt(50) == 0 ? random.nextDouble() : 1);
        EndpointStatus[] statuses = {
            EndpointStatus.UP,
            EndpointStatus.UP,
            EndpointStatus.UP,
            EndpointStatus.DRAINING,
            EndpointStatus.REMOVED
        };
        return new Endpoint(
                "s" + index,
                statuses[random.nextInt(statuses.length)],
                random.nextInt(3),
                weight,
                0,
                random.nextInt(4) - 1,
                random.nextInt(4) - 1);
    }

    // The ring by its definition: all points in order, from a point on.
    private static List<String> expectedRing(
            List<Endpoint> upEndpoints, double meanWeight, long fromPoint) {
        TreeMap<Long, String> points = new TreeMap<>();
        for (Endpoint endpoint : upEndpoints) {
            long pointCount =
                    Math.max(1, Math.min(64, Math.round(8 * endpoint.weight() / meanWeight)));
            for (int i = 0; i < pointCount; i++) {
                points.put(Hashing.mix(Hashing.hash(endpoint.id()) + i), endpoint.id());
            }
        }
        List<String> ringOrder = new ArrayList<>(points.tailMap(fromPoint).values());
        ringOrder.addAll(points.headMap(fromPoint).values());
        return ringOrder;
    }

    private static double expectedFastFraction(List<Endpoint> upEndpoints) {
        Map<Integer, List<Double>> weightsByMachineType = new LinkedHashMap<>();
        upEndpoints.forEach(
                endpoint ->
                        weightsByMachineType
                                .computeIfAbsent(endpoint.machineType(), k -> new ArrayList<>())
                                .add(endpoint.weight()));
        double meanWeight = upEndpoints.stream().mapToDouble(Endpoint::weight).average().orElse(1);
        double fastCount =
                weightsByMachineType.values().stream()
                        .filter(
                                k ->
                                        k.stream().mapToDouble(w -> w).average().orElse(0)
                                                >= meanWeight * (1 - 1e-12))
                        .mapToInt(List::size)
                        .sum();
        return weightsByMachineType.size() < 2 ? 0.5 : fastCount / upEndpoints.size();
    }

    private void assertMatchesRebuilt(
            EndpointRegistry incremental, Collection<Endpoint> endpoints, String step) {
        EndpointRegistry rebuilt = newRegistry();
        rebuilt.update(List.copyOf(endpoints), false, 0, line -> {});
        List<Endpoint> upEndpoints =
                endpoints.stream()
                        .filter(endpoint -> endpoint.status() == EndpointStatus.UP)
                        .toList();
        assertEquals(
                upEndpoints,
                incremental.listedEndpoints().stream()
                        .map(endpoint -> endpoint.descriptor)
                        .toList(),
                step);
        assertEquals(
                upEndpoints,
                rebuilt.listedEndpoints().stream().map(endpoint -> endpoint.descriptor).toList(),
                step);
        assertEquals(rebuilt.meanWeight(), incremental.meanWeight(), step);
        double meanWeight = upEndpoints.stream().mapToDouble(Endpoint::weight).average().orElse(1);
        assertEquals(meanWeight, incremental.meanWeight(), 1e-9 * meanWeight, step);
        assertEquals(
                meanWeight * upEndpoints.size(),
                incremental.warmWeight(endpoint -> true),
                1e-9 * meanWeight * endpoints.size(),
                step);
        assertEquals(rebuilt.fastFraction(), incremental.fastFraction(), step);
        assertEquals(expectedFastFraction(upEndpoints), incremental.fastFraction(), 1e-9, step);
        long point = random.nextLong();
        List<String> expectedOrder = expectedRing(upEndpoints, incremental.meanWeight(), point);
        assertEquals(expectedOrder, endpointIds(incremental.ring().iteratorFrom(point)), step);
        assertEquals(expectedOrder, endpointIds(rebuilt.ring().iteratorFrom(point)), step);
        List<String> expectedHomeOrder =
                expectedRing(upEndpoints, incremental.meanWeight(), 0).stream().distinct().toList();
        // As far as some request walks, and now and then all round.
        int steps =
                random.nextInt(4) == 0
                        ? expectedHomeOrder.size()
                        : Math.min(expectedHomeOrder.size(), random.nextInt(30));
        Iterator<EndpointState> iterator = incremental.ring().subsetIterator();
        for (int i = 0; i < steps; i++) {
            assertEquals(expectedHomeOrder.get(i), iterator.next().descriptor.id(), step);
        }
        assertEquals(steps < expectedHomeOrder.size(), iterator.hasNext(), step);
        assertEquals(expectedHomeOrder, endpointIds(rebuilt.ring().subsetIterator()), step);
    }

    @Test
    void incrementalUpdatesMatchRebuild() {
        for (int seed = 0; seed < 10; seed++) {
            double[] weights = WEIGHT_SETS[seed % WEIGHT_SETS.length];
            EndpointRegistry incremental = newRegistry();
            Map<String, Endpoint> endpointsById = new LinkedHashMap<>();
            int idCount = seed < 5 ? 12 : 400;
            for (int step = 0; step < 150; step++) {
                boolean completeList = random.nextInt(12) == 0;
                int updateCount =
                        random.nextInt(5) == 0 ? random.nextInt(idCount) : 1 + random.nextInt(3);
                Map<String, Endpoint> updates = new LinkedHashMap<>();
                for (int i = 0; i < updateCount; i++) {
                    Endpoint endpoint = randomEndpoint(random.nextInt(idCount), weights);
                    updates.put(endpoint.id(), endpoint);
                }
                if (completeList) {
                    endpointsById.keySet().retainAll(updates.keySet());
                }
                endpointsById.putAll(updates);
                endpointsById
                        .values()
                        .removeIf(endpoint -> endpoint.status() == EndpointStatus.REMOVED);
                incremental.update(List.copyOf(updates.values()), !completeList, 0, line -> {});
                assertMatchesRebuilt(
                        incremental, endpointsById.values(), "seed " + seed + ", step " + step);
            }
        }
    }

    /** One that left with work keeps its place while that lasts, and comes back as the same. */
    @Test
    void removedEndpointWithInFlightIsReused() {
        EndpointRegistry registry = newRegistry();
        registry.update(EndpointListBenchmark.endpoints(3), false, 0, line -> {});
        EndpointState first = registry.listedEndpoints().get(0);
        first.inFlight = 1;
        registry.update(
                List.of(first.descriptor.withStatus(EndpointStatus.REMOVED)), true, 0, line -> {});
        assertEquals(2, registry.listedEndpoints().size());
        registry.update(
                List.of(first.descriptor.withStatus(EndpointStatus.UP)), true, 0, line -> {});
        assertSame(first, registry.listedEndpoints().get(0));
        registry.update(
                List.of(first.descriptor.withStatus(EndpointStatus.REMOVED)), true, 0, line -> {});
        first.inFlight = 0;
        registry.update(List.of(), true, 0, line -> {});
        assertEquals(null, registry.get(first.descriptor.id()));
        registry.update(
                List.of(first.descriptor.withStatus(EndpointStatus.UP)), true, 0, line -> {});
        assertEquals(first.descriptor.id(), registry.listedEndpoints().get(2).descriptor.id());
        assertTrue(first != registry.listedEndpoints().get(2), "it is new");
    }

    @Test
    void restartedEndpointKeepsItsListPosition() {
        EndpointRegistry registry = newRegistry();
        registry.update(EndpointListBenchmark.endpoints(5), false, 0, line -> {});
        Endpoint endpoint = registry.listedEndpoints().get(2).descriptor;
        registry.update(
                List.of(
                        new Endpoint(
                                endpoint.id(),
                                EndpointStatus.UP,
                                endpoint.startedAtMicros() + 1,
                                7,
                                0,
                                0,
                                0)),
                true,
                0,
                line -> {});
        assertEquals(
                List.of("upstream-0", "upstream-1", "upstream-2", "upstream-3", "upstream-4"),
                endpointIds(registry.listedEndpoints()));
        assertEquals(7, registry.listedEndpoints().get(2).descriptor.weight());
        assertEquals(
                1,
                endpointIds(registry.ring().subsetIterator()).stream()
                        .filter(endpoint.id()::equals)
                        .count());
    }

    /** What was never watched is what a look at all servers would find ordinary. */
    @Test
    void nonSteadyEndpointsAreActive() {
        RoutingEngineHarness harness =
                new RoutingEngineHarness(EndpointListBenchmark.settings(), 1);
        EndpointRegistry registry = newRegistry();
        registry.update(EndpointListBenchmark.endpoints(300), false, harness.now, line -> {});
        // Until they have been looked at
        assertEquals(300, registry.activeEndpoints().size());
        registry.removeSteadyEndpoints(endpoint -> true, harness.now);
        assertEquals(List.of(), registry.activeEndpoints());
        Set<EndpointState> expectedActive = new HashSet<>();
        LatencyTracker latencies =
                new LatencyTracker(EndpointListBenchmark.settings().requestClasses());
        OutlierEjection outlierEjection =
                new OutlierEjection(new SplittableRandom(1), latencies, 5_000);
        long now = harness.now + 20_000_000;
        List<EndpointState> endpoints = List.copyOf(registry.listedEndpoints());
        for (EndpointState endpoint : List.of(endpoints.get(250), endpoints.get(7))) {
            outlierEjection.onReportedUnreachable(endpoint, now);
            expectedActive.add(endpoint);
        }
        outlierEjection.onFailure(endpoints.get(100), 1, 1_000, 1, now, line -> {});
        outlierEjection.onFailure(endpoints.get(100), 1, 1_000, 1, now, line -> {});
        expectedActive.add(endpoints.get(100));
        endpoints.get(33).classHealth[1].onRemoteEjection(now + 1_000_000);
        expectedActive.add(endpoints.get(33));
        PendingRequest request =
                new PendingRequest(
                        "r",
                        0,
                        EndpointListBenchmark.settings().requestClasses().get(0),
                        0,
                        now,
                        1,
                        1,
                        false);
        new Attempt(endpoints.get(8), request, now).recordStart(1);
        expectedActive.add(endpoints.get(8));
        registry.removeSteadyEndpoints(endpoint -> endpoint != endpoints.get(5), now);
        assertEquals(
                List.of(
                        endpoints.get(7),
                        endpoints.get(8),
                        endpoints.get(33),
                        endpoints.get(100),
                        endpoints.get(250)),
                registry.activeEndpoints());
        assertEquals(expectedActive, new HashSet<>(registry.activeEndpoints()));
        registry.update(
                List.of(endpoints.get(100).descriptor.withStatus(EndpointStatus.DRAINING)),
                true,
                now,
                line -> {});
        assertEquals(4, registry.activeEndpoints().size());
        outlierEjection.onFailure(endpoints.get(100), 1, 1_000, 1, now, line -> {});
        // It is not listed
        assertEquals(4, registry.activeEndpoints().size());
        registry.update(
                List.of(endpoints.get(100).descriptor.withStatus(EndpointStatus.UP)),
                true,
                now,
                line -> {});
        assertEquals(5, registry.activeEndpoints().size());
        endpoints.get(8).inFlight = 0;
        registry.removeSteadyEndpoints(endpoint -> true, now + 60_000_000);
        // Said lost until it is met
        assertEquals(List.of(endpoints.get(7), endpoints.get(250)), registry.activeEndpoints());
    }

    @Test
    void endpointsBeyondTheLimitAreLoggedAndUnused() {
        RoutingEngineHarness harness =
                new RoutingEngineHarness(EndpointListBenchmark.settings(), 1);
        harness.updateEndpoints(
                EndpointListKind.COMPLETE,
                EndpointListBenchmark.endpoints(EndpointRegistry.MAX_ENDPOINTS + 3));
        assertEquals(
                List.of(
                        harness.now
                                + " remark list: 3 servers beyond the 20000 that it may hold are not used"),
                harness.logLines);
        harness.advanceTime(2_000_000);
        harness.logLines.clear();
        List<Endpoint> replacements =
                IntStream.range(0, EndpointRegistry.MAX_ENDPOINTS)
                        .mapToObj(i -> RoutingEngineHarness.upEndpoint("other-" + i))
                        .toList();
        // The ones before leave room
        harness.updateEndpoints(EndpointListKind.COMPLETE, replacements);
        harness.updateEndpoints(EndpointListKind.DELTA, List.of(replacements.get(0)));
        assertEquals(List.of(), harness.logLines);
        harness.updateEndpoints(
                EndpointListKind.DELTA, List.of(RoutingEngineHarness.upEndpoint("one more")));
        assertEquals(1, harness.logLines.size());
        assertTrue(
                harness.logLines.get(0).contains("1 servers beyond the 20000"),
                harness.logLines.get(0));
    }
}

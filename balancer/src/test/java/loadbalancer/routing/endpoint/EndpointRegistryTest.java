package loadbalancer.routing.endpoint;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertSame;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.SplittableRandom;
import java.util.TreeMap;
import java.util.stream.IntStream;
import loadbalancer.routing.RoutingEngineHarness;
import loadbalancer.routing.api.Endpoint;
import loadbalancer.routing.api.EndpointListKind;
import loadbalancer.routing.api.EndpointStatus;
import loadbalancer.util.Hashing;
import org.junit.jupiter.api.Test;

/** Tests {@link EndpointRegistry}: incremental updates give the same result as a rebuild. */
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
        endpoints.forEachRemaining(endpoint -> ids.add(endpoint.descriptor().id()));
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

    // Computes the order of the ring independently, from a sorted map of all points.
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
                                .computeIfAbsent(
                                        endpoint.machineType(), machineType -> new ArrayList<>())
                                .add(endpoint.weight()));
        double meanWeight = upEndpoints.stream().mapToDouble(Endpoint::weight).average().orElse(1);
        double fastCount =
                weightsByMachineType.values().stream()
                        .filter(
                                typeWeights ->
                                        typeWeights.stream().mapToDouble(w -> w).average().orElse(0)
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
                incremental.listedEndpoints().stream().map(EndpointState::descriptor).toList(),
                step);
        assertEquals(
                upEndpoints,
                rebuilt.listedEndpoints().stream().map(EndpointState::descriptor).toList(),
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
        List<String> expectedSubsetOrder =
                expectedRing(upEndpoints, incremental.meanWeight(), 0).stream().distinct().toList();
        // Usually iterates as far as a request does, and sometimes around the whole ring.
        int steps =
                random.nextInt(4) == 0
                        ? expectedSubsetOrder.size()
                        : Math.min(expectedSubsetOrder.size(), random.nextInt(30));
        Iterator<EndpointState> iterator = incremental.ring().subsetIterator();
        for (int i = 0; i < steps; i++) {
            assertEquals(expectedSubsetOrder.get(i), iterator.next().descriptor().id(), step);
        }
        assertEquals(steps < expectedSubsetOrder.size(), iterator.hasNext(), step);
        assertEquals(expectedSubsetOrder, endpointIds(rebuilt.ring().subsetIterator()), step);
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

    /**
     * An endpoint that was removed with an attempt in flight keeps its state if it is listed again.
     */
    @Test
    void removedEndpointWithInFlightIsReused() {
        EndpointRegistry registry = newRegistry();
        registry.update(EndpointListBenchmark.endpoints(3), false, 0, line -> {});
        EndpointState first = registry.listedEndpoints().get(0);
        Attempt attempt = EndpointFixtures.sentAttempt(first, 0);
        registry.update(
                List.of(first.descriptor().withStatus(EndpointStatus.REMOVED)),
                true,
                0,
                line -> {});
        assertEquals(2, registry.listedEndpoints().size());
        registry.update(
                List.of(first.descriptor().withStatus(EndpointStatus.UP)), true, 0, line -> {});
        assertSame(first, registry.listedEndpoints().get(0));
        registry.update(
                List.of(first.descriptor().withStatus(EndpointStatus.REMOVED)),
                true,
                0,
                line -> {});
        attempt.recordEnd(true);
        registry.update(List.of(), true, 0, line -> {});
        assertEquals(null, registry.get(first.descriptor().id()));
        registry.update(
                List.of(first.descriptor().withStatus(EndpointStatus.UP)), true, 0, line -> {});
        assertEquals(first.descriptor().id(), registry.listedEndpoints().get(2).descriptor().id());
        assertTrue(
                first != registry.listedEndpoints().get(2),
                "the endpoint must have a new state after its attempt has ended");
    }

    @Test
    void restartedEndpointKeepsItsListPosition() {
        EndpointRegistry registry = newRegistry();
        registry.update(EndpointListBenchmark.endpoints(5), false, 0, line -> {});
        Endpoint endpoint = registry.listedEndpoints().get(2).descriptor();
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
        assertEquals(7, registry.listedEndpoints().get(2).descriptor().weight());
        assertEquals(
                1,
                endpointIds(registry.ring().subsetIterator()).stream()
                        .filter(endpoint.id()::equals)
                        .count());
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
                                + " remark endpoint list too long: unused=3 max_endpoints=20000"),
                harness.logLines);
        harness.advanceTime(2_000_000);
        harness.logLines.clear();
        List<Endpoint> replacements =
                IntStream.range(0, EndpointRegistry.MAX_ENDPOINTS)
                        .mapToObj(i -> RoutingEngineHarness.upEndpoint("other-" + i))
                        .toList();
        // The previous endpoints are removed and do not count towards the limit.
        harness.updateEndpoints(EndpointListKind.COMPLETE, replacements);
        harness.updateEndpoints(EndpointListKind.DELTA, List.of(replacements.get(0)));
        assertEquals(List.of(), harness.logLines);
        harness.updateEndpoints(
                EndpointListKind.DELTA, List.of(RoutingEngineHarness.upEndpoint("one more")));
        assertEquals(1, harness.logLines.size());
        assertTrue(
                harness.logLines.get(0).contains("unused=1 max_endpoints=20000"),
                harness.logLines.get(0));
    }
}

package loadbalancer.routing.endpoint;

import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.Iterator;
import java.util.List;
import java.util.SplittableRandom;
import java.util.function.Consumer;
import java.util.stream.IntStream;
import loadbalancer.routing.api.EndpointStatus;
import org.junit.jupiter.api.Test;

/**
 * Tests that certain work does not grow with the endpoint list. Counts allocations and visits,
 * since times depend on the machine.
 */
class EndpointListCostTest {
    private static final int SMALL_LIST = 1_000;
    private static final int LARGE_LIST = 14_000;
    private static final int ITERATIONS = 200;
    private static final int ROUNDS = 8;
    private static final int ITERATED_ENDPOINTS = 40;
    private static final double MAX_GROWTH_FACTOR = 1.5;

    private static EndpointListBenchmark steadyBenchmark(int endpointCount) {
        EndpointListBenchmark benchmark = new EndpointListBenchmark(endpointCount);
        benchmark.runIdleTimerEvent();
        benchmark.runIdleTimerEvent();
        return benchmark;
    }

    private static long allocatedBytes(
            EndpointListBenchmark benchmark, Consumer<EndpointListBenchmark> operation) {
        return EndpointListBenchmark.allocatedBytes(() -> operation.accept(benchmark), ITERATIONS);
    }

    // Measures both sizes alternately and compares the minimum of each. The JIT compiler may remove
    // allocations at any time, so single measurements could compare differently compiled code. The
    // margin is far below the size of a list or an array of all endpoints.
    private static void assertNearlyConstant(Consumer<EndpointListBenchmark> operation) {
        EndpointListBenchmark smallList = steadyBenchmark(SMALL_LIST);
        EndpointListBenchmark largeList = steadyBenchmark(LARGE_LIST);
        long smallListBytes = Long.MAX_VALUE;
        long largeListBytes = Long.MAX_VALUE;
        for (int round = 0; round < ROUNDS; round++) {
            smallListBytes = Math.min(smallListBytes, allocatedBytes(smallList, operation));
            largeListBytes = Math.min(largeListBytes, allocatedBytes(largeList, operation));
        }
        assertTrue(
                largeListBytes <= MAX_GROWTH_FACTOR * smallListBytes + 512,
                smallListBytes
                        + " bytes at "
                        + SMALL_LIST
                        + " endpoints, "
                        + largeListBytes
                        + " at "
                        + LARGE_LIST);
    }

    @Test
    void idleAllocationIsIndependentOfListSize() {
        assertNearlyConstant(EndpointListBenchmark::runIdleTimerEvent);
    }

    @Test
    void changeAllocationIsIndependentOfListSize() {
        assertNearlyConstant(EndpointListBenchmark::applyChange);
    }

    @Test
    void requestAllocationIsIndependentOfListSize() {
        assertNearlyConstant(
                benchmark -> {
                    benchmark.applyChange();
                    benchmark.serveRequest();
                });
    }

    /** A periodic scan visits no endpoint that has never received an attempt. */
    @Test
    void idleScanVisitsNoSteadyEndpoint() {
        EndpointRegistry registry =
                new EndpointRegistry(EndpointListBenchmark.settings(), new SplittableRandom(1));
        registry.update(EndpointListBenchmark.endpoints(LARGE_LIST), false, 0, line -> {});
        registry.removeSteadyEndpoints(endpoint -> true, 0);
        int[] visited = {0};
        registry.removeSteadyEndpoints(
                endpoint -> {
                    visited[0]++;
                    return true;
                },
                0);
        registry.weightedMean(
                zone -> 1,
                endpoint -> {
                    visited[0]++;
                    return 1;
                });
        registry.zoneTallies(
                endpoint -> {
                    visited[0]++;
                    return false;
                },
                zone -> 0);
        assertTrue(
                visited[0] == 0 && registry.activeEndpoints().isEmpty(),
                visited[0] + " endpoints visited");
    }

    /** A changed entry moves only its own points on the ring. */
    @Test
    void changedEntryMovesOnlyItsRingPoints() {
        EndpointRegistry registry =
                new EndpointRegistry(EndpointListBenchmark.settings(), new SplittableRandom(1));
        registry.update(EndpointListBenchmark.endpoints(LARGE_LIST), false, 0, line -> {});
        List<EndpointState> endpoints = List.copyOf(registry.listedEndpoints());
        int[] pointsBefore = endpoints.stream().mapToInt(EndpointState::ringPointCount).toArray();
        long movesBefore = registry.ring().pointChanges();
        registry.update(
                List.of(endpoints.get(77).descriptor().withStatus(EndpointStatus.DRAINING)),
                true,
                0,
                line -> {});
        List<Integer> movedIndexes =
                IntStream.range(0, LARGE_LIST)
                        .filter(i -> endpoints.get(i).ringPointCount() != pointsBefore[i])
                        .boxed()
                        .toList();
        assertTrue(
                movedIndexes.equals(List.of(77)), movedIndexes + " changed their number of points");
        assertTrue(
                registry.ring().pointChanges() - movesBefore == pointsBefore[77],
                registry.ring().pointChanges() - movesBefore + " points moved");
    }

    /** Iterating over the subset visits few endpoints in advance, even after a list change. */
    @Test
    void subsetIterationVisitsFewExtraEndpoints() {
        EndpointRegistry registry =
                new EndpointRegistry(EndpointListBenchmark.settings(), new SplittableRandom(1));
        registry.update(EndpointListBenchmark.endpoints(LARGE_LIST), false, 0, line -> {});
        Iterator<EndpointState> iterator = registry.ring().subsetIterator();
        EndpointState firstEndpoint = iterator.next();
        assertTrue(
                visitedEndpoints(registry) <= 2 * ITERATED_ENDPOINTS,
                visitedEndpoints(registry) + " endpoints visited");
        registry.update(
                List.of(firstEndpoint.descriptor().withStatus(EndpointStatus.DRAINING)),
                true,
                0,
                line -> {});
        iterator = registry.ring().subsetIterator();
        for (int i = 0; i < ITERATED_ENDPOINTS; i++) {
            iterator.next();
        }
        assertTrue(
                visitedEndpoints(registry) <= 2 * ITERATED_ENDPOINTS,
                visitedEndpoints(registry) + " endpoints visited");
    }

    private static long visitedEndpoints(EndpointRegistry registry) {
        int latestGeneration =
                registry.listedEndpoints().stream()
                        .mapToInt(EndpointState::subsetVisitGeneration)
                        .max()
                        .getAsInt();
        return registry.listedEndpoints().stream()
                .filter(endpoint -> endpoint.subsetVisitGeneration() == latestGeneration)
                .count();
    }

    @Test
    void liveHeapPerEndpointIsBounded() {
        // Loads the classes before the measurement.
        EndpointListBenchmark.liveHeapBytesPerEndpoint(SMALL_LIST);
        long bytesPerEndpoint = EndpointListBenchmark.liveHeapBytesPerEndpoint(LARGE_LIST);
        assertTrue(
                bytesPerEndpoint > 0 && bytesPerEndpoint <= 600,
                bytesPerEndpoint + " bytes per endpoint");
    }
}

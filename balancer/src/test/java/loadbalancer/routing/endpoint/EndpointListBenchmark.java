package loadbalancer.routing.endpoint;

import com.sun.management.ThreadMXBean;
import java.lang.management.ManagementFactory;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import loadbalancer.routing.RoutingEngineHarness;
import loadbalancer.routing.api.AttemptOutcome;
import loadbalancer.routing.api.DeduplicationScope;
import loadbalancer.routing.api.Endpoint;
import loadbalancer.routing.api.EndpointListKind;
import loadbalancer.routing.api.EndpointStatus;
import loadbalancer.routing.api.Idempotency;
import loadbalancer.routing.api.RoutingSettings;

/**
 * Measures the cost of the endpoint list to the routing policy, by the number of endpoints: CPU
 * time and allocated bytes of a timer event that scans the endpoints, of a request, of one changed
 * entry and of a complete list, and live heap per endpoint. Run by hand as described in {@code
 * docs/design/list.md}; also the fixture of {@link EndpointListCostTest}.
 */
final class EndpointListBenchmark {
    static final long REFRESH_INTERVAL_MICROS = 100_000;
    private static final ThreadMXBean THREADS = (ThreadMXBean) ManagementFactory.getThreadMXBean();

    private final RoutingEngineHarness harness;
    private final List<Endpoint> endpoints;
    private long changeCount;
    private long requestCount;

    EndpointListBenchmark(int endpointCount) {
        endpoints = endpoints(endpointCount);
        harness = new RoutingEngineHarness(settings(), 7);
        harness.updateEndpoints(EndpointListKind.COMPLETE, endpoints);
    }

    /** Returns settings with four request classes, for a balancer without peers. */
    static RoutingSettings settings() {
        return RoutingEngineHarness.settings(
                RoutingEngineHarness.requestClass(Idempotency.IDEMPOTENT, DeduplicationScope.ALL),
                RoutingEngineHarness.requestClass(
                        Idempotency.NON_IDEMPOTENT, DeduplicationScope.ALL),
                RoutingEngineHarness.requestClass(
                        Idempotency.IDEMPOTENCY_KEY, DeduplicationScope.ZONE),
                RoutingEngineHarness.requestClass(
                        Idempotency.IDEMPOTENCY_KEY, DeduplicationScope.CELL));
    }

    static List<Endpoint> endpoints(int endpointCount) {
        List<Endpoint> endpoints = new ArrayList<>();
        for (int i = 0; i < endpointCount; i++) {
            endpoints.add(endpoint(i, EndpointStatus.UP));
        }
        return endpoints;
    }

    static Endpoint endpoint(int index, EndpointStatus status) {
        return new Endpoint(
                "upstream-" + index,
                status,
                1_000_000,
                1 + index % 4 * 0.35,
                index % 5,
                index % 4,
                index % 3);
    }

    /** Runs one timer event that scans the endpoints, without requests. */
    void runIdleTimerEvent() {
        harness.advanceTime(REFRESH_INTERVAL_MICROS);
    }

    /** Changes one endpoint to draining, and at the next call back to up. */
    void applyChange() {
        int index = (int) (changeCount / 2 * 7919 % endpoints.size());
        harness.updateEndpoints(
                EndpointListKind.DELTA,
                List.of(
                        endpoint(
                                index,
                                changeCount++ % 2 == 0
                                        ? EndpointStatus.DRAINING
                                        : EndpointStatus.UP)));
    }

    /** Applies the unchanged list as a complete list. */
    void applyCompleteList() {
        harness.updateEndpoints(EndpointListKind.COMPLETE, endpoints);
    }

    /** Advances the time by 2 ms and sends one request, which succeeds immediately. */
    void serveRequest() {
        harness.advanceTime(2_000);
        RoutingEngineHarness.SentAttempt sent = harness.request("r" + requestCount++, 0);
        harness.endAttempt(sent, AttemptOutcome.OK);
        harness.sentAttempts.clear();
        harness.attemptCounts.clear();
        harness.finalResponses.clear();
        harness.logLines.clear();
    }

    /** Returns the mean number of bytes that a run of the task allocates on this thread. */
    static long allocatedBytes(Runnable task, int iterations) {
        long bytesBefore = THREADS.getThreadAllocatedBytes(Thread.currentThread().getId());
        for (int i = 0; i < iterations; i++) {
            task.run();
        }
        return (THREADS.getThreadAllocatedBytes(Thread.currentThread().getId()) - bytesBefore)
                / iterations;
    }

    private static double cpuMicros(Runnable task, int iterations) {
        long cpuNanosBefore = THREADS.getCurrentThreadCpuTime();
        for (int i = 0; i < iterations; i++) {
            task.run();
        }
        return (THREADS.getCurrentThreadCpuTime() - cpuNanosBefore) / 1e3 / iterations;
    }

    static long liveHeapBytes() {
        for (int i = 0; i < 4; i++) {
            System.gc();
        }
        return Runtime.getRuntime().totalMemory() - Runtime.getRuntime().freeMemory();
    }

    /** Returns the live heap of the routing policy per endpoint, in bytes. */
    static long liveHeapBytesPerEndpoint(int endpointCount) {
        List<Endpoint> endpoints = endpoints(endpointCount);
        RoutingEngineHarness harness = new RoutingEngineHarness(settings(), 7);
        long heapBefore = liveHeapBytes();
        harness.updateEndpoints(EndpointListKind.COMPLETE, endpoints);
        harness.advanceTime(2 * REFRESH_INTERVAL_MICROS);
        long bytesPerEndpoint = (liveHeapBytes() - heapBefore) / endpointCount;
        // Keeps the harness reachable until the heap is measured.
        harness.updateEndpoints(EndpointListKind.FAILED, List.of());
        return bytesPerEndpoint;
    }

    private static void measure(String label, int endpointCount, Runnable task, int iterations) {
        cpuMicros(task, 2 * iterations);
        System.out.printf(
                Locale.ROOT,
                "%6d endpoints, %-18s %10.1f us %10d bytes%n",
                endpointCount,
                label,
                cpuMicros(task, iterations),
                allocatedBytes(task, iterations));
    }

    public static void main(String[] sizes) {
        // Loads the classes before the measurements.
        liveHeapBytesPerEndpoint(1_000);
        for (String size : sizes) {
            int endpointCount = Integer.parseInt(size);
            System.out.printf(
                    Locale.ROOT,
                    "%6d endpoints, live heap      %10d bytes per endpoint%n",
                    endpointCount,
                    liveHeapBytesPerEndpoint(endpointCount));
            EndpointListBenchmark benchmark = new EndpointListBenchmark(endpointCount);
            measure("idle timer event", endpointCount, benchmark::runIdleTimerEvent, 500);
            measure("request", endpointCount, benchmark::serveRequest, 500);
            measure("one change", endpointCount, benchmark::applyChange, 200);
            measure(
                    "change and request",
                    endpointCount,
                    () -> {
                        benchmark.applyChange();
                        benchmark.serveRequest();
                    },
                    200);
            measure("complete list", endpointCount, benchmark::applyCompleteList, 20);
        }
    }
}
